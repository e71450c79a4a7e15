//! Jobs of many items, persisted in the platform's store.
//!
//! A job has one record in the store: its value is the client's submission, its status names the
//! job's home and holds the results. Inputs and results that do not fit into the record are stored
//! as separate objects, its parts.
//!
//! The home of a job is the daemon, at one incarnation, that runs its items and writes their results.
//! Every status write is conditional on the record's revision, so that a replaced home can no longer
//! write. Clients see a result only after it was written.

pub mod access;
pub mod adoption;
pub mod codec;
pub mod handover;
pub mod item;
pub mod job;
pub mod manager;
mod memory;
pub mod message;
pub mod pause;
pub mod progress;
mod quarantine_check;
pub mod record;
mod released_input;
pub mod retention;
pub mod run_time;
pub mod runner;
pub mod selection;
pub mod serve;
pub mod slot_places;
pub mod status;
pub mod status_writer;
pub mod submissions;
pub mod sweep;

pub use codec::JobCodec;
pub use manager::JobManager;
