//! Unhealthy workers: those that are unreachable, refuse starts, fail their tasks or make no progress.

use crate::Ms;
use crate::io::StartReply;
use crate::job::TaskRef;
use crate::state::Shard;
use crate::worker::{Reachability, Run, RunPhase, StopCause, WorkerKey};

/// Delay before a failed poll is repeated.
pub(crate) const POLL_RETRY_MS: Ms = 250;
/// Consecutive failures after which a worker is backed off. Only the first failure of a task counts.
const FAILURE_THRESHOLD: u32 = 3;
/// Backoff of such a worker.
const FAILURE_BACKOFF_MS: Ms = 4_000;
/// Backoff after a refused start.
const REFUSAL_BACKOFF_MS: Ms = 300;
/// Time without an answer after which the rest of a worker's leases is noted in the log, and again after
/// each such time.
const LEASE_NOTE_INTERVAL_MS: Ms = 1_000;
/// Shortest time without progress after which a run counts as stalled.
const PROGRESS_TIMEOUT_MS: Ms = 2_500;
/// Multiple of the time that a percent of a run takes, by its own pace or the task's estimate, before a longer time
/// without progress counts.
const PROGRESS_SLACK: Ms = 4;
/// Most times that the shortest time doubles.
const MAX_PROGRESS_DOUBLINGS: usize = 10;

impl Shard {
    /// Attributes failures to a worker, and backs it off at the threshold.
    pub(crate) fn count_failures(&mut self, key: WorkerKey, count: u32) {
        let now = self.now;
        let worker = &mut self.workers[key];
        worker.failure_streak += count;
        if worker.failure_streak >= FAILURE_THRESHOLD {
            worker.backoff_until = now + FAILURE_BACKOFF_MS;
            // After the backoff, a single failure backs it off again.
            worker.failure_streak = FAILURE_THRESHOLD - 1;
            tracing::info!(worker = %worker.info.id, rest = FAILURE_BACKOFF_MS, "shard: worker backed off after consecutive failures");
        }
    }

    /// Backs a worker off after a start that it refused or that was not sent.
    pub(crate) fn back_off(&mut self, key: WorkerKey, reply: StartReply) {
        let now = self.now;
        let worker = &mut self.workers[key];
        tracing::debug!(worker = %worker.info.id, ?reply, "shard: start refused");
        if reply == StartReply::NotSent {
            worker.reachability = Reachability::Unreachable;
        }
        worker.backoff_until = worker.backoff_until.max(now + REFUSAL_BACKOFF_MS);
    }

    /// Notes in the log how long the leases of silent workers still last, so that owners which take over
    /// from one another do not each wait for the longest lease.
    pub(crate) fn note_leases(&mut self) {
        let (now, timing) = (self.now, self.timing);
        for (key, worker) in self.workers.iter_mut() {
            let silent = !worker.runs.is_empty() && worker.lease_left(&timing, now) > 0;
            if silent && now >= worker.lease_noted_at + LEASE_NOTE_INTERVAL_MS {
                worker.lease_noted_at = now;
                self.dirty_workers.insert(key);
            }
        }
    }

    /// Drops the runs of workers that have not answered until their leases have certainly expired.
    pub(crate) fn expire_leases(&mut self) {
        let expired = self.workers.iter().filter(|(_, w)| {
            let silent = w.reachability != Reachability::Reachable || w.polling;
            let end = w.leases_end(&self.timing);
            !w.runs.is_empty() && silent && end != 0 && self.now >= end
        });
        let keys: Vec<WorkerKey> = expired.map(|(key, _)| key).collect();
        for key in keys {
            self.drop_lost_runs(key, "lease expired");
            let worker = &mut self.workers[key];
            worker.reachability = Reachability::Unreachable;
            worker.clock = None;
        }
        self.remove_unlisted_workers();
    }

    /// Stops stalled runs, so that their tasks start elsewhere.
    pub(crate) fn stop_stalled_runs(&mut self, key: WorkerKey) {
        let now = self.now;
        let worker = &self.workers[key];
        let stalled: Vec<TaskRef> = worker
            .runs
            .iter()
            .filter(|(_, r)| !r.long_running && !r.best_effort && matches!(r.phase, RunPhase::Running(_)))
            .filter(|(_, r)| r.progress_percent < 100 && now >= r.progressed_at + PROGRESS_TIMEOUT_MS)
            .filter(|(t, r)| now >= r.progressed_at + self.progress_timeout(t, r))
            .map(|(t, _)| *t)
            .collect();
        for task in &stalled {
            let task_id = self.task_id(task).map(|n| n.to_string());
            let worker = &mut self.workers[key];
            if let Some(run) = worker.runs.get_mut(task) {
                run.stop(StopCause::Stalled);
                tracing::info!(worker = %worker.info.id, task = task_id, percent = run.progress_percent, "shard: run makes no progress");
            }
        }
        if !stalled.is_empty() {
            self.count_failures(key, FAILURE_THRESHOLD);
        }
    }

    /// Time without progress after which a run counts as stalled. It doubles with each worker on which the task failed
    /// or stalled, as a task can be much longer than estimated.
    fn progress_timeout(&self, task: &TaskRef, run: &Run) -> Ms {
        let estimate = self
            .jobs
            .get(&task.step_ref.job)
            .map_or(0, |j| j.spec.steps.get(task.step_ref.step as usize).map_or(0, |s| s.estimate));
        let pace = match u64::from(run.progress_percent) {
            0 => estimate / 100,
            percent => run.progressed_at.saturating_sub(run.planned_at) / percent,
        };
        let doublings = self.task(task).map_or(0, |t| t.avoided_workers.len()).min(MAX_PROGRESS_DOUBLINGS);
        (PROGRESS_TIMEOUT_MS << doublings).max(pace.saturating_mul(PROGRESS_SLACK))
    }
}
