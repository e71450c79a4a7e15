//! Batch jobs: acceptance, the item ledger, the runner, status and results.

pub mod chooser;
pub mod chunk;
pub mod codec;
pub mod home;
pub mod inputs;
pub mod jobs;
pub mod keys;
pub mod ledger;
pub mod ledger_step;
mod ledger_work;
pub mod plugin;
pub mod records;
pub mod results;
pub mod runner;
mod try_task;

pub use home::JobHome;
pub use jobs::Jobs;
pub use ledger::Ledger;
