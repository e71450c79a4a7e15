//! Types shared by every crocushub process: names, routes, refusals, jobs, messages and shards.

pub mod bits;
pub mod digest;
pub mod job;
pub mod link;
pub mod name;
pub mod node;
pub mod organisation;
pub mod refusal;
pub mod rendezvous;
pub mod replica;
pub mod route;
pub mod version;

pub use bits::BitSet;
pub use name::DaemonName;
pub use name::DataCentre;
pub use name::JobId;
pub use name::ModelName;
pub use name::OrgName;
pub use name::ReplicaName;
pub use name::RequestId;
pub use name::RouteName;
pub use name::ServiceName;
pub use node::NodeSettings;
pub use organisation::Organisation;
pub use organisation::RequestQuota;
pub use refusal::Ran;
pub use refusal::Reason;
pub use refusal::Refusal;
pub use replica::ReplicaRecord;
pub use replica::ReplicaState;
pub use route::Configuration;
pub use route::Route;
pub use route::RouteKind;
pub use version::Version;

/// A duration or a point in time in milliseconds; the field name says which, and from which origin.
pub type Millis = u64;
