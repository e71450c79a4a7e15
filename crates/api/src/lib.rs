//! HTTP interfaces for callers and operators.

pub mod admin;
pub mod admission;
pub mod auth;
pub mod bundles;
pub mod callers;
pub mod claims;
pub mod completion_format;
pub mod completions;
pub mod jobs;
pub mod metrics;
pub mod plugin;
pub mod request;
pub mod service_calls;
