//! Refusal of jobs that would end without value.

use crate::{Candidate, Pool};

/// Factor by which an estimate can be wrong, either way.
const ESTIMATE_ERROR: f64 = 2.0;

/// Accepted work that goes before a new job.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Backlog {
    /// Expected work of jobs of more urgent priorities that still have value.
    pub urgent: f64,
    /// Expected work of such jobs of its own priority.
    pub equal: f64,
    /// Part of `equal` that is of its customer.
    pub own: f64,
    /// Capacity that its customer has at least, in thousandths of a core.
    pub share: f64,
    /// Number of the jobs in `urgent` and `equal`.
    pub jobs: f64,
    /// Priority at which jobs were last deferred, and size of the largest one kept there; none while the pool is
    /// not short.
    pub limit: Option<(u32, f64)>,
}

impl Backlog {
    /// Work that goes before the job. A customer does not wait for more than its share lets it wait, as the jobs of
    /// others that are beyond their shares come later.
    #[must_use]
    pub fn work(&self, capacity: f64) -> f64 {
        let alone = if self.share > 0.0 { self.own * (capacity / self.share).max(1.0) } else { self.equal };
        self.urgent + self.equal.min(alone)
    }
}

/// Answer to a new job.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Admission {
    /// It may end while it has value.
    Accept,
    /// It would end without value.
    Refuse {
        /// Projected end.
        end: f64,
    },
}

/// Decides on a new job. It is refused only if the pool is short, the job would not be kept before others, and it
/// would end after its late limit even if estimates err in the caller's favour. The error of a sum of independent
/// estimates falls with the root of their number.
#[must_use]
pub fn decide(now: f64, pool: &Pool, backlog: &Backlog, job: &Candidate) -> Admission {
    let Some((priority, size)) = backlog.limit else { return Admission::Accept };
    if pool.capacity <= 0.0 || job.held || job.priority < priority {
        return Admission::Accept;
    }
    if job.priority == priority && job.size < size {
        return Admission::Accept;
    }
    let error = ESTIMATE_ERROR.powf(backlog.jobs.max(1.0).sqrt().recip());
    let end = now + pool.wait(backlog.work(pool.capacity) / error) + job.chain_ms / ESTIMATE_ERROR;
    if end > job.late_limit { Admission::Refuse { end } } else { Admission::Accept }
}
