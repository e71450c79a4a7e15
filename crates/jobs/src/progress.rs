//! The output of an item that is not finished.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use upstream::Event;

/// The output of an item so far.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Progress {
    /// The data of the events so far.
    pub text: String,
    /// The number of events so far.
    pub events: u32,
    /// The last event's place.
    pub last_event: Option<u64>,
}

impl Progress {
    /// Adds an event; one that is there already, such as after a resumption, is dropped.
    pub fn take(&mut self, event: &Event) {
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

/// The progress of one item as a job's record keeps it, for a home that takes the job over.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SavedProgress {
    /// The item.
    pub item: Arc<str>,
    /// The answers of failure that it got.
    pub failures: u32,
    /// Its output so far.
    pub progress: Progress,
}
