//! Batch jobs: acceptance, item ledgers, runners, status and results.

mod attempt;
pub mod chunk;
pub mod codec;
pub mod jobs;
pub mod keys;
pub mod lane_selector;
pub mod ledger;
mod ledger_advance;
pub mod ledger_types;
pub mod lot_cache;
pub mod plugin;
pub mod records;
pub mod results;
pub mod runner;
pub mod stop_grace;
pub mod supervisor;

pub use jobs::JobApi;
pub use ledger::Ledger;
pub use supervisor::JobSupervisor;
