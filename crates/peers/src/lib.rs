//! The other daemons: who lives, what they tell each other, and calls between them.
//!
//! Short messages go as datagrams: each stands for itself, the next one replaces a lost one, and
//! no connection can go silent. They are encoded by postcard, since CBOR's field names would
//! double their size. What must arrive goes over HTTP on the control address.

pub mod control;
pub mod heartbeat;
pub mod membership;
pub mod peer;
pub mod transport;

pub use control::ControlClient;
pub use heartbeat::Heartbeat;
pub use heartbeat::Topic;
pub use membership::Membership;
pub use transport::Transport;
