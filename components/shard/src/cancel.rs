//! Cancellation of jobs, and stop requests for runs that must end.

use crate::io::Action;
use crate::job::TaskRef;
use crate::model::Verdict;
use crate::state::Shard;
use crate::worker::{Reachability, Run, RunPhase, StopCause, WorkerKey};

impl Shard {
    pub(crate) fn cancel(&mut self, request_id: u64, id: &str) {
        let Some(&key) = self.job_keys.get(id) else {
            self.actions.push(Action::Unknown(request_id));
            return;
        };
        let Some(job) = self.jobs.get_mut(&key) else { return };
        if job.stored && job.stored_verdict != Verdict::Open {
            self.actions.push(Action::Cancelled(request_id));
            return;
        }
        job.cancel_requests.push(request_id);
        let stored = job.stored;
        self.dirty_jobs.insert(key);
        self.end_job(key, Verdict::Cancelled);
        if !stored {
            self.drop_planned_runs(key);
        }
    }

    /// Sends stop requests, again after each stop interval until the worker confirms the stop.
    pub(crate) fn send_stops(&mut self) {
        let mut stops: Vec<(WorkerKey, TaskRef)> = Vec::new();
        for (key, worker) in self.workers.iter() {
            if worker.removed || worker.reachability == Reachability::Unknown {
                continue;
            }
            for (task, run) in &worker.runs {
                if self.should_stop(task, run.phase) && self.stop_due(run) {
                    stops.push((key, *task));
                }
            }
        }
        let now = self.now;
        for (key, task) in stops {
            let Some(task_id) = self.task_id(&task) else { continue };
            let worker = &mut self.workers[key];
            let Some(run) = worker.runs.get_mut(&task) else { continue };
            run.stop_sent_at = now;
            let cause = match run.phase {
                RunPhase::Stopping => run.stop_cause,
                _ => StopCause::JobEnded,
            };
            self.actions.push(Action::Stop {
                worker: worker.info.id.clone(),
                addr: worker.info.addr.clone(),
                task_id,
                run: run.number,
                cause,
                token: worker.token,
            });
        }
        self.stop_unknown_runs();
    }

    /// Whether a stop request is due. An unanswered start may have been carried out since the last one, so that a further
    /// one follows a report which does not list the run.
    const fn stop_due(&self, run: &Run) -> bool {
        let next = run.stop_sent_at + self.timing.stop_interval;
        let first = run.stop_sent_at == 0 || !matches!(run.stop_cause, StopCause::Unanswered);
        self.now >= next && (first || run.absent_at >= next)
    }

    /// Whether a run must end: it is marked, or the verdict of its job is stored.
    fn should_stop(&self, task: &TaskRef, phase: RunPhase) -> bool {
        match phase {
            RunPhase::Stopping => true,
            RunPhase::Planned | RunPhase::Inherited | RunPhase::Stopped(_) | RunPhase::Sent => false,
            RunPhase::Running(_) | RunPhase::Unconfirmed(_) => {
                let job = self.jobs.get(&task.step_ref.job);
                job.is_none_or(|j| j.verdict != Verdict::Open && j.stored_verdict == j.verdict)
            }
        }
    }

    /// Stops runs that belong to no task of this shard.
    fn stop_unknown_runs(&mut self) {
        for worker in self.workers.values_mut() {
            for (task_id, run) in std::mem::take(&mut worker.unknown_runs) {
                self.actions.push(Action::Stop {
                    worker: worker.info.id.clone(),
                    addr: worker.info.addr.clone(),
                    task_id,
                    run,
                    cause: StopCause::Stranger,
                    token: worker.token,
                });
                // The next poll reports the run again if it is still there.
                worker.backoff_until = worker.backoff_until.max(self.now + self.timing.stop_interval);
            }
        }
    }
}
