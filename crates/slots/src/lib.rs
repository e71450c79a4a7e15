//! Slots of replicas: engines admit requests in their order of arrival, so requests wait here.
//!
//! Each replica of an engine has one owner among the daemons. A daemon asks the owner for a slot
//! before it sends a request; the owner queues by class and time, and takes slots back from batch
//! items for online requests. Nothing depends on it for correctness: without an answer of the
//! owner a request goes to the replica without a grant, and the engine's own queue takes it.

pub mod ask;
pub mod client;
pub mod lease;
pub mod message;
pub mod owner;
pub mod picture;
mod search;
pub mod table;

pub use ask::NoSlot;
pub use ask::SlotAsk;
pub use client::Slots;
pub use lease::SlotLease;
pub use message::Class;
pub use message::Ticket;
