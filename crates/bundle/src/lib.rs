//! The versioned bundle: schema, checks, signatures, and the order in which bundles take force.

pub mod check;
pub mod holder;
pub mod in_force;
pub mod plugin;
pub mod roll;
pub mod schema;
pub mod sign;

pub use holder::Active;
pub use holder::Holder;
pub use in_force::InForce;
pub use schema::Bundle;
pub use sign::SignedBundle;
