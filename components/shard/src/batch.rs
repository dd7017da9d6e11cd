//! Appends to the log, in batches of records. At most one batch is in flight.
//!
//! Answers a store that is slow: a job's record and its first planned runs share a batch, so that its first task
//! starts after at most two answers of the store, that of the batch in flight and its own. Nothing of a job is shown
//! or sent before that batch is stored; if it is certain not to be stored, the job and its runs never existed.

use crate::Ms;
use crate::io::Action;
use crate::job::{JobKey, TaskRef};
use crate::record::{self, Record, RunRecord, WorkerRecord};
use crate::state::Shard;
use crate::worker::{RunPhase, WorkerKey};

/// Bytes after which a batch takes no further records. The store appends 2 MiB at a time, and the last job's two
/// records may add half a MiB.
pub(crate) const MAX_BATCH_BYTES: usize = 1_500_000;

/// A batch in flight, and what depends on it.
#[derive(Debug, Default)]
pub(crate) struct Batch {
    pub sent_at: Ms,
    /// Jobs whose progress it holds.
    pub jobs: Vec<JobKey>,
    /// Jobs that it stores for the first time.
    pub new_jobs: Vec<JobKey>,
    /// Cancellations to answer, with their jobs.
    pub cancel_requests: Vec<(JobKey, u64)>,
    /// Workers whose records it holds, and whether a record notes the rest of the worker's leases.
    pub workers: Vec<(WorkerKey, bool)>,
    /// Planned runs that it records.
    pub starts: Vec<(WorkerKey, TaskRef, u32)>,
    /// Runs of which it notes that a start went without an answer.
    pub late_starts: Vec<(WorkerKey, TaskRef, u32)>,
    /// For each worker, its incarnation and the highest end whose effects it holds.
    pub ends: Vec<(WorkerKey, u64, u64)>,
    /// Deletions of expired jobs.
    pub deletions: Vec<Record>,
    /// Jobs that it refers to other services.
    pub referrals: Vec<String>,
    /// Queues whose services it holds.
    pub queues: Vec<String>,
}

impl Shard {
    /// Whether the batch in flight has been unanswered for too long.
    pub(crate) fn log_stalled(&self) -> bool {
        self.in_flight.as_ref().is_some_and(|b| self.now >= b.sent_at + self.timing.stall_after)
    }

    /// While the log is stalled, refuses new jobs that are not in the batch in flight: they are certain not
    /// to run, so their callers can retry.
    pub(crate) fn refuse_unsent(&mut self) {
        if !self.log_stalled() {
            return;
        }
        let sent = self.in_flight.as_ref().map(|b| b.new_jobs.clone()).unwrap_or_default();
        let unsent = |k: &&JobKey| !sent.contains(k) && self.jobs.get(k).is_some_and(|j| !j.stored);
        let keys: Vec<JobKey> = self.dirty_jobs.iter().filter(unsent).copied().collect();
        for key in keys {
            self.refuse_job(key);
        }
        self.refuse_unsent_referrals();
    }

    /// Appends all pending records as one batch if none is in flight.
    pub(crate) fn flush(&mut self) {
        if self.in_flight.is_some() {
            return;
        }
        let unchanged =
            self.dirty_jobs.is_empty() && self.deletions.is_empty() && self.dirty_workers.is_empty();
        if unchanged && !self.referrals.is_dirty() {
            self.acknowledge_all();
            return;
        }
        let deletions = std::mem::take(&mut self.deletions);
        let mut batch = Batch { sent_at: self.now, deletions, ..Batch::default() };
        let mut records = batch.deletions.clone();
        self.collect_referrals(&mut batch, &mut records);
        self.collect_jobs(&mut batch, &mut records);
        self.collect_workers(&mut batch, &mut records);
        if records.is_empty() {
            return;
        }
        self.in_flight = Some(batch);
        self.actions.push(Action::Append(records));
    }

    fn collect_jobs(&mut self, batch: &mut Batch, records: &mut Vec<Record>) {
        let mut bytes = batch_bytes(records);
        for key in std::mem::take(&mut self.dirty_jobs) {
            let Some(job) = self.jobs.get_mut(&key) else { continue };
            if bytes >= MAX_BATCH_BYTES {
                self.dirty_jobs.insert(key);
                continue;
            }
            let first = records.len();
            if job.stored {
                batch.jobs.push(key);
            } else {
                records.push(record::job(&job.spec));
                batch.new_jobs.push(key);
            }
            if job.stored || job.verdict != crate::Verdict::Open {
                records.push(record::progress(job));
            }
            batch.cancel_requests.extend(job.cancel_requests.drain(..).map(|t| (key, t)));
            bytes += batch_bytes(&records[first..]);
        }
    }

    /// Adds the runs of changed workers. Notes the ends seen so far if the batch holds all their effects. A record that
    /// lacks a run must not be stored before the progress of the run's job, nor one that names a run before the run's
    /// job. So no worker is added while a job with changes is left for the next batch.
    fn collect_workers(&mut self, batch: &mut Batch, records: &mut Vec<Record>) {
        if !self.dirty_jobs.is_empty() {
            return;
        }
        let mut bytes = batch_bytes(records);
        for key in std::mem::take(&mut self.dirty_workers) {
            let Some(worker) = self.workers.get(key) else { continue };
            if bytes >= MAX_BATCH_BYTES {
                self.dirty_workers.insert(key);
                continue;
            }
            let mut runs = Vec::with_capacity(worker.runs.len());
            for (task, run) in &worker.runs {
                let Some(task_id) = self.task_id(task) else { continue };
                debug_assert!(
                    self.jobs.get(&task.step_ref.job).is_some_and(|j| j.stored)
                        || batch.new_jobs.contains(&task.step_ref.job),
                    "a run is recorded before its job"
                );
                // The start of an earlier run of the task may be the one that comes.
                let late_until = self.task(task).map_or(0, |t| t.late_until).max(run.late_until());
                let unanswered = self.now < late_until;
                runs.push(RunRecord { task_id: task_id.to_string(), run: run.number, unanswered });
                if self.now < run.late_until() {
                    batch.late_starts.push((key, *task, run.number));
                }
                if run.phase == RunPhase::Planned {
                    batch.starts.push((key, *task, run.number));
                }
            }
            // A new owner reckons with these starts as well.
            for start in worker.late_starts.iter().filter(|s| self.now < s.until) {
                let task_id = start.task_id.to_string();
                if !runs.iter().any(|r: &RunRecord| r.task_id == task_id) {
                    runs.push(RunRecord { task_id, run: start.run, unanswered: true });
                }
            }
            // Without runs the record is deleted, and the log holds nothing of the worker's leases.
            let lease_left = if runs.is_empty() { 0 } else { worker.lease_left(&self.timing, self.now) };
            batch.workers.push((key, lease_left > 0));
            let recorded = !runs.is_empty();
            if recorded || worker.recorded {
                let stray_lease_left = worker.stray_lease_end.saturating_sub(self.now);
                records.push(record::worker(&WorkerRecord {
                    id: worker.info.id.clone(),
                    addr: worker.info.addr.clone(),
                    runs,
                    lease_left,
                    stray_lease_left,
                    incarnation: worker.incarnation,
                    unfenced: worker.is_unfenced(),
                }));
                let worker = &mut self.workers[key];
                worker.recorded = recorded;
                worker.lease_noted |= lease_left > 0;
                bytes += records.last().map_or(0, |r| batch_bytes(std::slice::from_ref(r)));
            }
        }
        if !self.dirty_workers.is_empty() {
            return;
        }
        batch.ends = self
            .workers
            .iter()
            .filter(|(_, w)| w.ends_seen > w.ends_stored)
            .map(|(key, w)| (key, w.incarnation, w.ends_seen))
            .collect();
    }

    /// Marks all ends seen as stored; correct only while no record is pending.
    fn acknowledge_all(&mut self) {
        for worker in self.workers.values_mut() {
            worker.ends_stored = worker.ends_seen;
        }
    }

    /// Handles that the batch in flight is stored.
    pub(crate) fn batch_stored(&mut self) {
        let Some(batch) = self.in_flight.take() else { return };
        for (key, incarnation, seen) in batch.ends {
            let Some(worker) = self.workers.get_mut(key) else { continue };
            if worker.incarnation == incarnation {
                worker.ends_stored = worker.ends_stored.max(seen);
            }
        }
        for (key, lease_noted) in batch.workers {
            if let Some(worker) = self.workers.get_mut(key) {
                worker.lease_noted = lease_noted;
            }
        }
        self.referrals_stored(batch.referrals);
        self.pending_starts.extend(batch.starts);
        for (key, task, number) in batch.late_starts {
            let run = self.workers.get_mut(key).and_then(|w| w.runs.get_mut(&task));
            if let Some(run) = run.filter(|r| r.number == number) {
                run.late_noted = true;
            }
        }
        for key in batch.jobs.into_iter().chain(batch.new_jobs) {
            self.job_stored(key);
        }
        for (_, request_id) in batch.cancel_requests {
            self.actions.push(Action::Cancelled(request_id));
        }
    }

    /// Handles that the batch in flight is certain not to be stored: refuses its new jobs and keeps the rest
    /// for the next batch.
    pub(crate) fn batch_failed(&mut self) {
        let Some(batch) = self.in_flight.take() else { return };
        for (key, request_id) in batch.cancel_requests {
            if let Some(job) = self.jobs.get_mut(&key) {
                job.cancel_requests.push(request_id);
            }
        }
        self.referrals_failed(batch.referrals, batch.queues);
        for key in batch.new_jobs {
            self.refuse_job(key);
        }
        for (key, _) in batch.workers {
            if let Some(worker) = self.workers.get_mut(key) {
                // The log still holds what it held before.
                worker.recorded = true;
                self.dirty_workers.insert(key);
            }
        }
        self.dirty_jobs.extend(batch.jobs.into_iter().filter(|k| self.jobs.contains_key(k)));
        let newer = std::mem::replace(&mut self.deletions, batch.deletions);
        self.deletions.extend(newer);
    }
}

pub(crate) fn batch_bytes(records: &[Record]) -> usize {
    records.iter().map(|r| r.key.len() + r.value.as_ref().map_or(0, Vec::len)).sum()
}
