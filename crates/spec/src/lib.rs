//! Model checking of the state machines that the daemon runs, and mutations that it must find.
//!
//! The written specification is docs/design/specification.md.

pub mod checker;
pub mod in_force_model;
pub mod job_model;
pub mod ledger_environment;
pub mod ledger_model;
pub mod mutation;
pub mod order_model;
pub mod suite;

pub use checker::Model;
pub use checker::Verdict;
pub use mutation::Mutation;
