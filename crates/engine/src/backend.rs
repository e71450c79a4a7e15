//! Backend servers as a trait; each dialect is one adapter.

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
pub struct Generation {
    /// The id under which the run can be resumed and cancelled.
    pub request_id: RequestId,
    /// The model, with an adapter as `model:adapter`.
    pub model: ModelName,
    /// The text to complete.
    pub prompt: String,
    /// The most tokens to generate, those of `generated` included.
    pub max_tokens: u32,
    /// Tokens that another replica has generated already; the run goes on after them.
    pub generated: Vec<String>,
}

/// One generated token.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Token {
    /// The run that made it.
    pub request_id: RequestId,
    /// Its place in the answer, from 0.
    pub index: u32,
    /// Its text.
    pub text: String,
}

/// One thing read from a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamItem {
    /// A token.
    Token(Token),
    /// The run has ended.
    End,
}

/// The load that a backend server told with an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Streams that it runs.
    pub running: u32,
}

/// Why a call to a backend server brought no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BackendError {
    /// The call certainly did not reach the backend server.
    NotSent(String),
    /// The backend server said that it did not run the call and that another may.
    Busy(String),
    /// The backend server refused the call itself; trying again cannot help.
    Refused(String),
    /// The connection was lost or silent after the call may have arrived.
    Lost(String),
    /// The backend server does not know the run that should be resumed.
    UnknownRun,
    /// The order carries an old fencing number.
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

/// A stream of tokens from one connection.
#[async_trait]
pub trait TokenStream: Send {
    /// Returns the next item; waiting longer than `wait_ms` is a loss.
    async fn next(&mut self, wait_ms: Millis) -> Result<StreamItem, BackendError>;

    /// Returns the load that the backend server told at the start of the answer.
    fn load(&self) -> Option<Load>;
}

/// A call to a plain service.
#[derive(Clone, Debug)]
pub struct ServiceRequest {
    /// The id of the call.
    pub request_id: RequestId,
    /// The call's name.
    pub call: String,
    /// The body, passed on as it is.
    pub body: Bytes,
}

/// An order that changes what a backend server runs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "order", rename_all = "snake_case")]
pub enum Order {
    /// Load a model's version with its adapters.
    Load {
        /// The model.
        model: ModelName,
        /// The version.
        version: String,
        /// The adapters, as `name@version`.
        adapters: Vec<String>,
    },
    /// Take a role.
    Role {
        /// The role's name.
        role: String,
    },
}

/// A backend server's protocol.
#[async_trait]
pub trait Backend: Send + Sync + 'static {
    /// Starts a run.
    async fn generate(
        &self,
        address: SocketAddr,
        generation: &Generation,
        wait_ms: Millis,
    ) -> Result<Box<dyn TokenStream>, BackendError>;

    /// Reads on in a run, from the token `from_index`.
    async fn resume(
        &self,
        address: SocketAddr,
        request_id: &RequestId,
        from_index: u32,
        wait_ms: Millis,
    ) -> Result<Box<dyn TokenStream>, BackendError>;

    /// Stops a run; `keep` leaves it ready to be resumed.
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
        wait_ms: Millis,
    ) -> Result<Bytes, BackendError>;

    /// Gives an order under a fencing number.
    async fn order(
        &self,
        address: SocketAddr,
        fencing_number: u64,
        order: &Order,
        wait_ms: Millis,
    ) -> Result<(), BackendError>;
}
