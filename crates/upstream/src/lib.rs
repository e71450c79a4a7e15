//! HTTP/1.1 connections to backend servers, the store and other daemons.
//!
//! The pooled client of `hyper-util` does not tell whether a byte of a request was written, and it
//! cannot skip an answer that belongs to an earlier request. Callers need both to decide whether a
//! request may have run.

pub mod connection;
pub mod decoder;
pub mod events;
pub mod framing;
pub mod head;
pub mod pool;
pub mod sequence;

pub use connection::Connection;
pub use connection::ExchangeError;
pub use connection::refuses_connections;
pub use decoder::AnswerDecoder;
pub use events::Event;
pub use events::EventSplitter;
pub use events::EventTooLong;
pub use head::AnswerHead;
pub use head::RequestWriter;
pub use pool::ConnectionPool;
pub use sequence::EventPosition;
pub use sequence::RunSequence;
