//! The choice of the bundle in force at one daemon, as a pure state machine: the number in force
//! never decreases.

use wire::link::Pointer;

/// An input of the state machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The object API reports an accepted bundle.
    PointerFromStore(Pointer),
    /// A peer reports an accepted bundle.
    PointerFromPeer(Pointer),
    /// The object API holds no bundle or did not answer.
    NoPointerFromStore,
    /// A requested bundle was fetched, and its digest and signatures are valid.
    Fetched(Pointer),
    /// A requested bundle could not be fetched or is not valid.
    FetchFailed(Pointer),
}

/// An action that the caller must carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Fetch the bundle from the object API or a peer.
    Fetch(Pointer),
    /// Put the bundle in force.
    Apply(Pointer),
    /// Notify peers of the bundle in force.
    Announce(Pointer),
    /// Report two bundles with the same number, which the conditional update should prevent.
    ReportConflict(Pointer),
}

/// The bundle in force and the one being fetched.
///
/// After a start, pointers from peers are deferred until the object API has been tried once, so
/// that a restarted daemon does not fall back to an older bundle of a stale peer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct BundleInForce {
    current: Pointer,
    fetching: Option<Pointer>,
    has_tried_store: bool,
    deferred: Option<Pointer>,
}

impl BundleInForce {
    /// Returns the pointer to the bundle in force; its number is 0 before the first bundle.
    pub fn current(&self) -> &Pointer {
        &self.current
    }

    /// Handles an event and returns the actions to carry out.
    pub fn step(&mut self, event: Event) -> Vec<Action> {
        match event {
            Event::PointerFromStore(pointer) => {
                self.has_tried_store = true;
                self.on_pointer(pointer)
            }
            Event::PointerFromPeer(pointer) if self.has_tried_store => self.on_pointer(pointer),
            Event::PointerFromPeer(pointer) => {
                self.deferred = self.deferred.take().max(Some(pointer));
                Vec::new()
            }
            Event::NoPointerFromStore => {
                self.has_tried_store = true;
                self.deferred.take().map_or_else(Vec::new, |pointer| self.on_pointer(pointer))
            }
            Event::Fetched(pointer) => self.on_fetched(pointer),
            Event::FetchFailed(pointer) => self.on_fetch_failed(&pointer),
        }
    }

    fn on_pointer(&mut self, pointer: Pointer) -> Vec<Action> {
        if pointer.number == self.current.number && pointer.digest != self.current.digest {
            return vec![Action::ReportConflict(pointer)];
        }
        let newest = self.fetching.as_ref().map_or(self.current.number, |fetching| fetching.number);
        if pointer.number <= newest {
            return Vec::new();
        }
        self.fetching = Some(pointer.clone());
        vec![Action::Fetch(pointer)]
    }

    fn on_fetched(&mut self, pointer: Pointer) -> Vec<Action> {
        if self.fetching.as_ref() == Some(&pointer) {
            self.fetching = None;
        }
        if pointer.number <= self.current.number {
            return Vec::new();
        }
        self.current = pointer.clone();
        vec![Action::Apply(pointer.clone()), Action::Announce(pointer)]
    }

    fn on_fetch_failed(&mut self, pointer: &Pointer) -> Vec<Action> {
        // The next pointer to the bundle starts a new fetch.
        if self.fetching.as_ref() == Some(pointer) {
            self.fetching = None;
        }
        Vec::new()
    }
}
