//! Scheduling decisions as pure functions: which team's request starts next, and on which worker it runs.
//!
//! The crate does no I/O and reads no clock; the caller passes the random number generator.

mod fairness;
mod placement;

pub use fairness::{TeamUsage, deviation, max_min_allocation, pick_team, should_hand_over};
pub use placement::{Candidate, PlacementStrategy, PriorFailure, choose_worker};
