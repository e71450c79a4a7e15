//! The order of the events in an answer that may consist of several runs.

use crate::events::Event;

/// How an event relates to the events that the answer already has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventPosition {
    /// It is to be appended.
    Next,
    /// The answer already has it, or needs no comment there.
    Repeated,
    /// It does not continue the answer.
    Misplaced,
}

/// The position of one run's events in the answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RunSequence {
    last_event: Option<u64>,
    // Whether the answer has earlier events, and none of this run yet.
    is_first_missing: bool,
    has_output: bool,
    has_misplaced: bool,
}

impl RunSequence {
    /// Starts a run whose first new event is the one after `last_event`.
    pub fn resume_after(last_event: Option<u64>) -> Self {
        Self { last_event, is_first_missing: last_event.is_some(), ..Self::default() }
    }

    /// Returns the last event of the answer that has an id.
    pub fn last_event(&self) -> Option<u64> {
        self.last_event
    }

    /// Returns whether the run has added an event with data to the answer.
    pub fn has_output(&self) -> bool {
        self.has_output
    }

    /// Returns whether an event of the run did not continue the answer.
    pub fn has_misplaced(&self) -> bool {
        self.has_misplaced
    }

    /// Records that the next event of the run is appended, whatever its id.
    pub fn append(&mut self, event: &Event) {
        self.last_event = event.id.or(self.last_event);
        self.is_first_missing = false;
        self.has_output |= event.has_data();
    }

    /// Decides whether the next event of the run is appended, and records it.
    pub fn place(&mut self, event: &Event) -> EventPosition {
        let position = match (event.id, self.last_event) {
            (Some(id), Some(last)) if id <= last => EventPosition::Repeated,
            (Some(id), Some(last)) if self.is_first_missing && id - last > 1 => {
                EventPosition::Misplaced
            }
            (None, _) if !event.has_known_field() => EventPosition::Misplaced,
            (None, _) if self.is_first_missing && event.has_data() => EventPosition::Misplaced,
            (None, _) if self.is_first_missing => EventPosition::Repeated,
            _ => EventPosition::Next,
        };
        match position {
            EventPosition::Next => self.append(event),
            EventPosition::Repeated => {}
            EventPosition::Misplaced => self.has_misplaced = true,
        }
        position
    }
}
