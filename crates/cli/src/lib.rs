//! The client library for callers and operators, and the `crocus` command line.

pub mod ask;
pub mod bundles;
pub mod client;
pub mod error;
pub mod explain;
pub mod job_file;
pub mod jobs;
pub mod keys;
pub mod options;
pub mod output;

pub use client::Client;
pub use error::CliError;
