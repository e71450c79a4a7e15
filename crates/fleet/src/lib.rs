//! Daemon membership: leases, heartbeats, links, ownership of shards and lanes, endpoints.

pub mod endpoints;
pub mod handshake;
mod lease;
pub mod link;
pub mod links;
pub mod membership;
pub mod membership_service;
pub mod plugin;

pub use links::LinkHandler;
pub use links::Links;
pub use membership::DaemonInfo;
pub use membership::Membership;
pub use membership_service::MembershipService;
