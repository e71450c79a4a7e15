//! The limits of the budget, in bytes.

/// The smallest host for which the shares are made, in MiB.
pub const MIN_MEMORY_MB: u64 = 88;

/// What the bytes are held for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Bodies of clients' requests, from the first byte until the request is answered.
    RequestBodies,
    /// Jobs: decoded submissions, inputs, results, and what is encoded of them.
    Jobs,
    /// Answers of replicas that are read or passed on.
    ReplicaAnswers,
    /// Calls from other daemons and the answers to them.
    PeerCalls,
    /// Answers of the store.
    StoreAnswers,
    /// Output that waits for a client to read it.
    Output,
}

impl Kind {
    /// Every kind, for gauges.
    pub const ALL: [Self; 6] = [
        Self::RequestBodies,
        Self::Jobs,
        Self::ReplicaAnswers,
        Self::PeerCalls,
        Self::StoreAnswers,
        Self::Output,
    ];

    /// Returns the name used in logs and gauges.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::RequestBodies => "request_bodies",
            Self::Jobs => "jobs",
            Self::ReplicaAnswers => "replica_answers",
            Self::PeerCalls => "peer_calls",
            Self::StoreAnswers => "store_answers",
            Self::Output => "output",
        }
    }

    /// Returns whether the kind may use the reserve.
    pub fn may_use_reserve(self) -> bool {
        matches!(self, Self::PeerCalls | Self::StoreAnswers)
    }
}

/// The limits of a budget, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// All kinds together.
    pub total_bytes: usize,
    /// The part of the total that only calls from peers and answers of the store may use.
    pub reserve_bytes: usize,
    /// Request bodies together.
    pub request_bodies_bytes: usize,
    /// The part of the request bodies' limit that only bodies of at most
    /// [`SMALL_BODY_BYTES`](crate::bodies::SMALL_BODY_BYTES) may use.
    pub small_bodies_bytes: usize,
    /// The request bodies of one client address while others want room.
    pub client_share_bytes: usize,
    /// Jobs together.
    pub jobs_bytes: usize,
    /// Answers of replicas together.
    pub replica_answers_bytes: usize,
    /// Output for slow readers together.
    pub output_bytes: usize,
}

impl Limits {
    /// Returns the limits of a process that may use `memory_mb`, in MiB; less than [`MIN_MEMORY_MB`]
    /// counts as that.
    ///
    /// Three eighths of the memory are counted here. The rest is for code, connections, routes,
    /// sockets and what the allocator cannot return. Jobs and answers at their limits leave a 24th of
    /// the memory for request bodies. On the smallest host one job of 4 MiB fits with its decoded and
    /// encoded copies, and two request bodies of 4 MiB.
    pub fn for_memory_mb(memory_mb: u64) -> Self {
        let memory_mb = usize::try_from(memory_mb.max(MIN_MEMORY_MB)).unwrap_or(usize::MAX);
        let memory_bytes = memory_mb.saturating_mul(1 << 20);
        let request_bodies_bytes = memory_bytes / 8;
        Self {
            total_bytes: memory_bytes / 8 * 3,
            reserve_bytes: memory_bytes / 24,
            request_bodies_bytes,
            small_bodies_bytes: request_bodies_bytes / 4,
            client_share_bytes: request_bodies_bytes / 4,
            jobs_bytes: memory_bytes / 6,
            replica_answers_bytes: memory_bytes / 8,
            output_bytes: memory_bytes / 24,
        }
    }

    /// Returns limits that nothing reaches.
    pub fn unlimited() -> Self {
        Self {
            total_bytes: usize::MAX,
            reserve_bytes: 0,
            request_bodies_bytes: usize::MAX,
            small_bodies_bytes: 0,
            client_share_bytes: usize::MAX,
            jobs_bytes: usize::MAX,
            replica_answers_bytes: usize::MAX,
            output_bytes: usize::MAX,
        }
    }

    /// Returns the limit of one kind.
    pub fn of_kind(&self, kind: Kind) -> usize {
        match kind {
            Kind::RequestBodies => self.request_bodies_bytes,
            Kind::Jobs => self.jobs_bytes,
            Kind::ReplicaAnswers => self.replica_answers_bytes,
            Kind::Output => self.output_bytes,
            Kind::PeerCalls | Kind::StoreAnswers => self.total_bytes,
        }
    }

    /// Returns the limit of all bodies together for one that is larger than a small one.
    pub fn large_bodies_bytes(&self) -> usize {
        self.request_bodies_bytes.saturating_sub(self.small_bodies_bytes)
    }
}
