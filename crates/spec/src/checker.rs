//! Breadth-first search over the states of a model.

use std::cell::Cell;
use std::fmt::Debug;
use std::hash::Hash;

use pathfinding::prelude::bfs;

/// A system whose states can be enumerated.
pub trait Model: Clone + Debug + Eq + Hash {
    /// Returns the successor states, each with the name of the step that leads to it.
    fn successors(&self) -> Vec<(String, Self)>;

    /// Returns the invariant that this state breaks, if any.
    fn broken_invariant(&self) -> Option<&'static str>;
}

/// A state and the step that led to it; equality and hash ignore the step.
#[derive(Clone, Debug)]
struct Node<M> {
    step: String,
    state: M,
}

impl<M: PartialEq> PartialEq for Node<M> {
    fn eq(&self, other: &Self) -> bool {
        self.state == other.state
    }
}

impl<M: Eq> Eq for Node<M> {}

impl<M: Hash> Hash for Node<M> {
    fn hash<H: std::hash::Hasher>(&self, hasher: &mut H) {
        self.state.hash(hasher);
    }
}

/// The result of a search.
#[derive(Clone, Debug)]
pub struct Verdict {
    /// The number of states whose successors were computed.
    pub states: usize,
    /// Whether the search reached its limit before it had explored every state.
    pub is_truncated: bool,
    /// The broken invariant and the shortest path to it.
    pub counterexample: Option<Counterexample>,
}

/// The shortest path to a broken invariant.
#[derive(Clone, Debug)]
pub struct Counterexample {
    /// The invariant.
    pub invariant: &'static str,
    /// The steps from the initial state.
    pub steps: Vec<String>,
}

/// Explores a model breadth first and computes the successors of at most `max_states` states.
pub fn check<M: Model>(start: M, max_states: usize) -> Verdict {
    let states = Cell::new(0);
    let start = Node { step: "start".to_owned(), state: start };
    let successors = |node: &Node<M>| {
        if states.get() >= max_states {
            return Vec::new();
        }
        states.set(states.get() + 1);
        let successors = node.state.successors().into_iter();
        successors.map(|(step, state)| Node { step, state }).collect()
    };
    let path = bfs(&start, successors, |node| node.state.broken_invariant().is_some());
    let counterexample = path.and_then(|path| {
        let invariant = path.last()?.state.broken_invariant()?;
        let steps = path.into_iter().map(|node| node.step).collect();
        Some(Counterexample { invariant, steps })
    });
    Verdict { states: states.get(), is_truncated: states.get() >= max_states, counterexample }
}
