//! Clients of the platform's object API with their call budgets, and the host list.

pub mod budget;
pub mod call;
pub mod client;
pub mod hosts;
pub mod http_store;
pub mod logged_versions;
pub mod object;
pub mod plugin;
pub mod store;

pub use crate::budget::CallClass;
pub use call::Call;
pub use call::Reply;
pub use client::ObjectClient;
pub use client::Reachability;
pub use hosts::HostEntry;
pub use hosts::HostState;
pub use logged_versions::LoggedVersions;
pub use object::Object;
pub use object::ObjectStore;
pub use object::StoreError;
pub use store::PutOutcome;
pub use store::Store;
