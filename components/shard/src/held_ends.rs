//! Ends that are not acknowledged yet, because a start of their task may still be carried out.
//!
//! An acknowledged end is final: the worker forgets it, and the platform expects no further start of the task. But a start
//! that went without an answer may be carried out seconds later, after the same start, sent again, has completed the task.
//! The worker refuses it then; its next incarnation does not, until a poll has told it a higher fencing token. So the owner
//! acknowledges an end that settles its task only when no start of the task can be left. If the worker restarts before, the
//! end is lost with it, and a start that begins there is stopped like any run of a task that is done.
//!
//! The effects of a held end are stored and shown like those of any other. The worker lists it again until it is
//! acknowledged, and with it all later ones, as a poll acknowledges all ends up to a number. Where too many would have to
//! wait, the earliest are acknowledged all the same.

use crate::Ms;
use crate::Verdict;
use crate::job::TaskRef;
use crate::model::TaskId;
use crate::report::{RunEnd, RunOutcome};
use crate::state::Shard;
use crate::worker::{LATE_CALL_MS, Run, Worker, WorkerKey};

/// Most ends of a worker that stay unacknowledged for this. A worker lists at most 500 ends at a time, so later ones would
/// not be seen.
const MAX_UNACKNOWLEDGED: u64 = 400;

/// Pause before a worker with held ends is polled again, in milliseconds, for each of these workers, so that they take
/// 250 polls a second together; and the shortest one.
const POLL_PAUSE_EACH_MS: Ms = 4;
const MIN_POLL_PAUSE_MS: Ms = 20;

/// An end that may not be acknowledged yet.
#[derive(Clone, Debug)]
pub(crate) struct HeldEnd {
    /// Its sequence number.
    pub sequence: u64,
    pub task_id: TaskId,
    /// When no start of the task can be on its way any more.
    pub until: Ms,
}

impl Worker {
    /// Highest sequence number that may be acknowledged.
    pub fn final_ends(&self, now: Ms) -> u64 {
        let held = self.held_ends.iter().filter(|e| now < e.until).map(|e| e.sequence);
        let held = held.min().map_or(u64::MAX, |first| first - 1);
        self.ends_stored.min(held.max(self.ends_seen.saturating_sub(MAX_UNACKNOWLEDGED)))
    }
}

impl Shard {
    /// Pause before a worker is polled again that lists held ends, and so answers at once.
    pub(crate) fn held_poll_pause(&self) -> Ms {
        let held = self.workers.values().filter(|w| w.final_ends(self.now) < w.ends_stored).count();
        (POLL_PAUSE_EACH_MS * held as Ms).max(MIN_POLL_PAUSE_MS)
    }

    /// Holds an end that settles its task, while a start of the task may be on its way until `late_until`.
    pub(crate) fn hold_end(&mut self, key: WorkerKey, end: &RunEnd, task: &TaskRef, late_until: Ms) {
        let open = self.jobs.get(&task.step_ref.job).is_some_and(|j| j.verdict == Verdict::Open);
        let settles = match end.outcome {
            RunOutcome::Done => !self.is_long_running(task),
            RunOutcome::Failed => !open,
            RunOutcome::Interrupted => false,
        };
        if !settles || late_until <= self.now || self.copies_allowed(task) {
            return;
        }
        let (now, worker) = (self.now, &mut self.workers[key]);
        tracing::info!(worker = %worker.info.id, task = %end.task_id, run = end.run, number = end.sequence, ms = late_until - now, "shard: end not acknowledged yet, a start of its task may be on its way");
        worker.held_ends.retain(|e| now < e.until);
        worker.held_ends.push(HeldEnd {
            sequence: end.sequence,
            task_id: end.task_id.clone(),
            until: late_until,
        });
    }

    /// When no start of a task can be on its way any more; for the member of a gang, none of the gang.
    pub(crate) fn late_starts_until(&self, key: WorkerKey, task: &TaskRef) -> Ms {
        let job = self.jobs.get(&task.step_ref.job);
        let spec = job.and_then(|j| j.spec.steps.get(task.step_ref.step as usize));
        let members = match spec {
            Some(spec) if spec.gang => 0..spec.count,
            _ => task.index..task.index + 1,
        };
        let runs_of = |t: TaskRef| self.workers.values().filter_map(move |w| w.runs.get(&t));
        let until = |t: TaskRef| {
            let runs = runs_of(t).map(Run::late_until).max().unwrap_or(0);
            // Of a task that is not in the tables any more, only its worker is known.
            runs.max(self.task(&t).map_or(self.workers[key].late_until, |entry| entry.late_until))
        };
        members.map(|index| until(TaskRef { index, ..*task })).max().unwrap_or(0)
    }

    /// Notes that a start went without an answer, after its run has left the table.
    pub(crate) fn note_late_start(&mut self, task: &TaskRef, task_id: &TaskId) {
        let until = self.now + LATE_CALL_MS;
        self.with_task(task, |t| t.late_until = t.late_until.max(until));
        let held = self.workers.values_mut().flat_map(|w| &mut w.held_ends);
        for end in held.filter(|e| e.task_id == *task_id) {
            end.until = end.until.max(until);
        }
    }
}
