//! The keys of leases in the object API.

use kernel::Clock;
use store::object::Listed;
use store::store::new_write_id;
use wire::DaemonName;

use crate::membership::LeaseSeen;

/// The prefix of the leases' keys: `daemons/NAME/INCARNATION`.
pub(crate) const LEASES: &str = "daemons/";
/// What ends the key of a leaving daemon's lease.
pub(crate) const LEAVING_SUFFIX: &str = ".leaving";

/// Returns the key of a daemon's lease.
pub(crate) fn lease_key(daemon: &DaemonName, incarnation: &str) -> String {
    format!("{LEASES}{daemon}/{incarnation}")
}

/// Reads a list of the leases' keys.
pub(crate) fn leases(listed: &[Listed]) -> Vec<LeaseSeen> {
    listed
        .iter()
        .filter_map(|line| {
            let (daemon, incarnation) = line.key.strip_prefix(LEASES)?.split_once('/')?;
            let unmarked = incarnation.strip_suffix(LEAVING_SUFFIX);
            Some(LeaseSeen {
                daemon: DaemonName::from(daemon),
                incarnation: unmarked.unwrap_or(incarnation).to_owned(),
                version: line.version,
                leaving: unmarked.is_some(),
            })
        })
        .collect()
}

/// Returns a name for this start of the daemon, later starts sorting after earlier ones.
pub fn new_incarnation() -> String {
    format!("{:013}-{}", Clock::unix_ms(), &new_write_id()[..8])
}
