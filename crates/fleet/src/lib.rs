//! Membership of daemons: leases, heartbeats, links, ownership of shards and lanes, endpoints.

pub mod endpoints;
pub mod handshake;
mod lease;
pub mod link;
pub mod links;
pub mod members;
pub mod membership;
pub mod plugin;

pub use links::LinkHandler;
pub use links::Links;
pub use members::Members;
pub use membership::DaemonInfo;
pub use membership::Membership;
