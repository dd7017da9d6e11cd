//! Draining of workers for maintenance, within the disruption budgets of steps.

use std::collections::HashSet;

use crate::Ms;
use crate::job::{TaskRef, TaskState};
use crate::state::Shard;
use crate::worker::{LATE_CALL_MS, Reachability, RunPhase, StopCause, Worker, WorkerKey};

/// Time in milliseconds after which a cordon ends unless it is renewed. Whoever cordoned the worker may be gone, or
/// its request to end the cordon lost.
pub const CORDON_MS: Ms = 5_000;
/// Checkpointing runs at or above this progress are left to finish.
const NEARLY_DONE_PERCENT: u32 = 80;
/// Progress that workers report for a long-running task in service.
const SERVING_PERCENT: u32 = 100;

impl Shard {
    /// Cordons a worker, or renews its cordon, or makes it schedulable again.
    pub(crate) fn set_cordoned(&mut self, id: &str, cordoned: bool) {
        if let Some(key) = self.worker_key(id) {
            self.workers[key].cordoned_until = if cordoned { self.now + CORDON_MS } else { 0 };
        }
    }

    pub(crate) fn set_maintenance_due(&mut self, service: &str, workers: &[String]) {
        let due: HashSet<&String> = workers.iter().collect();
        for worker in self.workers.values_mut().filter(|w| w.info.service == service) {
            worker.maintenance_due = due.contains(&worker.info.id);
        }
    }

    /// Number of runs on a worker; `None` while the worker does not answer. Unknown workers have none.
    #[must_use]
    pub fn remaining_runs(&self, id: &str) -> Option<usize> {
        let Some(key) = self.worker_key(id) else { return Some(0) };
        let worker = &self.workers[key];
        if worker.removed {
            return Some(0);
        }
        (worker.reachability == Reachability::Reachable)
            .then_some(worker.runs.len() + worker.unknown_runs.len())
    }

    /// Evicts tasks from cordoned workers, then long-running tasks from workers that are due for maintenance.
    /// The latter starts before the cordon because disruption budgets let only a few tasks of a step move at
    /// once, which takes much of a wave's time.
    pub(crate) fn drain_workers(&mut self) {
        for cordoned in [true, false] {
            let now = self.now;
            let drains = |w: &Worker| w.cordoned(now) == cordoned && (cordoned || w.maintenance_due);
            let draining = self.workers.iter().filter(|(_, w)| drains(w) && !w.removed && !w.runs.is_empty());
            let keys: Vec<WorkerKey> = draining.map(|(key, _)| key).collect();
            for key in keys {
                self.drain_worker(key);
            }
        }
    }

    fn drain_worker(&mut self, key: WorkerKey) {
        let tasks: Vec<TaskRef> = self.workers[key].runs.keys().copied().collect();
        for task in tasks {
            if self.can_evict(key, &task)
                && let Some(run) = self.workers[key].runs.get_mut(&task)
            {
                run.stop(StopCause::Maintenance);
            }
        }
    }

    /// Whether a run may be stopped for maintenance now.
    fn can_evict(&self, key: WorkerKey, task: &TaskRef) -> bool {
        let Some(run) = self.workers[key].runs.get(task) else { return false };
        let Some(job) = self.jobs.get(&task.step_ref.job) else { return false };
        let Some(spec) = job.spec.steps.get(task.step_ref.step as usize) else { return false };
        if !matches!(run.phase, RunPhase::Running(_)) {
            return false;
        }
        let bound = self.now < run.late_until();
        if bound && !self.workers[key].cordoned(self.now) {
            return false;
        }
        if spec.long_running {
            return self.can_miss(task) && self.fits_elsewhere(key, task);
        }
        self.workers[key].cordoned(self.now)
            && spec.checkpointing
            && run.progress_percent < NEARLY_DONE_PERCENT
            && self.fits_elsewhere(key, task)
    }

    /// Whether the disruption budget of its step, if it is a long-running one, allows a task to be stopped now.
    pub(crate) fn can_miss(&self, task: &TaskRef) -> bool {
        let job = self.jobs.get(&task.step_ref.job);
        let Some(spec) = job.and_then(|j| j.spec.steps.get(task.step_ref.step as usize)) else { return true };
        !spec.long_running || self.unavailable_tasks(task) < (spec.disruption_budget as usize).max(1)
    }

    /// Number of other tasks of the step that are not in service.
    fn unavailable_tasks(&self, task: &TaskRef) -> usize {
        let Some(job) = self.jobs.get(&task.step_ref.job) else { return usize::MAX };
        let Some(step) =
            job.occurrence(task.step_ref.occurrence).and_then(|o| o.steps.get(task.step_ref.step as usize))
        else {
            return usize::MAX;
        };
        let serving = |index: u32, key: WorkerKey| {
            let other = TaskRef { step_ref: task.step_ref, index };
            let Some(worker) = self.workers.get(key) else { return false };
            // The last report of an unreachable worker may be outdated, and a stop that an earlier owner
            // requested may still be in progress.
            let known = worker.reachability == Reachability::Reachable && self.prior_stops_done(worker);
            let run = worker.runs.get(&other).filter(|_| known);
            run.is_some_and(|r| {
                // A stop without an answer may still end it.
                let stopped = r.stop_sent_at != 0 && self.now < r.stop_sent_at + LATE_CALL_MS;
                matches!(r.phase, RunPhase::Running(_)) && r.progress_percent >= SERVING_PERCENT && !stopped
            })
        };
        (0..)
            .zip(&step.tasks)
            .filter(|(index, _)| *index != task.index)
            .filter(|(index, t)| !matches!(t.state, TaskState::Placed(key) if serving(*index, key)))
            .count()
    }

    /// Whether stops that earlier owners requested from a worker had ended when it last answered.
    fn prior_stops_done(&self, worker: &Worker) -> bool {
        worker.first_contact.is_some_and(|at| worker.answered_at() >= at + self.timing.stop_interval)
    }

    /// Whether the best worker for a task is another one; before the cordon, one that is not due itself.
    fn fits_elsewhere(&self, from: WorkerKey, task: &TaskRef) -> bool {
        let Some(job) = self.jobs.get(&task.step_ref.job) else { return false };
        let Some(spec) = job.spec.steps.get(task.step_ref.step as usize) else { return false };
        let before_cordon = !self.workers[from].cordoned(self.now);
        let suitable = |to: WorkerKey| to != from && !(before_cordon && self.workers[to].maintenance_due);
        self.choose_worker(task, spec, None).is_some_and(suitable)
    }
}
