//! The bounds of the open connections of each server, from the descriptors and the memory of the process.

/// The descriptors that the platform reserves.
const RESERVED_DESCRIPTORS: u64 = 200;
/// The parts into which the other descriptors are divided.
const PARTS: u64 = 32;
/// The parts for clients' requests. As many are left for the connections to replicas, of which each request
/// needs one.
const INGRESS_PARTS: u64 = 12;
/// The parts for control calls of other daemons.
const CONTROL_PARTS: u64 = 2;
/// The parts for directory lookups.
const DIRECTORY_PARTS: u64 = 2;
/// The parts for readiness checks, and those for the metrics page.
const CHECK_PARTS: u64 = 1;
/// The least bound of a server, whatever the settings say.
const MIN_CONNECTIONS: u64 = 8;

/// The share of the memory that clients' connections may take, as a divisor. The budget has three eighths,
/// the other servers have an eighth; a quarter is left for code, routes and calls.
const INGRESS_MEMORY_DIVISOR: u64 = 4;
/// The share of the memory that the connections of all other servers may take, as a divisor.
const OTHER_MEMORY_DIVISOR: u64 = 8;
/// The parts into which that share is divided.
const OTHER_MEMORY_PARTS: u64 = 24;
/// The parts for control calls. After a restart of a fleet, daemons call a few others at the same moment
/// for the configuration and the list of replicas, so that these get most.
const CONTROL_MEMORY_PARTS: u64 = 16;
/// The parts for directory lookups.
const DIRECTORY_MEMORY_PARTS: u64 = 6;
/// The parts for readiness checks, and those for the metrics page.
const CHECK_MEMORY_PARTS: u64 = 1;
/// The mean memory per client connection when all are open, beside the bytes that the budget counts, in
/// bytes: 42 KB with a head of 14,000 bytes and an incomplete body, and unread bytes in the kernel's buffer,
/// 43 KB or, for the first quarter of the connections, 128 KB. Neither the growth of the buffers in that
/// quarter by large bodies nor the kernel's buffers of unread answers are included.
pub const INGRESS_CONNECTION_BYTES: u64 = 108 << 10;
/// The most memory that a connection of another server takes, in bytes: 26 KB with a head of 16 KB, and some
/// unread bytes; these servers read calls at once, and the budget counts the calls' bodies.
pub const OTHER_CONNECTION_BYTES: u64 = 48 << 10;
/// The smallest memory for which the bounds are made, in MiB; less counts as that, as in the budget.
const MIN_MEMORY_MB: u64 = budget::limits::MIN_MEMORY_MB;

/// The maximum number of open connections of each server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionBounds {
    /// Clients' requests.
    pub ingress: usize,
    /// Control calls of other daemons.
    pub control: usize,
    /// Directory lookups.
    pub directory: usize,
    /// Readiness checks.
    pub readiness: usize,
    /// The metrics page.
    pub metrics: usize,
}

impl ConnectionBounds {
    /// Returns the bounds of a process that may open `max_descriptors` descriptors and use `memory_mb`,
    /// in MiB.
    pub fn for_host(max_descriptors: u64, memory_mb: u64) -> Self {
        Self::for_max_descriptors(max_descriptors).within_memory(memory_mb)
    }

    /// Returns the bounds of a process that may open `max_descriptors` descriptors.
    ///
    /// A sixteenth of the descriptors that are not reserved stays for calls to the store, to peers and for
    /// items of jobs, if all other connections are open.
    pub fn for_max_descriptors(max_descriptors: u64) -> Self {
        let usable = max_descriptors.saturating_sub(RESERVED_DESCRIPTORS);
        let bound = |parts: u64| {
            let connections = (usable / PARTS).saturating_mul(parts).max(MIN_CONNECTIONS);
            usize::try_from(connections).unwrap_or(usize::MAX)
        };
        Self {
            ingress: bound(INGRESS_PARTS),
            control: bound(CONTROL_PARTS),
            directory: bound(DIRECTORY_PARTS),
            readiness: bound(CHECK_PARTS),
            metrics: bound(CHECK_PARTS),
        }
    }

    /// Lowers the bounds such that connections with unread heads and bodies stay within their share of the
    /// memory. Designed for clients that open as many connections as the descriptors allow, each with a
    /// large head and a small body that stops short: the best result is the number that the share holds.
    fn within_memory(self, memory_mb: u64) -> Self {
        let memory_bytes = memory_mb.max(MIN_MEMORY_MB).saturating_mul(1 << 20);
        let connections = |share_bytes: u64, connection_bytes: u64| {
            let connections = (share_bytes / connection_bytes).max(MIN_CONNECTIONS);
            usize::try_from(connections).unwrap_or(usize::MAX)
        };
        let part_bytes = memory_bytes / OTHER_MEMORY_DIVISOR / OTHER_MEMORY_PARTS;
        let other = |parts: u64| connections(part_bytes * parts, OTHER_CONNECTION_BYTES);
        let ingress = connections(memory_bytes / INGRESS_MEMORY_DIVISOR, INGRESS_CONNECTION_BYTES);
        Self {
            ingress: self.ingress.min(ingress),
            control: self.control.min(other(CONTROL_MEMORY_PARTS)),
            directory: self.directory.min(other(DIRECTORY_MEMORY_PARTS)),
            readiness: self.readiness.min(other(CHECK_MEMORY_PARTS)),
            metrics: self.metrics.min(other(CHECK_MEMORY_PARTS)),
        }
    }
}
