//! A randomized soak: real daemons as processes, faults from outside, promises checked from what
//! clients and replicas see.

pub mod check;
pub mod fleet;
pub mod job_client;
pub mod observation;
pub mod options;
pub mod plan;
pub mod proxy;
pub mod regressions;
pub mod run;
pub mod schedule;
pub mod timeline;
pub mod traffic;
