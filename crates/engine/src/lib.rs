//! Backend servers: their protocol, token streams that are resumed after a lost connection, and
//! batch lanes.

pub mod backend;
pub mod http_backend;
mod item_task;
pub mod lane;
pub mod lanes;
pub mod online;
pub mod online_levels;
pub mod orders;
pub mod plugin;
pub mod reconciler;
mod replica_attempt;
pub mod replicas;
pub mod step_time;
pub mod stream;

pub use backend::Backend;
pub use backend::BackendError;
pub use lanes::Lanes;
pub use online::OnlineDispatcher;
pub use replicas::Replicas;
