//! A daemon's copy of the platform's state: the configuration in force, the live replicas and the store's
//! answers.
//!
//! Both parts do no I/O: they are given the time and the received updates, and return what changed.

pub mod change;
pub mod configuration;
pub mod contact;
pub mod leaving;
pub mod replicas;
pub mod sender_clock;
pub mod view;

pub use change::ReplicaChange;
pub use configuration::ConfigurationInForce;
pub use contact::ContactReport;
pub use contact::StoreContact;
pub use leaving::Incarnation;
pub use leaving::LeavingReplicas;
pub use replicas::ReplicaSet;
pub use sender_clock::SendTime;
pub use view::ReplicaView;
