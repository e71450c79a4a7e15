//! The partial output of unfinished items.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use upstream::Event;

/// The output of an item so far.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Progress {
    /// The data of the events so far, joined with line feeds.
    pub text: String,
    /// The number of events with data so far.
    pub events: u32,
    /// The id of the last event that had one.
    pub last_event: Option<u64>,
}

impl Progress {
    /// Appends an event, unless its id shows that it is a repetition, as after a resumed stream.
    pub fn append(&mut self, event: &Event) {
        if let (Some(id), Some(last)) = (event.id, self.last_event)
            && id <= last
        {
            return;
        }
        if event.has_data() {
            if self.events > 0 {
                self.text.push('\n');
            }
            event.append_data(&mut self.text);
            self.events += 1;
        }
        self.last_event = event.id.or(self.last_event);
    }
}

/// The progress of one item in a job's record, from which a new home resumes it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SavedProgress {
    /// The item's id.
    pub item: Arc<str>,
    /// The number of runs that the replica answered with a failure.
    pub failures: u32,
    /// The item's output so far.
    pub progress: Progress,
}
