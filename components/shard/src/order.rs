//! Which step comes next.

use crate::Ms;
use crate::job::{Job, StepRef};
use crate::machine::Shard;

/// Objectives in time up to which a job still earns something.
const LATE: f64 = 3.0;

/// Order of steps: lasting tasks, then jobs that can be in time, then late ones, then hopeless ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Rank {
    Lasting,
    InTime,
    Late,
    Hopeless,
}

impl Shard {
    /// Steps with tasks to start, first things first.
    pub(crate) fn ranked(&self) -> Vec<StepRef> {
        let mut steps: Vec<((Rank, u32, Ms), StepRef)> =
            self.ready.iter().filter_map(|&at| Some((self.rank(self.jobs.get(&at.job)?, at), at))).collect();
        steps.sort_unstable();
        steps.into_iter().map(|(_, at)| at).collect()
    }

    pub(crate) fn rank(&self, job: &Job, at: StepRef) -> (Rank, u32, Ms) {
        let spec = &job.spec;
        if spec.steps.get(at.step as usize).is_some_and(|s| s.lasting && !s.filler) {
            return (Rank::Lasting, spec.priority, job.since);
        }
        let start = job.turn(at.turn).filter(|_| spec.repeat.is_some()).map_or(job.since, |t| t.due);
        let objective = objective(job);
        let due = start + objective;
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "a span in milliseconds")]
        let last = start + (objective as f64 * LATE) as Ms;
        let rank = if self.now <= due {
            Rank::InTime
        } else if self.now <= last {
            Rank::Late
        } else {
            Rank::Hopeless
        };
        (rank, spec.priority, due)
    }
}

/// Time in which a job should be complete, in milliseconds.
fn objective(job: &Job) -> Ms {
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "a span in milliseconds")]
    let work = (job.chain() as f64 * job.spec.stretch) as Ms;
    work + job.spec.target
}
