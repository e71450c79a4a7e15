//! Scheduling of replica slots: engines serve requests in order of arrival, so requests are queued
//! here, where online requests can go before batch items.
//!
//! Each engine replica has one owner among the daemons. A daemon requests a slot from the owner
//! before it sends a request; the owner queues by class and urgency, and revokes the slots of batch
//! items for online requests. Correctness does not depend on grants: if the owner does not answer,
//! an online request is sent to the replica without a grant and waits in the engine's own queue.

pub mod balancer;
pub mod client;
pub mod detectors;
pub mod extension;
pub mod fair_share;
mod health;
mod item_shares;
pub mod lease;
pub mod least_share;
pub mod message;
pub mod outcomes;
pub mod outlier;
pub mod overload;
pub mod owner;
pub mod request;
mod search;
pub mod speed;
pub mod table;

pub use client::Slots;
pub use fair_share::Share;
pub use lease::SlotLease;
pub use message::Class;
pub use message::Ticket;
pub use request::NoSlot;
pub use request::SlotRequest;
