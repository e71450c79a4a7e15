//! The way of a client's request: limits, route, slot, replica, answer.

pub mod answer;
pub mod attempt;
pub mod dialect;
pub mod ending;
pub mod exchange;
pub mod forward;
pub mod gate;
pub mod relay;
pub mod report;

pub use dialect::IngressDialect;
pub use dialect::JobCall;
pub use ending::Ending;
pub use gate::Gate;
