//! What a daemon believes of the platform: the configuration in force and the live replicas.
//!
//! Both parts are pure: they get the time and what was heard, and say what changed.

pub mod configuration;
pub mod replicas;
pub mod view;

pub use configuration::InForce;
pub use replicas::ReplicaChange;
pub use replicas::ReplicaSet;
pub use view::ReplicaView;
