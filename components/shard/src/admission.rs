//! Admission of jobs, activation of their occurrences, and the list of workers.

use std::collections::HashSet;

use crate::Ms;
use crate::io::{Action, Refusal};
use crate::job::{Job, JobKey, Occurrence, StepRef};
use crate::kept::Room;
use crate::model::{JobSpec, Verdict};
use crate::overload::Entry;
use crate::record;
use crate::state::Shard;
use crate::worker::{Worker, WorkerInfo, WorkerKey};

/// Time between two looks for jobs whose retention is over; it only delays their deletion.
const EXPIRY_INTERVAL_MS: Ms = 1_000;

impl Shard {
    pub(crate) fn submit(&mut self, request_id: u64, mut spec: JobSpec, searched: bool) {
        if self.answer_known_job(request_id, &spec.id) || self.answer_referred(request_id, &spec.id) {
            return;
        }
        if !searched && self.ask_for_search(request_id, &spec.queue, &spec.service) {
            return;
        }
        if self.log_stalled() {
            self.actions.push(Action::Refused { request_id, retry_ms: 0, why: Refusal::Log });
            return;
        }
        let entry = self.admit(&spec);
        if let Entry::Refuse(retry_ms) = entry {
            self.actions.push(Action::Refused { request_id, retry_ms, why: Refusal::Overload });
            return;
        }
        if self.large_jobs.room(&spec) == Room::Full {
            let kept = self.large_jobs.kept();
            tracing::info!(job = %spec.id, kept, "shard: job refused because large jobs hold the memory");
            self.actions.push(Action::Refused { request_id, retry_ms: 0, why: Refusal::Memory });
            return;
        }
        spec.epoch = self.epoch;
        spec.accepted_at = self.wall_ms;
        let key = self.add_job(spec, self.now);
        if let Some(job) = self.jobs.get_mut(&key) {
            job.submit_requests.push(request_id);
            job.promised = entry == Entry::Promised;
        }
        self.dirty_jobs.insert(key);
        // Its first runs are planned at once, and recorded with it.
        self.activate_job(key);
    }

    /// Answers a submission of a job that is known here, once it is stored; returns whether it is known.
    pub(crate) fn answer_known_job(&mut self, request_id: u64, id: &str) -> bool {
        let Some(job) = self.job_keys.get(id).and_then(|k| self.jobs.get_mut(k)) else { return false };
        if job.stored {
            self.actions.push(Action::Accepted(request_id));
        } else {
            job.submit_requests.push(request_id);
        }
        true
    }

    pub(crate) fn add_job(&mut self, spec: JobSpec, queued_since: u64) -> JobKey {
        let key = self.next_job_key;
        self.next_job_key += 1;
        self.job_keys.insert(spec.id.clone(), key);
        if spec.repeat.is_some() {
            self.repeated_jobs.insert(key);
        }
        self.large_jobs.add(&spec);
        self.jobs.insert(key, Job::new(spec, queued_since));
        key
    }

    /// Handles that the log has stored a job's progress, and answers the requests that waited for it.
    pub(crate) fn job_stored(&mut self, key: JobKey) {
        let dirty = self.dirty_jobs.contains(&key);
        let Some(job) = self.jobs.get_mut(&key) else { return };
        let new = !job.stored;
        job.stored = true;
        if !dirty {
            job.stored_verdict = job.verdict;
        }
        for request_id in job.submit_requests.drain(..) {
            self.actions.push(Action::Accepted(request_id));
        }
        if new {
            tracing::info!(job = %job.spec.id, queue = %job.spec.queue, tenant = %job.spec.tenant, "shard: job accepted");
            if job.verdict == Verdict::Open {
                self.record_arrival(key);
            } else {
                self.dirty_jobs.insert(key);
            }
        }
    }

    /// Counts the arrival of a job that the log has stored. Those of a repeated job count when they become due.
    fn record_arrival(&mut self, key: JobKey) {
        let Some(job) = self.jobs.get(&key).filter(|j| j.spec.repeat.is_none()) else { return };
        let work = self.expected_work(&job.spec);
        let arrivals = self.arrivals.entry(job.spec.service.clone()).or_default();
        arrivals.record(job.queued_since, work, job.spec.priority);
    }

    /// Refuses a new job that is certain not to be stored, and drops its planned runs.
    pub(crate) fn refuse_job(&mut self, key: JobKey) {
        self.drop_planned_runs(key);
        self.remove_ready_steps(key);
        let Some(job) = self.jobs.remove(&key) else { return };
        self.large_jobs.remove(&job.spec);
        self.job_keys.remove(&job.spec.id);
        self.repeated_jobs.remove(&key);
        self.dirty_jobs.remove(&key);
        tracing::info!(job = %job.spec.id, "shard: job refused because the log has not stored it");
        let refused = |request_id| Action::Refused { request_id, retry_ms: 0, why: Refusal::Log };
        self.actions.extend(job.submit_requests.into_iter().map(refused));
        self.actions.extend(job.cancel_requests.into_iter().map(Action::Unknown));
    }

    /// Activates the only occurrence of a job that is not repeated.
    pub(crate) fn activate_job(&mut self, key: JobKey) {
        let Some(job) = self.jobs.get(&key) else { return };
        if job.spec.repeat.is_none() && job.completed.is_empty() {
            self.activate_occurrence(key, 0);
        }
    }

    /// Adds an occurrence and makes its first steps ready.
    pub(crate) fn activate_occurrence(&mut self, key: JobKey, number: u32) {
        let now = self.now;
        let Some(job) = self.jobs.get(&key) else { return };
        if job.occurrence(number).is_some() || job.completed.contains(number) {
            return;
        }
        let due_at = self.due_at(job, number);
        let work = self.expected_work(&job.spec);
        let other_size = self.overload.replace_size(&job.spec.queue, work);
        let Some(job) = self.jobs.get_mut(&key) else { return };
        job.other_size = other_size;
        if job.stored {
            let arrived = if job.spec.repeat.is_some() { now } else { job.queued_since };
            self.arrivals.entry(job.spec.service.clone()).or_default().record(
                arrived,
                work,
                job.spec.priority,
            );
        }
        let occurrence = Occurrence::new(&job.spec, number, due_at);
        let steps = u32::try_from(occurrence.steps.len()).unwrap_or(0);
        let ready: Vec<u32> = (0..steps).filter(|&s| occurrence.dependencies_met(&job.spec, s)).collect();
        job.occurrences.push(occurrence);
        self.ready_steps.extend(ready.into_iter().map(|step| StepRef { job: key, occurrence: number, step }));
    }

    /// When an occurrence became due, on the monotonic clock, but not before its job was accepted.
    fn due_at(&self, job: &Job, number: u32) -> Ms {
        let Some(repeat) = job.spec.repeat else { return job.queued_since };
        let overdue = self.wall_ms.saturating_sub(repeat.due_at(number));
        self.now.saturating_sub(overdue).max(job.queued_since)
    }

    /// Activates the occurrences that are due, the lowest ones first. Those before one that runs or is completed may be
    /// inactive at a new owner: the log holds nothing of an occurrence that has not begun.
    pub(crate) fn activate_due_occurrences(&mut self) {
        let wall_ms = self.wall_ms;
        let mut due: Vec<(JobKey, u32)> = Vec::new();
        for &key in &self.repeated_jobs {
            let Some(job) = self.jobs.get_mut(&key) else { continue };
            let Some(repeat) = job.spec.repeat else { continue };
            if !job.stored || job.verdict != Verdict::Open {
                continue;
            }
            let free = job.max_active_occurrences().saturating_sub(job.occurrences.len());
            for _ in 0..free {
                let number = job.next_inactive(job.next_occurrence);
                job.next_occurrence = number;
                if number >= repeat.count || repeat.due_at(number) > wall_ms {
                    break;
                }
                due.push((key, number));
                job.next_occurrence = number + 1;
            }
        }
        for (key, number) in due {
            self.activate_occurrence(key, number);
        }
    }

    /// Applies the platform's list of workers.
    pub(crate) fn update_workers(&mut self, list: Vec<WorkerInfo>) {
        let mut unlisted: HashSet<WorkerKey> = self.workers.iter().map(|(key, _)| key).collect();
        for info in list {
            let Some(key) = self.worker_key(&info.id) else {
                self.add_worker(info);
                continue;
            };
            unlisted.remove(&key);
            let worker = &mut self.workers[key];
            // It is back, unless another incarnation answers at the address for which it is still listed.
            worker.removed = worker.removed && worker.listed && worker.info.addr == info.addr;
            worker.listed = true;
            if worker.info.incarnation != info.incarnation {
                worker.listed_at = self.now;
            }
            worker.info = info;
        }
        for key in unlisted {
            self.workers[key].listed = false;
        }
        self.forget_removed_workers();
    }

    /// Drops the rows of workers that hold nothing any more, once the log knows it.
    fn forget_removed_workers(&mut self) {
        let (dirty, in_flight) = (&self.dirty_workers, &self.in_flight);
        let stored = |key: WorkerKey| {
            !dirty.contains(&key)
                && in_flight.as_ref().is_none_or(|b| b.workers.iter().all(|(k, _)| *k != key))
        };
        self.workers.retain(|key, w| {
            w.listed || !w.removed || w.polling || !w.runs.is_empty() || w.recorded || !stored(key)
        });
    }

    pub(crate) fn add_worker(&mut self, info: WorkerInfo) -> WorkerKey {
        tracing::info!(worker = %info.id, service = %info.service, zone = %info.zone, incarnation = info.incarnation, "shard: worker added");
        // No lower than any that it has seen, should it have been here before.
        self.workers.insert(Worker::new(info, self.tokens.last, self.now))
    }

    /// Drops a worker that another shard commands. An earlier version may have recorded runs there.
    pub(crate) fn drop_foreign_worker(&mut self, id: &str) {
        let Some(key) = self.worker_key(id).filter(|k| !self.workers[*k].removed) else { return };
        self.drop_lost_runs(key, "commanded by another shard");
        let worker = &mut self.workers[key];
        worker.listed = false;
        worker.removed = true;
    }

    /// Removes workers that the platform no longer lists, once no run can be left on them.
    pub(crate) fn remove_unlisted_workers(&mut self) {
        for (key, worker) in self.workers.iter_mut() {
            if worker.listed || worker.removed || !worker.runs.is_empty() || self.now < worker.lease_end {
                continue;
            }
            worker.removed = true;
            self.dirty_workers.insert(key);
        }
    }

    /// Deletes ended jobs after the retention time, once no worker has a run of them.
    pub(crate) fn delete_expired_jobs(&mut self) {
        if self.now < self.expiry_due {
            return;
        }
        self.expiry_due = self.now + EXPIRY_INTERVAL_MS;
        let old = self.wall_ms.saturating_sub(self.timing.retention);
        self.delete_expired_referrals(old);
        let expired: Vec<JobKey> = self
            .jobs
            .iter()
            .filter(|(_, j)| j.stored_verdict != Verdict::Open && j.ended_at < old)
            .map(|(&k, _)| k)
            .filter(|k| !self.workers.values().any(|w| w.runs.keys().any(|t| t.step_ref.job == *k)))
            .collect();
        for key in expired {
            let Some(job) = self.jobs.remove(&key) else { continue };
            self.large_jobs.remove(&job.spec);
            self.job_keys.remove(&job.spec.id);
            self.dirty_jobs.remove(&key);
            self.deletions.extend(record::deletions(&job.spec.id));
        }
    }
}
