//! Serves requests of clients: limits, routing, slots, forwarding to a replica, and the answer.

pub mod answer;
pub mod attempt;
pub mod body;
pub mod codec;
pub mod crash_guard;
pub mod exchange;
pub mod forward;
pub mod gateway;
pub mod ownership;
pub mod relay;
pub mod report;
pub mod shutdown;
pub mod silent_run;

pub use codec::IngressCodec;
pub use codec::JobCall;
pub use crash_guard::CrashGuard;
pub use gateway::Gateway;
pub use shutdown::ShutdownWindow;
