//! Which work a pool takes when it is short of capacity.
//!
//! Answers bursts in which callers submit more for some seconds than a pool can run. Running the earliest
//! objective first then makes most jobs late, as each waits until it is nearly late. [`triage`] keeps a set of jobs
//! that can end in time together and defers the others. [`decide`] refuses a job that would end without value, and
//! [`Returns`] spaces the times at which refused callers return.
//!
//! Pure decisions: no I/O and no clock. Times are in milliseconds on the owner's clock, capacities in thousandths of
//! a core, and work in their product.

mod admission;
mod returns;
mod share;
mod triage;

pub use admission::{Admission, Backlog, decide};
pub use returns::{MAX_RETRY_MS, MAX_SLOTS, Returns};
pub use share::{Shares, fair_level};
pub use triage::{Class, Triage, triage};

/// A job with tasks that have not started.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Index of the customer in [`Shares`].
    pub customer: usize,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Expected work of the tasks that have not started.
    pub work: f64,
    /// Size that decides which of two jobs is deferred: the larger one has less value for its work.
    pub size: f64,
    /// Expected time of the longest chain of steps that are not complete.
    pub chain_ms: f64,
    /// End of the objective.
    pub due: f64,
    /// Time from which the result has no value.
    pub late_limit: f64,
    /// Has running tasks, or was promised room when it was refused before.
    pub held: bool,
}

/// Capacity of a pool for tasks that end.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pool {
    /// Capacity of the workers that can take tasks, without what long-running tasks hold.
    pub capacity: f64,
    /// Work that can start at once: free capacity times the expected duration of a task.
    pub free_work: f64,
    /// Expected duration of a task, of which one that runs has half left in the mean.
    pub task_ms: f64,
}

impl Pool {
    /// Milliseconds until a task can start behind `work` that has not started.
    #[must_use]
    pub fn wait(&self, work: f64) -> f64 {
        if self.capacity > 0.0 { ((work - self.free_work) / self.capacity).max(0.0) } else { f64::INFINITY }
    }
}

/// Percentage of jobs that compete by the size of another job of their queue. The largest tenth of a queue is to be
/// served at least half as often as all; with 50 and 60 it was not at three times a pool's work.
const REDRAWN_PERCENT: u64 = 70;

/// Size by which a job competes. The value of a job grows less than its work, so that small jobs go first. So that
/// large ones are not starved, some compete by the size of another job of their queue, `other`, if that is smaller:
/// these are served as often as the queue as a whole, however short the pool is. `id` decides which, so that a job
/// keeps its place from pass to pass.
#[must_use]
pub fn competing_size(work: f64, other: f64, id: &str) -> f64 {
    // FNV-1a; the upper half is better mixed than the lowest bits.
    let hash =
        id.bytes().fold(0xcbf2_9ce4_8422_2325_u64, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3));
    if (hash >> 32) % 100 < REDRAWN_PERCENT { work.min(other) } else { work }
}
