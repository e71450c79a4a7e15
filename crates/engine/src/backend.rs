//! The interface to backend servers as a trait, with one implementation for each protocol.

use std::fmt;
use std::net::SocketAddr;

use async_trait::async_trait;
use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use wire::Millis;
use wire::ModelName;
use wire::RequestId;

/// A request to generate text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GenerationRequest {
    /// The id under which the run can be resumed and cancelled.
    pub request_id: RequestId,
    /// The model, with an adapter as `model:adapter`.
    pub model: ModelName,
    /// The text to complete.
    pub prompt: String,
    /// The maximum number of tokens to generate, including those in `generated`.
    pub max_tokens: u32,
    /// Tokens that an earlier run has already generated; this run continues after them.
    pub generated: Vec<String>,
}

/// One generated token.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Token {
    /// The run that generated the token.
    pub request_id: RequestId,
    /// The index of the token in the answer, from 0.
    pub index: u32,
    /// The text of the token.
    pub text: String,
}

/// An item read from a token stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamItem {
    /// A token.
    Token(Token),
    /// The run has ended.
    End,
}

/// The load that a backend server reported in the headers of an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BackendLoad {
    /// The number of streams that the backend server runs.
    pub running: u32,
}

/// The reason why a call to a backend server failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BackendError {
    /// The call certainly did not reach the backend server.
    NotSent(String),
    /// The backend server reported that it did not run the call and that another one may.
    Busy(String),
    /// The backend server refused the call itself; a retry cannot help.
    Refused(String),
    /// The call may have run, but its answer was lost, timed out or is unusable.
    Lost(String),
    /// The backend server does not know the run that should be resumed or cancelled.
    UnknownRun,
    /// The fencing number of the order is lower than one that the backend server has seen.
    Fenced,
}

impl fmt::Display for BackendError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(message) => write!(f, "the backend server was not reached: {message}"),
            Self::Busy(message) => write!(f, "the backend server is busy: {message}"),
            Self::Refused(message) => write!(f, "the backend server refused: {message}"),
            Self::Lost(message) => write!(f, "the backend server was lost: {message}"),
            Self::UnknownRun => f.write_str("the backend server does not know this run"),
            Self::Fenced => f.write_str("the order carries an old fencing number"),
        }
    }
}

impl std::error::Error for BackendError {}

/// A stream of tokens over one connection.
#[async_trait]
pub trait TokenStream: Send {
    /// Returns the next item, or `BackendError::Lost` if none arrives within `timeout_ms`.
    async fn next(&mut self, timeout_ms: Millis) -> Result<StreamItem, BackendError>;

    /// Returns the load that the backend server reported at the start of the answer.
    fn load(&self) -> Option<BackendLoad>;
}

/// A call to a plain service.
#[derive(Clone, Debug)]
pub struct ServiceRequest {
    /// The id of the call.
    pub request_id: RequestId,
    /// The name of the call.
    pub call: String,
    /// The request body, passed on unchanged.
    pub body: Bytes,
}

/// An order that changes what a backend server runs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "order", rename_all = "snake_case")]
pub enum Order {
    /// Load a version of a model with its adapters.
    Load {
        /// The model.
        model: ModelName,
        /// The version.
        version: String,
        /// The adapters, as `name@version`.
        adapters: Vec<String>,
    },
    /// Switch to a role.
    Role {
        /// The name of the role.
        role: String,
    },
}

/// The protocol of a backend server.
#[async_trait]
pub trait Backend: Send + Sync + 'static {
    /// Starts a run and returns its token stream.
    async fn generate(
        &self,
        address: SocketAddr,
        request: &GenerationRequest,
        timeout_ms: Millis,
    ) -> Result<Box<dyn TokenStream>, BackendError>;

    /// Reattaches to a run and streams its tokens from `from_index` on.
    async fn resume(
        &self,
        address: SocketAddr,
        request_id: &RequestId,
        from_index: u32,
        timeout_ms: Millis,
    ) -> Result<Box<dyn TokenStream>, BackendError>;

    /// Stops a run; with `keep`, the backend server keeps its state so that it can be resumed.
    async fn cancel(
        &self,
        address: SocketAddr,
        request_id: &RequestId,
        keep: bool,
    ) -> Result<(), BackendError>;

    /// Calls a plain service.
    async fn call(
        &self,
        address: SocketAddr,
        request: &ServiceRequest,
        timeout_ms: Millis,
    ) -> Result<Bytes, BackendError>;

    /// Sends an order with a fencing number.
    async fn order(
        &self,
        address: SocketAddr,
        fencing_number: u64,
        order: &Order,
        timeout_ms: Millis,
    ) -> Result<(), BackendError>;
}
