//! Benchmarks of real daemons against stubs for the outside systems, and the in-process cluster
//! that they run in.

pub mod arrivals;
pub mod cluster;
pub mod compare;
pub mod experiment;
pub mod job_run;
pub mod matrix;
pub mod matrix_cells;
pub mod matrix_online;
pub mod online_load;
pub mod options;
pub mod path_cost;
pub mod process;
pub mod report;
pub mod rolls;
pub mod scenario;
pub mod slopes;
pub mod workload;

pub use cluster::ClusterConfig;
pub use cluster::TestCluster;
