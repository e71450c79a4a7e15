//! Experiments on the real daemons with the stand-ins, and the lab they run in.

pub mod lab;
pub mod workload;

pub use lab::Lab;
pub use lab::LabPlan;
