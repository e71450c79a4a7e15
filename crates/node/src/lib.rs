//! A daemon on the platform: all its components on one thread, with a common start and shutdown.

pub mod configuration_transfer;
pub mod connection_bounds;
pub mod control;
pub mod directory;
pub mod election;
pub mod heartbeats;
pub mod leaving_notices;
pub mod metrics;
pub mod node;
pub mod peer_calls;
pub mod platform_state;
pub mod probe;
pub mod quarantine_delegates;
pub mod recent_changes;
pub mod reload;
pub mod retirement;
pub mod watch;

pub use node::run;
