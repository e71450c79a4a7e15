//! A randomized soak test: runs real daemon processes, injects faults from outside, and checks the
//! promises of the system against what clients and replicas observe.

pub mod check;
pub mod fleet;
pub mod flood;
pub mod job_client;
pub mod key_client;
pub mod observation;
pub mod options;
pub mod organisation_check;
pub mod organisations;
pub mod plan;
pub mod process_watch;
pub mod proxy;
pub mod regressions;
pub mod run;
pub mod scenario;
pub mod schedule;
pub mod timeline;
pub mod traffic;
