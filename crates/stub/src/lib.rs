//! Stand-ins for the outside systems: the platform, the weight store, engines, plain services.
//!
//! Each keeps its own record of what it ran, which tests trust before the daemons' word, and
//! can be told to fail.

pub mod engine;
pub mod engine_http;
pub mod fault;
pub mod objects;
pub mod platform;
pub mod service;
pub mod settings;
pub mod stand_ins;
pub mod weights;

pub use engine::Engine;
pub use fault::Fault;
pub use platform::Platform;
pub use service::Service;
pub use stand_ins::StandIns;
