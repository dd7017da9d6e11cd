//! Ends of runs, and what follows for their tasks and jobs.

use crate::Ms;
use crate::job::{StepRef, Task, TaskRef, TaskState};
use crate::model::Verdict;
use crate::report::{RunEnd, RunOutcome};
use crate::state::Shard;
use crate::worker::{Run, StopCause, WorkerKey};

/// Delay before a long-running task restarts, for each failure so far.
const RESTART_BACKOFF_MS: Ms = 100;
/// Longest restart delay. A long-running task has to be back within 3 s.
const MAX_RESTART_BACKOFF_MS: Ms = 1_000;

impl Shard {
    /// Handles the end of a run that a worker reports.
    pub(crate) fn run_ended(&mut self, key: WorkerKey, end: &RunEnd) {
        if end.sequence <= self.workers[key].ends_seen {
            return;
        }
        self.log_end(key, end);
        let worker = &mut self.workers[key];
        worker.ends_seen = end.sequence;
        worker.ends_known = true;
        let Some(task) = self.task_ref(&end.task_id).filter(|t| self.knows_task(t)) else { return };
        if let Some(job) = self.jobs.get_mut(&task.step_ref.job) {
            job.begun = true;
        }
        let ended = self.workers[key].runs.get_mut(&task).filter(|r| r.number == end.run);
        let current = ended.is_some();
        ended.into_iter().for_each(Run::note_begun);
        let run = if current { self.remove_run(key, &task) } else { None };
        self.note_checkpoint(&task, &end.checkpoint);
        let unanswered_until = run.as_ref().map_or(0, Run::late_until);
        let late_until = self.late_starts_until(key, &task).max(unanswered_until);
        self.settle_end(key, &task, end, run);
        self.hold_end(key, end, &task, late_until);
    }

    /// Draws the consequences of an end for its task; `run` is that of the worker's table, if it was there.
    fn settle_end(&mut self, key: WorkerKey, task: &TaskRef, end: &RunEnd, run: Option<Run>) {
        if self.jobs.get(&task.step_ref.job).is_none_or(|j| j.verdict != Verdict::Open) {
            return;
        }
        let current = run.is_some();
        self.with_task(task, |t| t.last_run = t.last_run.max(end.run));
        match end.outcome {
            RunOutcome::Done => {
                // A run that an earlier owner started and that no poll has reported since has no known duration.
                if let Some(run) = run.as_ref().filter(|r| r.basis.is_some()) {
                    self.record_duration(task, run.planned_at);
                    self.note_sibling(task, run);
                }
                self.task_done(key, task);
            }
            RunOutcome::Failed => self.task_failed(key, task, end.run, current),
            RunOutcome::Interrupted => {}
        }
        if current {
            self.note_removed_run(key, task);
        }
        if current && self.placed_on(task, key) {
            let stalled = run.is_some_and(|r| r.stop_cause == StopCause::Stalled);
            self.with_task(task, |t| {
                if stalled {
                    t.avoid(key);
                }
            });
            let not_before = self.restart_at(task);
            self.requeue(*task, not_before);
        }
    }

    /// Logs an end. The ends of an incarnation are numbered without gaps, so one whose number is not the next tells that
    /// others were acknowledged before this owner saw them.
    fn log_end(&self, key: WorkerKey, end: &RunEnd) {
        let worker = &self.workers[key];
        let (id, task) = (&worker.info.id, &end.task_id);
        tracing::info!(worker = %id, %task, run = end.run, outcome = ?end.outcome, number = end.sequence, incarnation = worker.incarnation, "shard: run ended");
        let missing = end.sequence - worker.ends_seen - 1;
        if missing > 0 && worker.ends_known {
            tracing::warn!(worker = %id, missing, number = end.sequence, incarnation = worker.incarnation, "shard: ends were acknowledged unseen");
        }
    }

    fn restart_at(&self, task: &TaskRef) -> Ms {
        let Some(job) = self.jobs.get(&task.step_ref.job) else { return self.now };
        let long_running = self.is_long_running(task);
        let failures = job
            .occurrence(task.step_ref.occurrence)
            .and_then(|o| o.steps.get(task.step_ref.step as usize))
            .and_then(|s| s.tasks.get(task.index as usize))
            .map_or(0, |t| t.failures);
        if long_running {
            self.now + (RESTART_BACKOFF_MS * Ms::from(failures)).min(MAX_RESTART_BACKOFF_MS)
        } else {
            self.now
        }
    }

    pub(crate) fn is_long_running(&self, task: &TaskRef) -> bool {
        let job = self.jobs.get(&task.step_ref.job);
        job.and_then(|j| j.spec.steps.get(task.step_ref.step as usize)).is_some_and(|s| s.long_running)
    }

    fn task_done(&mut self, key: WorkerKey, task: &TaskRef) {
        self.workers[key].failure_streak = 0;
        let Some(job) = self.jobs.get(&task.step_ref.job) else { return };
        let Some(step) = job.spec.steps.get(task.step_ref.step as usize) else { return };
        if step.long_running {
            return;
        }
        if step.gang {
            for index in 0..step.count {
                self.mark_done(&TaskRef { step_ref: task.step_ref, index }, None);
            }
        } else {
            self.mark_done(task, Some(key));
        }
        self.dirty_jobs.insert(task.step_ref.job);
        self.advance_occurrence(task.step_ref);
    }

    /// Marks a task done and stops its other runs; `winner` is the worker of the run that ended.
    fn mark_done(&mut self, task: &TaskRef, winner: Option<WorkerKey>) {
        self.supersede_runs(task, winner);
        self.set_task_state(task, TaskState::Done);
    }

    /// Makes the steps whose dependencies are complete ready; ends the occurrence and the job if all is done.
    pub(crate) fn advance_occurrence(&mut self, step_ref: StepRef) {
        let Some(job) = self.jobs.get_mut(&step_ref.job) else { return };
        let Some(occurrence) = job.occurrences.iter().find(|o| o.number == step_ref.occurrence) else {
            return;
        };
        if occurrence.complete() {
            job.occurrences.retain(|o| o.number != step_ref.occurrence);
            job.completed.insert(step_ref.occurrence);
            if job.completed.count() == u64::from(job.occurrence_count()) {
                self.end_job(step_ref.job, Verdict::Completed);
            }
            return;
        }
        let steps = u32::try_from(occurrence.steps.len()).unwrap_or(0);
        let ready: Vec<u32> = (0..steps)
            .filter(|&s| {
                occurrence.steps[s as usize].waiting_count > 0 && occurrence.dependencies_met(&job.spec, s)
            })
            .collect();
        self.ready_steps.extend(ready.into_iter().map(|step| StepRef { step, ..step_ref }));
    }

    /// Counts a failed run, once for each run number. `current` tells that the run was in the worker's table.
    fn task_failed(&mut self, key: WorkerKey, task: &TaskRef, run: u32, current: bool) {
        // A run that lost against the one that ended its task fails nothing.
        let copies_allowed = self.copies_allowed(task);
        if copies_allowed && self.task_state(task) == Some(TaskState::Done) {
            return;
        }
        let Some(job) = self.jobs.get(&task.step_ref.job) else { return };
        let max_attempts = job.spec.max_attempts.max(1);
        let long_running = job.spec.steps.get(task.step_ref.step as usize).is_some_and(|s| s.long_running);
        let mut first_failure = true;
        let mut failures = 0;
        self.with_task(task, |t| {
            // The first run can fail after the copy, whose number is higher.
            if !t.count_failure(run, copies_allowed, current) {
                return;
            }
            first_failure = t.avoided_workers.is_empty();
            t.avoid(key);
            failures = t.failures;
        });
        if first_failure {
            self.count_failures(key, 1);
        }
        if long_running {
            return;
        }
        self.dirty_jobs.insert(task.step_ref.job);
        if failures >= max_attempts {
            self.end_job(task.step_ref.job, Verdict::Failed);
        }
    }

    /// Ends a job. Its remaining runs are stopped once the verdict is stored.
    pub(crate) fn end_job(&mut self, key: u32, verdict: Verdict) {
        let wall_ms = self.wall_ms;
        let Some(job) = self.jobs.get_mut(&key) else { return };
        if job.verdict != Verdict::Open {
            return;
        }
        job.verdict = verdict;
        job.ended_at = wall_ms;
        tracing::info!(job = %job.spec.id, queue = %job.spec.queue, ?verdict, "shard: job ended");
        self.dirty_jobs.insert(key);
        self.repeated_jobs.remove(&key);
        self.end_copies(key);
        self.remove_ready_steps(key);
    }

    /// Lets no further task of a job be placed.
    pub(crate) fn remove_ready_steps(&mut self, key: u32) {
        let first = StepRef { job: key, occurrence: 0, step: 0 };
        let last = StepRef { job: key, occurrence: u32::MAX, step: u32::MAX };
        let ready: Vec<StepRef> = self.ready_steps.range(first..=last).copied().collect();
        for step_ref in ready {
            self.ready_steps.remove(&step_ref);
        }
    }

    /// Removes a run from its worker's table and releases its quota.
    pub(crate) fn remove_run(&mut self, key: WorkerKey, task: &TaskRef) -> Option<Run> {
        let run = self.workers.get_mut(key)?.remove_run(task)?;
        self.uncharge(&run);
        self.bind_task(task, key, &run);
        Some(run)
    }

    /// Drops the planned runs of a job that the log has not stored: none of them was sent. Their workers' records
    /// are written again, since a batch in flight may hold them.
    pub(crate) fn drop_planned_runs(&mut self, key: u32) {
        let Some(job) = self.jobs.get(&key) else { return };
        let mut planned = Vec::new();
        for occurrence in &job.occurrences {
            for (step, entry) in (0..).zip(&occurrence.steps) {
                let step_ref = StepRef { job: key, occurrence: occurrence.number, step };
                planned.extend((0..).zip(&entry.tasks).filter_map(|(index, task)| match task.state {
                    TaskState::Placed(worker) => Some((worker, TaskRef { step_ref, index })),
                    TaskState::Waiting | TaskState::Done => None,
                }));
            }
        }
        for (worker, task) in planned {
            self.remove_run(worker, &task);
            self.requeue(task, self.now);
            self.dirty_workers.insert(worker);
        }
    }

    /// Removes all runs of a worker, which ended without a report, and requeues their tasks.
    pub(crate) fn drop_lost_runs(&mut self, key: WorkerKey, reason: &str) {
        let tasks: Vec<TaskRef> = self.workers[key].runs.keys().copied().collect();
        if !tasks.is_empty() {
            tracing::info!(worker = %self.workers[key].info.id, runs = tasks.len(), why = reason, "shard: runs lost");
        }
        for task in tasks {
            self.remove_run(key, &task);
            if self.placed_on(&task, key) {
                self.requeue(task, self.now);
            }
        }
        // Updates the worker's record, so that a later owner does not wait for these runs.
        self.dirty_workers.insert(key);
        self.workers[key].unknown_runs.clear();
    }

    /// Makes a task wait for a new run, unless it is done or still has one. Ended jobs get no new runs.
    pub(crate) fn requeue(&mut self, task: TaskRef, not_before: Ms) {
        self.settle_copy(&task);
        let unchanged = match self.task_state(&task) {
            Some(TaskState::Done) | None => true,
            Some(TaskState::Placed(key)) => self.workers.get(key).is_some_and(|w| w.runs.contains_key(&task)),
            Some(TaskState::Waiting) => false,
        };
        if unchanged {
            return;
        }
        self.set_task_state(&task, TaskState::Waiting);
        self.with_task(&task, |t| t.not_before = not_before);
        let ready = self.jobs.get(&task.step_ref.job).is_some_and(|j| {
            j.verdict == Verdict::Open
                && j.occurrence(task.step_ref.occurrence)
                    .is_some_and(|o| o.dependencies_met(&j.spec, task.step_ref.step))
        });
        if ready {
            self.ready_steps.insert(task.step_ref);
        }
    }

    pub(crate) fn task(&self, task: &TaskRef) -> Option<&Task> {
        let occurrence = self.jobs.get(&task.step_ref.job)?.occurrence(task.step_ref.occurrence)?;
        occurrence.steps.get(task.step_ref.step as usize)?.tasks.get(task.index as usize)
    }

    pub(crate) fn task_state(&self, task: &TaskRef) -> Option<TaskState> {
        Some(self.task(task)?.state)
    }

    pub(crate) fn set_task_state(&mut self, task: &TaskRef, state: TaskState) {
        let Some(job) = self.jobs.get_mut(&task.step_ref.job) else { return };
        let Some(occurrence) = job.occurrence_mut(task.step_ref.occurrence) else { return };
        if let Some(step) = occurrence.steps.get_mut(task.step_ref.step as usize) {
            step.set_state(task.index, state);
        }
    }

    pub(crate) fn with_task(&mut self, task: &TaskRef, change: impl FnOnce(&mut Task)) {
        let Some(job) = self.jobs.get_mut(&task.step_ref.job) else { return };
        let Some(occurrence) = job.occurrence_mut(task.step_ref.occurrence) else { return };
        let step = occurrence.steps.get_mut(task.step_ref.step as usize);
        if let Some(task) = step.and_then(|s| s.tasks.get_mut(task.index as usize)) {
            change(task);
        }
    }

    pub(crate) fn charge(&mut self, run: &Run) {
        self.overload.run_added(run);
        if !run.tenant.is_empty() {
            *self.quota_used.entry(run.tenant.clone()).or_default() += run.charge;
        }
    }

    pub(crate) fn uncharge(&mut self, run: &Run) {
        self.overload.run_removed(run);
        if let Some(total) = self.quota_used.get_mut(&run.tenant) {
            *total -= run.charge;
        }
    }
}
