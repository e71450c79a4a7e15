//! Request quotas of organisations over all daemons.
//!
//! Organisations are hashed into groups. Each group has one owner among the daemons, which holds the
//! token buckets and needs the votes of more than half of the daemons. The other daemons ask the
//! owner for credit, and spend a small fixed share when no owner answers. `docs/design/quotas.md`
//! has the arithmetic of the limit.

pub mod allowance;
pub mod bucket;
pub mod core;
pub mod election;
mod hand_over;
pub mod holder;
pub mod message;
pub mod owner;
pub mod replay;
mod returns;
pub mod service;
mod withdrawal;

pub use crate::core::Action;
pub use crate::core::Event;
pub use crate::core::QuotaCore;
pub use allowance::Limit;
pub use allowance::QuotaSettings;
pub use message::Message;
pub use message::OrgHash;
pub use service::Credit;
pub use service::Quotas;
