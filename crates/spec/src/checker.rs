//! Breadth-first search over the states of a model.

use std::cell::Cell;
use std::fmt::Debug;
use std::hash::Hash;

use pathfinding::prelude::bfs;

/// A system whose states can be enumerated.
pub trait Model: Clone + Debug + Eq + Hash {
    /// Returns the states that can follow, each with the name of the step.
    fn next(&self) -> Vec<(String, Self)>;

    /// Returns the invariant that is broken, if one is.
    fn broken(&self) -> Option<&'static str>;
}

/// A state and the step that led to it; states that differ only in the step are the same.
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

/// What a search found.
#[derive(Clone, Debug)]
pub struct Verdict {
    /// The number of states whose followers were computed.
    pub states: usize,
    /// Whether the search ended before every state was seen.
    pub is_cut: bool,
    /// The broken invariant and the shortest way to it.
    pub counterexample: Option<Counterexample>,
}

/// The shortest way to a broken invariant.
#[derive(Clone, Debug)]
pub struct Counterexample {
    /// The invariant.
    pub invariant: &'static str,
    /// The steps from the first state.
    pub steps: Vec<String>,
}

/// Explores a model breadth first, up to `max_states`.
pub fn check<M: Model>(start: M, max_states: usize) -> Verdict {
    let states = Cell::new(0);
    let start = Node { step: "start".to_owned(), state: start };
    let followers = |node: &Node<M>| {
        if states.get() >= max_states {
            return Vec::new();
        }
        states.set(states.get() + 1);
        let next = node.state.next().into_iter();
        next.map(|(step, state)| Node { step, state }).collect()
    };
    let path = bfs(&start, followers, |node| node.state.broken().is_some());
    let counterexample = path.and_then(|path| {
        let invariant = path.last()?.state.broken()?;
        let steps = path.into_iter().map(|node| node.step).collect();
        Some(Counterexample { invariant, steps })
    });
    Verdict { states: states.get(), is_cut: states.get() >= max_states, counterexample }
}
