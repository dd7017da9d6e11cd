//! Recovery of a new owner's state from the log, before any worker is polled.

use std::collections::HashMap;

use crate::job::{Job, StepRef, TaskRef, TaskState};
use crate::model::{TaskId, Verdict};
use crate::record::{self, OccurrenceProgress, Progress, StoredRecord};
use crate::state::Shard;
use crate::worker::{Fence, LATE_CALL_MS, RunPhase, UNKNOWN_TRIES, Worker, WorkerInfo, WorkerKey};

impl Shard {
    /// Loads the newest record of each key in the shard's partition.
    pub fn load<'a>(&mut self, items: impl Iterator<Item = (&'a str, &'a [u8])>) {
        let mut progress: HashMap<String, Progress> = HashMap::new();
        let mut workers = Vec::new();
        for (key, value) in items {
            match record::parse(key, value) {
                Some(StoredRecord::Job(spec)) => {
                    let queued_since = self.now.saturating_sub(self.wall_ms.saturating_sub(spec.accepted_at));
                    let key = self.add_job(spec, queued_since);
                    if let Some(job) = self.jobs.get_mut(&key) {
                        job.stored = true;
                    }
                }
                Some(StoredRecord::Progress(id, done)) => {
                    progress.insert(id, done);
                }
                Some(StoredRecord::Worker(worker)) => workers.push(worker),
                Some(StoredRecord::Referral(id, referral)) => self.referrals.load_job(id, referral),
                Some(StoredRecord::Queue(queue, record)) => {
                    self.referrals.load_queue(queue, record.services);
                }
                None => tracing::warn!(key, "shard: stored record is malformed or of an unknown kind"),
            }
        }
        let ids: Vec<String> = self.job_keys.keys().cloned().collect();
        for id in ids {
            self.restore_progress(&id, progress.remove(&id).unwrap_or_default());
        }
        for worker in &workers {
            self.load_worker(worker);
        }
    }

    /// Restores a worker that earlier owners used, with the runs that may still be on it. The runs are kept
    /// until the worker answers a poll, or until every lease that an earlier owner may have granted has
    /// expired.
    fn load_worker(&mut self, record: &record::WorkerRecord) {
        let info = WorkerInfo {
            id: record.id.clone(),
            addr: record.addr.clone(),
            service: String::new(),
            zone: String::new(),
            labels: Vec::new(),
            capacity: crate::Resources::default(),
            ready: false,
            incarnation: 0,
        };
        let mut worker = Worker::new(info, self.epoch, self.now);
        worker.recorded = true;
        worker.listed = false;
        worker.incarnation = record.incarnation;
        if record.unfenced {
            // This owner's token is above those of all earlier calls.
            worker.fence = Fence::Raised;
        }
        worker.lease_end = self.now + self.timing.overlap + self.timing.max_lease();
        if record.stray_lease_left > 0 {
            worker.stray_lease_end = self.now + record.stray_lease_left;
        }
        if record.lease_left > 0 {
            worker.lease_noted = true;
            worker.lease_end = worker.lease_end.min(self.now + record.lease_left);
        }
        let key = self.workers.insert(worker);
        for run in &record.runs {
            let task = TaskId::parse(&run.task_id).and_then(|n| self.task_ref(&n));
            if let Some(task) = task {
                self.inherit_run(key, task, run);
            }
        }
    }

    /// Restores a run that may be on a worker. If the log holds several runs of a task, only the one with the
    /// highest number can still be in progress, or the two highest ones if the step allows copies.
    fn inherit_run(&mut self, key: WorkerKey, task: TaskRef, record: &record::RunRecord) {
        let number = record.run;
        self.restore_occurrence(task.step_ref);
        if record.unanswered {
            let until = self.now + LATE_CALL_MS;
            self.workers[key].late_until = until;
            self.with_task(&task, |t| t.late_until = until);
        }
        match self.task_state(&task) {
            // The run that lost may still be on its worker. It is restored to be stopped.
            Some(TaskState::Done) if self.copies_allowed(&task) => {}
            Some(TaskState::Done) => return,
            Some(TaskState::Placed(_)) if self.copies_allowed(&task) => {}
            Some(TaskState::Placed(other)) => {
                if self.run_number(other, &task) >= number {
                    return;
                }
                self.remove_run(other, &task);
            }
            // Runs of an ended job are restored too, to be stopped.
            Some(TaskState::Waiting) | None => {}
        }
        let Some(mut run) = self.new_run(&task, number) else { return };
        run.phase = RunPhase::Inherited;
        if record.unanswered {
            run.unanswered_at = self.now;
            run.tries = UNKNOWN_TRIES;
        }
        self.charge(&run);
        self.workers[key].insert_run(task, run);
        if self.task_state(&task) == Some(TaskState::Done) {
            return;
        }
        if matches!(self.task_state(&task), Some(TaskState::Placed(_))) && self.copies_allowed(&task) {
            self.pair_runs(&task, key);
        } else {
            self.set_task_state(&task, TaskState::Placed(key));
        }
        self.with_task(&task, |t| t.last_run = t.last_run.max(number));
        if let Some(job) = self.jobs.get_mut(&task.step_ref.job) {
            job.started = true;
            job.begun = true;
        }
    }

    /// Activates the occurrence that a run belongs to, if no task of it has ended yet: the log holds no progress of it.
    fn restore_occurrence(&mut self, step_ref: StepRef) {
        let open = |j: &&Job| j.verdict == Verdict::Open && step_ref.occurrence < j.occurrence_count();
        if self.jobs.get(&step_ref.job).filter(open).is_some() {
            self.activate_occurrence(step_ref.job, step_ref.occurrence);
        }
    }

    /// Restores the progress of a job.
    fn restore_progress(&mut self, id: &str, progress: Progress) {
        let Some(&key) = self.job_keys.get(id) else { return };
        let verdict = progress.verdict();
        if let Some(job) = self.jobs.get_mut(&key) {
            job.verdict = verdict;
            job.stored_verdict = verdict;
            job.ended_at = progress.ended_at;
            job.completed = progress.completed();
            job.started =
                !job.completed.is_empty() || progress.occurrences.iter().any(OccurrenceProgress::has_begun);
            job.begun = job.started;
        }
        if verdict != Verdict::Open {
            return;
        }
        self.activate_job(key);
        for occurrence in progress.occurrences.iter().filter(|o| !o.complete) {
            self.activate_occurrence(key, occurrence.occurrence);
            let Some(active) = self.jobs.get_mut(&key).and_then(|j| j.occurrence_mut(occurrence.occurrence))
            else {
                continue;
            };
            for (step, stored) in active.steps.iter_mut().zip(&occurrence.steps) {
                step.restore_progress(stored);
            }
            // Also makes the steps ready whose dependencies are complete.
            self.advance_occurrence(StepRef { job: key, occurrence: occurrence.occurrence, step: 0 });
        }
    }
}
