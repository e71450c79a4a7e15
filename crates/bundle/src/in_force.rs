//! The order of bundles at one daemon, as a pure core: the number in force never falls.

use wire::link::Pointer;

/// What the daemon learns about bundles.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The object API names a bundle as accepted.
    SeenInStore(Pointer),
    /// A peer names a bundle as accepted.
    SeenAtPeer(Pointer),
    /// The object API has no bundle, or does not answer.
    StoreSilent,
    /// The bundle that was asked for arrived, and its digest and signatures are good.
    Fetched(Pointer),
    /// The bundle that was asked for could not be had or is not good.
    FetchFailed(Pointer),
}

/// What the daemon does about it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Gets the bundle from the object API or a peer.
    Fetch(Pointer),
    /// Puts the bundle in force.
    Apply(Pointer),
    /// Tells the peers.
    Announce(Pointer),
    /// Counts two bundles under one number, which the conditional update rules out.
    ReportConflict(Pointer),
}

/// The bundle in force, and the one being fetched.
///
/// After a start the object API is asked before a peer's word counts, so that a restarted daemon
/// does not go back to what a stale peer still has.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct InForce {
    current: Pointer,
    wanted: Option<Pointer>,
    was_store_asked: bool,
    held_back: Option<Pointer>,
}

impl InForce {
    /// Returns the bundle in force; number 0 before the first.
    pub fn current(&self) -> &Pointer {
        &self.current
    }

    /// Takes one event and returns what to do.
    pub fn step(&mut self, event: Event) -> Vec<Action> {
        match event {
            Event::SeenInStore(pointer) => {
                self.was_store_asked = true;
                self.on_seen(pointer)
            }
            Event::SeenAtPeer(pointer) if self.was_store_asked => self.on_seen(pointer),
            Event::SeenAtPeer(pointer) => {
                self.held_back = self.held_back.take().max(Some(pointer));
                Vec::new()
            }
            Event::StoreSilent => {
                self.was_store_asked = true;
                self.held_back.take().map_or_else(Vec::new, |pointer| self.on_seen(pointer))
            }
            Event::Fetched(pointer) => self.on_fetched(pointer),
            Event::FetchFailed(pointer) => self.on_fetch_failed(&pointer),
        }
    }

    fn on_seen(&mut self, pointer: Pointer) -> Vec<Action> {
        if pointer.number == self.current.number && pointer.digest != self.current.digest {
            return vec![Action::ReportConflict(pointer)];
        }
        let newest = self.wanted.as_ref().map_or(self.current.number, |wanted| wanted.number);
        if pointer.number <= newest {
            return Vec::new();
        }
        self.wanted = Some(pointer.clone());
        vec![Action::Fetch(pointer)]
    }

    fn on_fetched(&mut self, pointer: Pointer) -> Vec<Action> {
        if self.wanted.as_ref() == Some(&pointer) {
            self.wanted = None;
        }
        if pointer.number <= self.current.number {
            return Vec::new();
        }
        self.current = pointer.clone();
        vec![Action::Apply(pointer.clone()), Action::Announce(pointer)]
    }

    fn on_fetch_failed(&mut self, pointer: &Pointer) -> Vec<Action> {
        // The next sighting asks again.
        if self.wanted.as_ref() == Some(pointer) {
            self.wanted = None;
        }
        Vec::new()
    }
}
