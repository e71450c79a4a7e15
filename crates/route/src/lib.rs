//! Choice of the replica for an online request, as a pure core.

pub mod ejection;
pub mod router;

pub use router::Candidate;
pub use router::Router;
