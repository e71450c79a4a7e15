//! Jobs of many items on the platform's store.
//!
//! One record of the store is all that a job needs: its value is what the client handed in, its
//! status names the home and holds the results. One daemon is a job's home: it runs the items,
//! lists their results, and writes under the condition of the record's revision, so that a home
//! that was replaced cannot write any more. A result is shown only after it was written.

pub mod adoption;
pub mod board;
pub mod dialect;
pub mod handover;
pub mod item;
pub mod job;
pub mod ledger;
pub mod notes;
pub mod pace;
pub mod progress;
pub mod record;
pub mod retention;
pub mod runner;
pub mod saver;
pub mod serve;
pub mod sweep;

pub use board::Board;
pub use dialect::JobDialect;
