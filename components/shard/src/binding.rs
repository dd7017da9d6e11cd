//! Tasks that may only start on the worker of an earlier run, for a time.
//!
//! A start that was not answered may be carried out seconds later. The worker refuses it once the run has been stopped or
//! has ended there, but if the worker restarts meanwhile, its next incarnation knows nothing of that. So until no such
//! request can be left, the task starts on that worker only: a restart then ends the newer run as well, and the raised
//! fencing token bars the request. The task is free to go elsewhere when the worker leaves, but not while it is only cordoned.
//! While the worker is silent, the task waits, as the last moment's request may have begun it: until the leases have expired
//! that the request granted, or, if the list does not show the worker either, those that the owner knows of. A long-running task has to
//! be back within seconds, so it does not wait; it returns to the worker if there is room. So does a task whose run an
//! earlier owner recorded and nobody knows of any more. A task that avoids the worker, or that it may not run any more, is free.

use crate::Ms;
use crate::job::{Bound, TaskRef};
use crate::model::TaskId;
use crate::state::Shard;
use crate::worker::{LATE_CALL_MS, Reachability, Run, RunPhase, WorkerKey};

/// Where a task may start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Binding {
    /// On any worker.
    Free,
    /// On this worker only.
    To(WorkerKey),
    /// On this worker, or on another one if this one has no room.
    Preferred(WorkerKey),
    /// Nowhere at present.
    Held,
}

/// A start that may still reach its worker, of a run that has left the worker's table; one for each task, under the highest
/// run number.
#[derive(Clone, Debug)]
pub(crate) struct LateStart {
    pub task_id: TaskId,
    pub run: u32,
    pub until: Ms,
}

impl Run {
    /// When none of its start requests can be on the way any more; 0 if each was answered.
    pub const fn late_until(&self) -> Ms {
        if self.unanswered_at == 0 { 0 } else { self.unanswered_at + LATE_CALL_MS }
    }

    /// Notes that the run has begun. If only one start request was sent for it, that one has been carried out.
    pub const fn note_begun(&mut self) {
        if self.tries == 1 {
            self.unanswered_at = 0;
        }
    }
}

impl Shard {
    /// Binds a task to the worker of a run that has left its table, while a start of that run may be on its way.
    pub(crate) fn bind_task(&mut self, task: &TaskRef, worker: WorkerKey, run: &Run) {
        // What became of the requests of an earlier owner is known only as far as it recorded that.
        let inherited = run.phase == RunPhase::Inherited;
        let unanswered = self.now < run.late_until();
        if (unanswered || inherited) && !run.copies_allowed {
            let until = if unanswered { run.late_until() } else { self.now + LATE_CALL_MS };
            self.with_task(task, |t| {
                t.bound = Some(Bound { worker, until, unanswered });
                t.late_until = t.late_until.max(until);
            });
            let (now, task_id) = (self.now, self.task_id(task));
            if let (Some(row), Some(task_id)) = (self.workers.get_mut(worker), task_id) {
                let earlier = row.late_starts.iter().find(|s| s.task_id == task_id);
                let (number, until) =
                    earlier.map_or((run.number, until), |s| (s.run.max(run.number), s.until.max(until)));
                row.late_starts.retain(|s| now < s.until && s.task_id != task_id);
                row.late_starts.push(LateStart { task_id, run: number, until });
            }
        }
    }

    /// Where a waiting task may start.
    pub(crate) fn binding(&self, task: &TaskRef) -> Binding {
        let Some(entry) = self.task(task) else { return Binding::Free };
        let Some(bound) = entry.bound else { return Binding::Free };
        let Some(worker) = self.workers.get(bound.worker) else { return Binding::Free };
        // A silent worker may have carried the start out at last, and run the task until its lease expires.
        let known = worker.answered_at() >= bound.until || worker.removed;
        let over = if known { bound.until } else { bound.until + self.timing.longest_lease() };
        if self.now >= over {
            return Binding::Free;
        }
        let silent = worker.reachability != Reachability::Reachable;
        let suitable = self.jobs.get(&task.step_ref.job).is_none_or(|j| {
            let spec = j.spec.steps.get(task.step_ref.step as usize);
            spec.is_none_or(|s| self.suitable(bound.worker, s, &j.spec.service))
        });
        // A cordon ends, or its worker leaves, before the task may go elsewhere.
        let leaves = worker.removed || (worker.listed && !worker.info.ready);
        let gone = silent && !worker.listed && self.now >= worker.leases_end(&self.timing);
        let strict = bound.unanswered && !self.is_long_running(task);
        if !suitable || entry.avoided_workers.contains(&bound.worker) {
            Binding::Free
        } else if worker.schedulable(self.now) {
            if strict { Binding::To(bound.worker) } else { Binding::Preferred(bound.worker) }
        } else if leaves || gone || !strict {
            Binding::Free
        } else {
            Binding::Held
        }
    }
}
