//! Tasks that may only start on the worker of an earlier run, for a time.
//!
//! A start that was not answered may be carried out seconds later. The worker refuses it once the run has been stopped or
//! has ended there, but if the worker restarts meanwhile, its next incarnation knows nothing of that. So until no such
//! request can be left, the task starts on that worker only: a restart then ends the newer run as well, and the raised
//! fencing token bars the request. The task is free to go elsewhere when the worker leaves. While the worker is silent, the
//! task waits; but not beyond the worker's leases if the list does not show the worker either or if the task is
//! long-running.

use crate::Ms;
use crate::job::TaskRef;
use crate::state::Shard;
use crate::worker::{LATE_CALL_MS, Reachability, Run, WorkerKey};

/// Where a task may start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Binding {
    /// On any worker.
    Free,
    /// On this worker only.
    To(WorkerKey),
    /// Nowhere at present.
    Held,
}

impl Run {
    /// When none of its start requests can be on the way any more; 0 if each was answered.
    pub const fn starts_over(&self) -> Ms {
        if self.unanswered_at == 0 { 0 } else { self.unanswered_at + LATE_CALL_MS }
    }
}

impl Shard {
    /// Binds a task to the worker of a run that has left its table, while a start of that run may be on its way.
    pub(crate) fn bind_task(&mut self, task: &TaskRef, key: WorkerKey, run: &Run) {
        let until = run.starts_over();
        if self.now < until && !run.copies_allowed {
            self.with_task(task, |t| t.bound = Some((key, until)));
        }
    }

    /// Where a waiting task may start.
    pub(crate) fn binding(&self, task: &TaskRef) -> Binding {
        let Some(entry) = self.task(task) else { return Binding::Free };
        let Some((key, _)) = entry.bound.filter(|b| self.now < b.1) else {
            return Binding::Free;
        };
        let Some(worker) = self.workers.get(key) else { return Binding::Free };
        let silent = worker.reachability != Reachability::Reachable;
        let leaves = worker.removed || worker.cordoned(self.now) || (worker.listed && !worker.info.ready);
        // A long-running task has to be back within seconds.
        let urgent = !worker.listed || self.is_long_running(task);
        if leaves || (silent && urgent && self.now >= worker.leases_end(&self.timing)) {
            Binding::Free
        } else if worker.schedulable(self.now) && !entry.avoided_workers.contains(&key) {
            Binding::To(key)
        } else {
            Binding::Held
        }
    }
}
