//! Choice of the replica for an online request, without I/O.

pub mod ejection;
pub mod router;

pub use router::Candidate;
pub use router::Router;
