//! Memory of the large jobs that a shard keeps.
//!
//! A job of legal size can list thousands of steps, and its owner keeps it until its retention ends. Large jobs share
//! a bound; ordinary ones are far below the size from which a job is large.

use crate::job::{Step, StepRef, Task};
use crate::model::{JobSpec, StepSpec};
use crate::state::Shard;

/// Memory in bytes from which a job is large, that of about 400 steps. Steps of the known customers have 8 to 24 tasks,
/// and their jobs a few steps.
const LARGE_JOB_BYTES: u64 = 128 * 1_024;
/// Memory in bytes that a step takes besides its own size: its place in the order, and the allocator's part of three
/// allocations.
const STEP_OVERHEAD: usize = size_of::<StepRef>() + 3 * 16;

/// Bound on large jobs, and the memory of those that are kept, in bytes.
#[derive(Debug, Default)]
pub(crate) struct LargeJobs {
    limit: Option<u64>,
    kept: u64,
}

/// Whether there is memory for a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Room {
    /// It may be kept.
    Free,
    /// The large jobs that are kept leave no room for it.
    Full,
}

impl LargeJobs {
    /// Decides on a new job. The first large one is always kept.
    pub fn room(&self, spec: &JobSpec) -> Room {
        let (bytes, limit) = (large_bytes(spec), self.limit.unwrap_or(u64::MAX));
        let full = bytes > 0 && self.kept > 0 && self.kept.saturating_add(bytes) > limit;
        if full { Room::Full } else { Room::Free }
    }

    /// A job is kept from now on.
    pub fn add(&mut self, spec: &JobSpec) {
        self.kept = self.kept.saturating_add(large_bytes(spec));
    }

    /// A job is kept no longer.
    pub fn remove(&mut self, spec: &JobSpec) {
        self.kept = self.kept.saturating_sub(large_bytes(spec));
    }

    /// Memory of the large jobs that are kept, in bytes.
    pub const fn kept(&self) -> u64 {
        self.kept
    }
}

impl Shard {
    /// Bounds the memory of the large jobs that are kept, in bytes. Jobs beyond it are refused; those that a new owner
    /// loads are kept.
    pub const fn limit_large_jobs(&mut self, bytes: u64) {
        self.large_jobs.limit = Some(bytes);
    }
}

/// Memory of a large job with the tasks of an occurrence, in bytes; 0 for other jobs.
fn large_bytes(spec: &JobSpec) -> u64 {
    let step = |s: &StepSpec| {
        let texts =
            s.label.len() + s.preferred_rack.len() + s.image.len() + s.depends_on.len() * size_of::<u32>();
        let own = size_of::<StepSpec>() + size_of::<Step>() + STEP_OVERHEAD;
        own + texts + s.count as usize * size_of::<Task>()
    };
    let bytes = spec.payload.len() + spec.steps.iter().map(step).sum::<usize>();
    if bytes as u64 >= LARGE_JOB_BYTES { bytes as u64 } else { 0 }
}
