//! Types shared by every crocushub process: names, refusals, jobs, link messages and shards.

pub mod bits;
pub mod digest;
pub mod job;
pub mod link;
pub mod name;
pub mod refusal;
pub mod rendezvous;
pub mod version;

pub use bits::BitSet;
pub use name::DaemonName;
pub use name::DataCentre;
pub use name::JobId;
pub use name::ModelName;
pub use name::OrgName;
pub use name::ReplicaName;
pub use name::RequestId;
pub use refusal::Ran;
pub use refusal::Reason;
pub use refusal::Refusal;
pub use version::Version;

/// A span or a point of time in milliseconds; the field name says which and from which origin.
pub type Millis = u64;
