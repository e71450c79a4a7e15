//! Versioned bundles: schema, validation, signatures, rolls and the choice of the bundle in force.

pub mod check;
pub mod in_force;
pub mod manager;
pub mod plugin;
pub mod roll;
pub mod schema;
pub mod sign;

pub use in_force::BundleInForce;
pub use manager::ActiveBundle;
pub use manager::BundleManager;
pub use schema::Bundle;
pub use sign::SignedBundle;
