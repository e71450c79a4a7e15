//! Calls to an object store with objects by kind and name, and the codec that encodes them.

use bytes::Bytes;
use http::Method;
use http::StatusCode;
use wire::Millis;
use wire::rendezvous;

use crate::object::StoreError;

/// One call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Reads one object.
    Get {
        /// The kind.
        kind: &'static str,
        /// The name.
        name: String,
    },
    /// Reads one page of the objects of a kind.
    Page {
        /// The kind.
        kind: &'static str,
        /// The last name of the previous page; empty for the first page.
        after: String,
        /// Whether the answer may be seconds old; such a call costs a tenth of a fresh one.
        may_be_stale: bool,
    },
    /// Waits for changes of a kind.
    Changes {
        /// The kind.
        kind: &'static str,
        /// The revision after which changes are requested.
        since: u64,
        /// The maximum wait.
        wait_ms: Millis,
    },
    /// Creates an object.
    Create {
        /// The kind.
        kind: &'static str,
        /// The name.
        name: String,
        /// The value, in JSON.
        value: Bytes,
    },
    /// Replaces the status of an object.
    SetStatus {
        /// The kind.
        kind: &'static str,
        /// The name.
        name: String,
        /// The revision that the object must have; `None` for any.
        revision: Option<u64>,
        /// The status, in JSON.
        status: Bytes,
    },
    /// Replaces the value of an object.
    Replace {
        /// The kind.
        kind: &'static str,
        /// The name.
        name: String,
        /// The revision that the object must have; `None` for any.
        revision: Option<u64>,
        /// The value, in JSON.
        value: Bytes,
    },
    /// Removes an object.
    Remove {
        /// The kind.
        kind: &'static str,
        /// The name.
        name: String,
    },
}

impl Call {
    /// Returns whether the call changes the store.
    pub fn is_write(&self) -> bool {
        !matches!(self, Self::Get { .. } | Self::Page { .. } | Self::Changes { .. })
    }

    /// Returns the verb as it appears in logs and metrics.
    pub fn verb(&self) -> &'static str {
        match self {
            Self::Get { .. } => "get",
            Self::Page { .. } => "page",
            Self::Changes { .. } => "changes",
            Self::Create { .. } => "create",
            Self::SetStatus { .. } => "set_status",
            Self::Replace { .. } => "replace",
            Self::Remove { .. } => "remove",
        }
    }

    /// Returns the kind of object that the call reads or writes.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Get { kind, .. }
            | Self::Page { kind, .. }
            | Self::Changes { kind, .. }
            | Self::Create { kind, .. }
            | Self::SetStatus { kind, .. }
            | Self::Replace { kind, .. }
            | Self::Remove { kind, .. } => kind,
        }
    }
}

/// One object of a kind.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredObject {
    /// The name.
    pub name: String,
    /// The revision of its last change.
    pub revision: u64,
    /// The value, in JSON.
    pub value: Bytes,
    /// The status, in JSON; empty if there is none.
    pub status: Bytes,
}

impl StoredObject {
    /// Returns a digest that tells the versions of malformed objects apart.
    pub fn version_digest(&self) -> u64 {
        let parts = [rendezvous::hash(self.name.as_bytes()), rendezvous::hash(&self.value)];
        parts.iter().fold(self.revision, |digest, part| {
            rendezvous::hash(&[digest.to_be_bytes(), part.to_be_bytes()].concat())
        })
    }
}

/// An entry of an answer that cannot be read as an object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MalformedObject {
    /// A digest of its bytes, which tells its versions apart.
    pub digest: u64,
    /// A description of the fault.
    pub message: String,
}

/// One page of a list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Page {
    /// The objects.
    pub objects: Vec<StoredObject>,
    /// The entries that cannot be read.
    pub malformed: Vec<MalformedObject>,
    /// Whether further objects follow the last name.
    pub has_more: bool,
    /// The store's revision.
    pub revision: u64,
}

/// One change of a kind.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The object after the change, or before it if the object was removed.
    pub object: StoredObject,
    /// Whether the object was removed.
    pub is_removed: bool,
}

/// Changes that happened after the revision of the call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Changes {
    /// The changes, in order.
    pub changes: Vec<Change>,
    /// The changes that cannot be read.
    pub malformed: Vec<MalformedObject>,
    /// The revision from which to continue.
    pub revision: u64,
}

impl Changes {
    /// Returns the revision of a change, which is that of the whole answer if the object has none or
    /// one that the store has not reached.
    pub fn revision_of(&self, change: &Change) -> u64 {
        match change.object.revision {
            0 => self.revision,
            revision => revision.min(self.revision),
        }
    }
}

/// The result of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The object, as read or as written.
    Object(StoredObject),
    /// The object does not exist.
    Absent,
    /// One page.
    Page(Page),
    /// The changes; empty if none happened within the wait.
    Changes(Changes),
    /// The store no longer has the history since the requested revision; list the kind again.
    HistoryGone,
    /// The object exists already, or its revision differs from the one that the call expected.
    Conflict(Option<StoredObject>),
    /// The call succeeded and returned nothing.
    Done,
}

impl Reply {
    /// Returns the entries of a page or of changes that cannot be read.
    pub fn malformed(&self) -> &[MalformedObject] {
        match self {
            Self::Page(page) => &page.malformed,
            Self::Changes(changes) => &changes.malformed,
            _ => &[],
        }
    }
}

/// A call encoded as an HTTP request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EncodedCall {
    /// The method.
    pub method: Method,
    /// The path and the query.
    pub target: String,
    /// The body; empty if there is none.
    pub body: Bytes,
}

/// The encoding of calls and answers of a store; it has no logic of its own.
pub trait ObjectCodec {
    /// Encodes a call.
    fn encode(&self, call: &Call) -> EncodedCall;

    /// Decodes an answer.
    fn decode(&self, call: &Call, status: StatusCode, body: &Bytes) -> Result<Reply, StoreError>;
}
