//! Small models of the core protocol, searched exhaustively.
//!
//! Each model steps the same pure types that the daemon runs. A search visits every state within the model's
//! bounds, breadth first, so a broken promise comes with a shortest way to it. Each model can be run with one
//! of its rules left out; such a mutant must break the promise, which shows that the rule is needed and that
//! the search would notice.

pub mod in_force;
pub mod once;
pub mod units;

use std::cell::Cell;
use std::hash::Hash;

/// A model with bounds.
pub trait Model {
    /// One state of everything.
    type State: Clone + Eq + Hash;

    /// First state.
    fn start(&self) -> Self::State;

    /// All states that can come next.
    fn next(&self, state: &Self::State) -> Vec<Self::State>;

    /// True if the promise is broken.
    fn broken(&self, state: &Self::State) -> bool;
}

/// What a search found.
#[derive(Debug, Clone)]
pub struct Found<S> {
    /// Number of states visited.
    pub states: usize,
    /// True if the search visited every state within the model's bounds.
    pub whole: bool,
    /// Shortest way to a broken promise.
    pub broken: Option<Vec<S>>,
}

/// Visits all states, but goes on from `most` of them only, so that memory stays bounded.
pub fn search<M: Model>(model: &M, most: usize) -> Found<M::State> {
    let visited = Cell::new(0);
    let next = |state: &M::State| {
        visited.set(visited.get() + 1);
        if visited.get() > most { Vec::new() } else { model.next(state) }
    };
    let broken = pathfinding::prelude::bfs(&model.start(), next, |state| model.broken(state));
    Found { states: visited.get(), whole: visited.get() <= most, broken }
}
