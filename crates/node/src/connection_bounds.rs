//! The bounds of the open connections of each server, from the descriptors of the process.

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
}
