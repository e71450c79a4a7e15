//! Faults that a stand-in can be told to show.

use serde::Deserialize;
use serde::Serialize;

/// One fault, as JSON on the stand-in's `/stub/fault` path.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "fault", rename_all = "snake_case")]
pub enum Fault {
    /// Forget everything and cut all streams, as a restarted process does.
    Restart,
    /// Refuse all calls until `Heal`, and cut all streams.
    Down,
    /// Answer nothing until `Heal`, with connections left open.
    Freeze,
    /// Send nothing more on the connections that are open now; new ones work.
    Silence,
    /// Wait before each answer.
    Slow {
        /// The wait in milliseconds.
        wait_ms: u64,
    },
    /// Apply the next writes and drop their answers.
    DropAnswers {
        /// How many.
        count: u32,
    },
    /// End all faults.
    Heal,
}
