//! Stubs of the external systems: the platform, the weight store, model engines and plain services.
//!
//! Each stub records what it ran, so that tests can check the daemons' reports against it, and can
//! inject faults.

pub mod engine;
pub mod engine_http;
pub mod fault;
pub mod objects;
pub mod platform;
pub mod service;
pub mod settings;
pub mod stubs;
pub mod weights;

pub use engine::Engine;
pub use fault::Fault;
pub use platform::Platform;
pub use service::Service;
pub use stubs::Stubs;
