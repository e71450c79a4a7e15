//! The keys of the daemons' leases in the object API.

use kernel::Clock;
use store::object::ListEntry;
use store::store::new_write_id;
use wire::DaemonName;

use crate::membership::ListedLease;

/// The prefix of lease keys, which have the form `daemons/NAME/INCARNATION`.
pub(crate) const LEASE_PREFIX: &str = "daemons/";
/// The suffix of the lease key of a daemon that is leaving.
pub(crate) const LEAVING_SUFFIX: &str = ".leaving";

/// Returns the key of a daemon's lease.
pub(crate) fn lease_key(daemon: &DaemonName, incarnation: &str) -> String {
    format!("{LEASE_PREFIX}{daemon}/{incarnation}")
}

/// Parses a listing of lease keys and skips keys of another form.
pub(crate) fn parse_leases(listed: &[ListEntry]) -> Vec<ListedLease> {
    listed
        .iter()
        .filter_map(|entry| {
            let (daemon, incarnation) = entry.key.strip_prefix(LEASE_PREFIX)?.split_once('/')?;
            let without_suffix = incarnation.strip_suffix(LEAVING_SUFFIX);
            Some(ListedLease {
                daemon: DaemonName::from(daemon),
                incarnation: without_suffix.unwrap_or(incarnation).to_owned(),
                version: entry.version,
                is_leaving: without_suffix.is_some(),
            })
        })
        .collect()
}

/// Returns a new incarnation for this daemon; later incarnations sort after earlier ones.
pub fn new_incarnation() -> String {
    format!("{:013}-{}", Clock::unix_ms(), &new_write_id()[..8])
}
