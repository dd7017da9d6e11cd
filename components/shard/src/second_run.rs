//! Tasks with two runs at a time: the first run and its copy.
//!
//! A task in state `Placed` has its first run on that worker, and a copy on the worker of `Task::copy`, if any. Both
//! are entries in their workers' tables and records like any run, so each holds capacity and quota until it is certain
//! that it is gone. The first `done` ends the task and stops the other run. If one run is gone, the other one is the
//! task's only run. The copy has the higher run number, by which a new owner tells the two apart.

use crate::Ms;
use crate::copies::MAX_COPIES;
use crate::job::{Step, Task, TaskRef, TaskState};
use crate::millis::to_float;
use crate::state::Shard;
use crate::worker::{Run, RunPhase, StopCause, WorkerKey};

/// Completed tasks of a step from which their mean duration is used instead of the queue's average.
const MIN_SIBLINGS: u32 = 2;

/// What became of a copy, for the metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CopyOutcome {
    /// It was planned.
    Started,
    /// It was done first.
    Won,
    /// The first run was done first.
    Lost,
    /// It failed, was refused or was lost; the first run goes on.
    Dropped,
    /// The first run failed or was lost; the copy goes on.
    Replaced,
    /// The job failed or was cancelled.
    JobEnded,
}

impl CopyOutcome {
    /// Value of the label in metrics.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::Started => "started",
            Self::Won => "won",
            Self::Lost => "lost",
            Self::Dropped => "dropped",
            Self::Replaced => "replaced",
            Self::JobEnded => "job_ended",
        }
    }
}

impl Task {
    /// Workers of its runs.
    pub fn runs(&self) -> impl Iterator<Item = WorkerKey> + use<> {
        let first = match self.state {
            TaskState::Placed(key) => Some(key),
            TaskState::Waiting | TaskState::Done => None,
        };
        first.into_iter().chain(first.and(self.copy))
    }
}

impl Step {
    /// Mean duration of its completed tasks in milliseconds, once there are some.
    pub fn mean_duration(&self) -> Option<f64> {
        (self.measured >= MIN_SIBLINGS).then(|| self.took / f64::from(self.measured))
    }
}

impl Shard {
    /// Takes what became of copies since the last call.
    pub fn take_copy_outcomes(&mut self) -> Vec<CopyOutcome> {
        std::mem::take(&mut self.copy_outcomes)
    }

    /// Whether one of a task's runs is on a worker.
    pub(crate) fn placed_on(&self, task: &TaskRef, key: WorkerKey) -> bool {
        self.task(task).is_some_and(|t| t.runs().any(|k| k == key))
    }

    /// Adds the duration of a completed run to those of its step.
    pub(crate) fn note_sibling(&mut self, task: &TaskRef, run: &Run) {
        if !run.copies_allowed || run.basis.is_none_or(|(percent, _)| percent > 0) {
            return;
        }
        let took = to_float(self.now.saturating_sub(run.planned_at));
        let Some(job) = self.jobs.get_mut(&task.step_ref.job) else { return };
        let Some(occurrence) = job.occurrence_mut(task.step_ref.occurrence) else { return };
        if let Some(step) = occurrence.steps.get_mut(task.step_ref.step as usize) {
            step.took += took;
            step.measured += 1;
        }
    }

    /// Stops the runs of a task that is done; `winner` is the worker of the run that ended.
    pub(crate) fn supersede_runs(&mut self, task: &TaskRef, winner: Option<WorkerKey>) {
        let Some(entry) = self.task(task) else { return };
        let runs: Vec<WorkerKey> = entry.runs().collect();
        if let Some(copy) = entry.copy {
            let outcome = if winner == Some(copy) { CopyOutcome::Won } else { CopyOutcome::Lost };
            let other = runs.iter().find(|k| Some(**k) != winner);
            let wasted = other.map_or(0, |k| self.run_age(*k, task));
            self.note_outcome(task, outcome, wasted);
        }
        for key in runs {
            let Some(run) = self.workers.get_mut(key).and_then(|w| w.runs.get_mut(task)) else { continue };
            if run.copies_allowed && run.phase == RunPhase::Planned {
                // Its start has not been sent.
                self.remove_run(key, task);
            } else {
                run.stop(StopCause::Superseded);
            }
        }
    }

    /// Makes the remaining run of a task its only one after the other one was removed from its worker's table.
    pub(crate) fn settle_copy(&mut self, task: &TaskRef) {
        let Some(entry) = self.task(task) else { return };
        let (TaskState::Placed(first), Some(copy)) = (entry.state, entry.copy) else { return };
        let has = |key: WorkerKey| self.workers.get(key).is_some_and(|w| w.runs.contains_key(task));
        let outcome = match (has(first), has(copy)) {
            (true, true) => return,
            (false, true) => CopyOutcome::Replaced,
            (_, false) => CopyOutcome::Dropped,
        };
        if outcome == CopyOutcome::Replaced {
            self.set_task_state(task, TaskState::Placed(copy));
        }
        self.with_task(task, |t| (t.copy, t.copies) = (None, MAX_COPIES));
        self.note_outcome(task, outcome, 0);
    }

    /// Drops a run whose start did not take place. Its task may get another copy.
    pub(crate) fn drop_unstarted_run(&mut self, key: WorkerKey, task: TaskRef) {
        let copies = self.task(&task).map_or(0, |t| t.copies);
        self.remove_run(key, &task);
        self.note_removed_run(key, &task);
        self.requeue(task, self.now);
        self.with_task(&task, |t| t.copies = copies);
    }

    /// Has the record of a worker written without a run that was removed from its table before its task was done. A new
    /// owner keeps two recorded runs of such a task, and counts the failure of a recorded run.
    pub(crate) fn note_removed_run(&mut self, key: WorkerKey, task: &TaskRef) {
        if self.copies_allowed(task) {
            self.dirty_workers.insert(key);
        }
    }

    /// Notes a checkpoint that a run reported. Of two runs at a time, the one that is further counts.
    pub(crate) fn note_checkpoint(&mut self, task: &TaskRef, checkpoint: &str) {
        if checkpoint.is_empty() {
            return;
        }
        self.with_task(task, |t| {
            if t.copy.is_none() || *checkpoint > *t.checkpoint {
                checkpoint.clone_into(&mut t.checkpoint);
            }
        });
    }

    pub(crate) fn copies_allowed(&self, task: &TaskRef) -> bool {
        let job = self.jobs.get(&task.step_ref.job);
        let spec = job.and_then(|j| j.spec.steps.get(task.step_ref.step as usize));
        spec.is_some_and(crate::StepSpec::copies_allowed)
    }

    /// Makes the two runs with the highest numbers, out of a placed task's runs and that on `key`, the runs of the task.
    /// A third one is stopped.
    pub(crate) fn pair_runs(&mut self, task: &TaskRef, key: WorkerKey) {
        let Some(entry) = self.task(task) else { return };
        let mut keys: Vec<WorkerKey> =
            entry.runs().filter(|k| *k != key && self.run_number(*k, task) > 0).collect();
        keys.push(key);
        keys.sort_by_key(|k| std::cmp::Reverse(self.run_number(*k, task)));
        let (newest, second) = (keys[0], keys.get(1).copied());
        for &third in keys.iter().skip(2) {
            if let Some(run) = self.workers.get_mut(third).and_then(|w| w.runs.get_mut(task)) {
                run.stop(StopCause::Superseded);
            }
        }
        let number = self.run_number(newest, task);
        self.set_task_state(task, TaskState::Placed(second.unwrap_or(newest)));
        self.with_task(task, |t| {
            t.copy = second.map(|_| newest);
            t.last_run = t.last_run.max(number);
        });
        if second.is_none() {
            return;
        }
        let workers = keys.iter().filter_map(|k| Some(self.workers.get(*k)?.info.id.as_str()));
        let workers: Vec<&str> = workers.collect();
        tracing::info!(
            task = self.task_id(task).map(|n| n.to_string()),
            ?workers,
            "shard: task has several runs"
        );
    }

    /// Notes what becomes of the copies of a job that failed or was cancelled.
    pub(crate) fn end_copies(&mut self, job: u32) {
        let Some(job) = self.jobs.get_mut(&job) else { return };
        let steps = job.occurrences.iter_mut().flat_map(|o| &mut o.steps);
        let copies = steps.flat_map(|s| &mut s.tasks).filter_map(|t| t.copy.take()).count();
        if copies > 0 {
            tracing::info!(job = %job.spec.id, copies, "shard: copies ended with their job");
            self.copy_outcomes.extend(std::iter::repeat_n(CopyOutcome::JobEnded, copies));
        }
    }

    fn run_age(&self, key: WorkerKey, task: &TaskRef) -> Ms {
        let run = self.workers.get(key).and_then(|w| w.runs.get(task));
        run.map_or(0, |r| self.now.saturating_sub(r.planned_at))
    }

    fn note_outcome(&mut self, task: &TaskRef, outcome: CopyOutcome, wasted: Ms) {
        let kind = self.task(task).and_then(|t| t.copy_kind);
        if let (Some(kind), Some(job)) = (kind, self.jobs.get(&task.step_ref.job)) {
            self.copy_odds.tally_mut(&job.spec.queue, kind).note(outcome);
        }
        tracing::info!(
            task = self.task_id(task).map(|n| n.to_string()),
            outcome = outcome.label(),
            ?kind,
            wasted,
            "shard: copy ended"
        );
        self.copy_outcomes.push(outcome);
    }
}
