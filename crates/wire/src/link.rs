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

/// The first frame of a link, signed with a key that all daemons share.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// The daemon that dials.
    pub daemon: DaemonName,
    /// The daemon that is dialled; a hello for another daemon is refused.
    pub to: DaemonName,
    /// A value that the dialled daemon chose for this connection.
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
    /// A call that wants an answer with the same number.
    Call {
        /// Unique on this link.
        call: u64,
        /// What is asked.
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
    /// Shows that the link still carries frames both ways.
    KeepAliveAnswer,
    /// The listening daemon stops: the dialling one makes no further call on this link and closes
    /// it once all its calls are answered.
    Closing,
}

/// Calls between daemons.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Request {
    /// Asks whether the peer is alive and tells what is in force here.
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
    /// The answer to `Bundle`: the signed bundle as JSON, if it is known here.
    Bundle(Option<String>),
}

/// Messages without an answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Notice {
    /// A job was accepted or cancelled; its home daemon reads it now.
    JobChanged {
        /// The job.
        job: JobId,
    },
    /// The sender's online requests in flight on replicas of the receiver's lanes.
    Online(Vec<OnlineLevel>),
    /// A newer bundle is in force.
    InForce(Pointer),
    /// The sender stops soon and takes no new work.
    Leaving(Heartbeat),
    /// A daemon has missed a heartbeat; the receiver probes it itself.
    Doubt {
        /// The daemon.
        daemon: DaemonName,
    },
    /// The caller of this `RunItem` no longer wants its answer.
    StopItem {
        /// The request to stop.
        request_id: RequestId,
    },
}

/// Liveness and the number in force, exchanged by neighbours.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The start of the sender that speaks.
    pub incarnation: String,
    /// The number in force at the sender, 0 before the first.
    pub in_force: u64,
    /// Whether the sender is stopping.
    pub leaving: bool,
}

/// The object that names the bundle in force.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Pointer {
    /// Raised by one at every roll.
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
    /// Stable over resumes of one run; a new run gets a new id.
    pub request_id: RequestId,
    /// The model.
    pub model: ModelName,
    /// The organisation, for fair shares.
    pub org: OrgName,
    /// When the job is due, in milliseconds since the Unix epoch.
    pub due_unix_ms: Millis,
    /// The text to complete.
    pub prompt: String,
    /// The most tokens to generate.
    pub max_tokens: u32,
    /// Whether the item may run more than once.
    pub idempotent: bool,
    /// Whether only a resume of an earlier run is allowed.
    pub resume_only: bool,
    /// Whether the item should share the replica with no other batch item.
    pub alone: bool,
}

/// How one try at an item ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ItemEnd {
    /// The whole answer.
    Done {
        /// The generated text.
        text: String,
    },
    /// The backend server refused the item itself; trying again cannot help.
    ItemFault {
        /// The backend server's words.
        detail: String,
    },
    /// The backend server was lost while the item ran.
    BackendFault {
        /// What was seen.
        detail: String,
    },
    /// The item was certainly not run; the lane is full, moved or has no backend server.
    NotRun {
        /// When to try this lane again.
        retry_after_ms: Millis,
    },
    /// The link was lost or the answer did not come in time; the item may have run.
    Unknown,
    /// The backend server does not know the run that should be resumed.
    CannotResume,
    /// The item was stopped on the caller's wish.
    Stopped,
}
