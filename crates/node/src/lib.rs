//! A daemon on the users' platform: all parts on one thread, started and stopped as one.

pub mod beats;
pub mod control;
pub mod directory;
pub mod knowledge;
pub mod metrics;
pub mod news;
pub mod node;
pub mod probe;
pub mod reload;
pub mod retirement;
pub mod watch;

pub use node::run;
