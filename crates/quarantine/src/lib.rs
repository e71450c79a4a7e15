//! Quarantine of prompt parts that crash replicas, as a pure state machine without I/O.

pub mod core;
pub mod part;
pub mod record;
pub mod view;

pub use crate::core::Change;
pub use crate::core::Delegates;
pub use crate::core::Quarantine;
pub use part::PromptPart;
pub use part::ReplicaIncarnation;
pub use view::QuarantineView;
