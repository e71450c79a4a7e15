//! Communication between daemons: membership, heartbeats and control calls.
//!
//! Short messages are sent as datagrams: each is self-contained, a lost one is replaced by the next
//! one, and there is no connection that can stall. They are encoded with postcard, since CBOR's
//! field names would double their size. Messages that need delivery use HTTP on the control
//! address.

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
