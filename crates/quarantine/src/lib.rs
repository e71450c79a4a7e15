//! Quarantine of prompt parts and requests that crash replicas, as a pure state machine.

mod admission;
pub mod core;
pub mod part;
pub mod record;
pub mod suspect;
pub mod view;

pub use crate::core::Change;
pub use crate::core::Delegates;
pub use crate::core::Quarantine;
pub use part::PromptPart;
pub use part::ReplicaIncarnation;
pub use suspect::RequestFingerprint;
pub use suspect::Suspect;
pub use view::QuarantineView;
