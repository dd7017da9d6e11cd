//! Decisions as pure functions: which team goes next, and which worker takes a task.
//!
//! Nothing here does I/O or reads a clock; randomness comes from a generator that the caller passes.

mod place;
mod share;

pub use place::{Avoid, Candidate, Choice, choose};
pub use share::{Claimant, distance, is_needier, max_min, pick};
