//! Messages between daemons, one CBOR value in each binary WebSocket frame.

use serde::Deserialize;
use serde::Serialize;

use crate::DaemonName;
use crate::JobId;
use crate::Millis;
use crate::ModelName;
use crate::OrgName;
use crate::ReplicaName;
use crate::RequestId;

/// The first frame of a link, authenticated with a secret that all daemons share.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// The daemon that dials.
    pub daemon: DaemonName,
    /// The daemon that is dialled; a hello for another daemon is refused.
    pub to: DaemonName,
    /// The nonce that the dialled daemon chose for this connection.
    pub nonce: String,
    /// HMAC-SHA256 over the fields above, in hexadecimal.
    pub mac: String,
}

/// The challenge that a listening daemon sends before the hello.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Challenge {
    /// A random value, used once.
    pub nonce: String,
}

/// One frame after the hello.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// A call; its answer carries the same number.
    Call {
        /// Unique on this link.
        call: u64,
        /// The request.
        request: Request,
    },
    /// The answer to a call.
    Answer {
        /// The number of the call.
        call: u64,
        /// The answer.
        reply: Reply,
    },
    /// A message without an answer.
    Notice(Notice),
    /// Asks for a `KeepAliveAnswer` while calls are in progress.
    KeepAlive,
    /// The answer to `KeepAlive`; it shows that the link still carries frames in both directions.
    KeepAliveAnswer,
    /// The listening daemon is stopping: the dialling daemon makes no further call on this link and
    /// closes it once all its calls are answered.
    Closing,
}

/// Calls between daemons.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Request {
    /// Checks that the peer is alive and reports the bundle number in force at the sender.
    Ping(Heartbeat),
    /// Asks a lane owner to run one batch item.
    RunItem(RunItem),
    /// Asks which bundle is in force at the peer.
    InForce,
    /// Asks for the signed bundle with this digest.
    Bundle {
        /// The digest.
        digest: String,
    },
}

/// Answers between daemons.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// The answer to `Ping`.
    Pong(Heartbeat),
    /// The answer to `RunItem`.
    ItemEnd(ItemEnd),
    /// The answer to `InForce`.
    InForce(Pointer),
    /// The answer to `Bundle`: the signed bundle as JSON, if the answering daemon has it.
    Bundle(Option<String>),
}

/// Messages without an answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Notice {
    /// A job was accepted or cancelled; the owner of its shard reads it at once.
    JobChanged {
        /// The job.
        job: JobId,
    },
    /// The sender's online requests in flight on replicas of the receiver's lanes.
    Online(Vec<OnlineLevel>),
    /// A newer bundle is in force.
    InForce(Pointer),
    /// The sender is about to stop and accepts no new work.
    Leaving(Heartbeat),
    /// A daemon has missed a heartbeat; the receiver probes it as well.
    Doubt {
        /// The daemon.
        daemon: DaemonName,
    },
    /// The sender of this `RunItem` no longer needs its answer.
    StopItem {
        /// The request to stop.
        request_id: RequestId,
    },
}

/// The liveness and the bundle number in force of a daemon, exchanged between neighbours.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The incarnation of the sender; each start has its own.
    pub incarnation: String,
    /// The number of the bundle in force at the sender, 0 before the first bundle.
    pub in_force: u64,
    /// Whether the sender is stopping.
    pub leaving: bool,
}

/// The object that names the bundle in force.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Pointer {
    /// Incremented by one at every roll.
    pub number: u64,
    /// The digest of the bundle.
    pub digest: String,
}

/// Online requests of one daemon in flight on one replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OnlineLevel {
    /// The replica.
    pub replica: ReplicaName,
    /// The number of requests in flight, rounded up to a reporting level.
    pub level: u32,
}

/// One batch item to run on one replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunItem {
    /// The replica whose lane should run the item.
    pub replica: ReplicaName,
    /// The id of the run; a resume keeps it, and a new run gets a new one.
    pub request_id: RequestId,
    /// The model.
    pub model: ModelName,
    /// The organisation, for fair sharing of the lane.
    pub org: OrgName,
    /// When the job is due, in milliseconds since the Unix epoch.
    pub due_unix_ms: Millis,
    /// The text to complete.
    pub prompt: String,
    /// The maximum number of tokens to generate.
    pub max_tokens: u32,
    /// Whether the item may run more than once.
    pub idempotent: bool,
    /// Whether only a resume of an earlier run is allowed.
    pub resume_only: bool,
    /// Whether the item should run on the replica without any other batch item.
    pub alone: bool,
}

/// How one attempt at an item ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ItemEnd {
    /// The item was answered in full.
    Done {
        /// The generated text.
        text: String,
    },
    /// The backend server refused the item itself; a retry cannot succeed.
    ItemFault {
        /// The error message of the backend server.
        detail: String,
    },
    /// The backend server was lost while the item ran.
    BackendFault {
        /// The error that was observed.
        detail: String,
    },
    /// The item was certainly not run; the lane is full, has moved or has no backend server.
    NotRun {
        /// When to try this lane again.
        retry_after_ms: Millis,
    },
    /// The link was lost or the answer did not arrive in time; the item may have run.
    Unknown,
    /// The backend server does not know the run to resume.
    CannotResume,
    /// The item was stopped at the caller's request.
    Stopped,
}
