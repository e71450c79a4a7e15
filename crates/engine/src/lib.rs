//! Backend servers: their protocol, streams that survive lost connections, and batch lanes.

pub mod backend;
pub mod http_backend;
pub mod lane;
mod lane_run;
pub mod lanes;
pub mod levels;
pub mod online;
mod online_part;
pub mod orders;
pub mod placement;
pub mod plugin;
pub mod replicas;
pub mod step_time;
pub mod stream;

pub use backend::Backend;
pub use backend::BackendError;
pub use lanes::Lanes;
pub use online::Online;
pub use replicas::Replicas;
