//! Faults that a stub can inject.

use serde::Deserialize;
use serde::Serialize;

/// One fault, sent as JSON to the stub's path `/stub/fault`.
///
/// The platform and the plain services treat `Restart` as `Down` and `Silence` as `Freeze`; the
/// engines ignore `DropAnswers`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "fault", rename_all = "snake_case")]
pub enum Fault {
    /// Lose all state and break off all streams, as a restarted process does.
    Restart,
    /// Refuse all calls until `Heal`, and break off all streams.
    Down,
    /// Answer nothing until `Heal`; connections stay open.
    Freeze,
    /// Send nothing more on the streams that are open now, even after `Heal`; new streams work.
    Silence,
    /// Wait before each answer; an engine also lengthens each step by the delay.
    Slow {
        /// Delay of each answer, in milliseconds.
        wait_ms: u64,
    },
    /// Apply the next writes but drop their answers.
    DropAnswers {
        /// Number of answers to drop.
        count: u32,
    },
    /// End all faults.
    Heal,
}
