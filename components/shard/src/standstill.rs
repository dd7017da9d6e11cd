//! Jobs at a standstill: a task is ready to start and nothing of the job runs.
//!
//! A shard that runs some jobs can hold up others for a reason that shows in no single decision: a quota below the
//! size of a task, workers that are cordoned or not polled, an order of placement that never reaches a step. The
//! owner looks for such jobs at intervals, so that an accepted job which does not run leaves a trace that names
//! the cause.
//!
//! Free capacity in sum does not mean room for a task: long-running tasks may leave too little on each worker, and a
//! step may use each worker for a limited number of its tasks. The service then lacks workers, however much of
//! its capacity is free.

use std::collections::HashMap;

use crate::Ms;
use crate::job::{Job, JobKey, StepRef, TaskRef, TaskState};
use crate::model::{Resources, StepSpec, TaskId};
use crate::state::Shard;
use crate::worker::Worker;

/// Time at a standstill after which a job's need for more workers counts; polls of all workers are answered by then.
const LACKING_AFTER_MS: Ms = 1_000;
/// Most steps that are examined for it.
const MAX_LACKING_STEPS: usize = 24;

/// What keeps a ready task from starting.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Obstacle {
    /// No worker has room for it; [`WorkerCounts`] tells why.
    Capacity,
    /// A worker has room, but the customer's quota on this shard does not cover it.
    Quota,
    /// Neither: placement does not reach the task.
    Order,
}

impl Obstacle {
    /// All values.
    pub const ALL: [Self; 3] = [Self::Capacity, Self::Quota, Self::Order];

    /// Value of the label in metrics.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::Capacity => "capacity",
            Self::Quota => "quota",
            Self::Order => "order",
        }
    }
}

/// Workers of a service by the first reason for which a task cannot start there.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorkerCounts {
    /// Not on the platform's list, not ready, or in a zone that is out of service.
    pub unlisted: usize,
    /// Cordoned.
    pub cordoned: usize,
    /// Not polled, or the last poll was not answered.
    pub silent: usize,
    /// Backed off, or with runs that this shard does not know.
    pub paused: usize,
    /// Without the label, or with as many tasks of the step as allowed.
    pub unsuitable: usize,
    /// Without enough free capacity.
    pub full: usize,
    /// Could take the task.
    pub open: usize,
}

/// The job that has stood still longest, and what holds it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Standstill {
    /// Number of jobs at a standstill.
    pub jobs: usize,
    /// A ready task of the job.
    pub task: TaskId,
    /// Customer that the task is charged to.
    pub customer: String,
    /// Milliseconds since the job was first seen at a standstill.
    pub elapsed: Ms,
    /// What keeps the task from starting.
    pub obstacle: Obstacle,
    /// Capacity that the task reserves.
    pub needed: Resources,
    /// Customer's quota on this shard.
    pub quota: Resources,
    /// Part of the quota that is charged for runs.
    pub used: Resources,
    /// Workers of the service.
    pub workers: WorkerCounts,
}

impl Shard {
    /// Looks for jobs at a standstill and returns the one that has stood longest. A long-running step counts
    /// while any of its tasks waits.
    pub fn find_standstill(&mut self) -> Option<Standstill> {
        let now = self.now;
        let mut standing: HashMap<JobKey, (Ms, TaskRef)> = HashMap::new();
        for &step_ref in &self.ready_steps {
            // One task of a job is enough; a job may have thousands of steps, and each look goes through its tasks.
            if standing.contains_key(&step_ref.job) {
                continue;
            }
            let Some(job) = self.jobs.get(&step_ref.job).filter(|j| j.stored) else { continue };
            let Some(task) = standing_task(job, step_ref, now) else { continue };
            let since = self.standing_since.get(&step_ref.job).copied().unwrap_or(now);
            standing.insert(step_ref.job, (since, task));
        }
        self.standing_since = standing.iter().map(|(&job, &(since, _))| (job, since)).collect();
        let (&key, &(since, task)) = standing.iter().min_by_key(|(key, (since, _))| (*since, **key))?;
        let job = self.jobs.get(&key)?;
        let spec = job.spec.steps.get(task.step_ref.step as usize)?;
        let workers = self.count_workers(&task, spec, &job.spec.service);
        let obstacle = if workers.open == 0 {
            Obstacle::Capacity
        } else if self.within_quota(&task, spec) {
            Obstacle::Order
        } else {
            Obstacle::Quota
        };
        let of_customer = |table: &HashMap<String, Resources>| table.get(&job.spec.tenant).copied();
        Some(Standstill {
            jobs: standing.len(),
            task: self.task_id(&task)?,
            customer: job.spec.tenant.clone(),
            elapsed: now - since,
            obstacle,
            needed: spec.reservation(),
            quota: of_customer(&self.quotas).unwrap_or_default(),
            used: of_customer(&self.quota_used).unwrap_or_default(),
            workers,
        })
    }

    /// Workers that a service lacks for jobs at a standstill. The need of steps is not summed up, as they can share
    /// workers.
    pub(crate) fn lacking_workers(&self, service: &str) -> u64 {
        let stands = |step: &&StepRef| {
            self.standing_since.get(&step.job).is_some_and(|since| self.now >= since + LACKING_AFTER_MS)
                && self.jobs.get(&step.job).is_some_and(|j| j.spec.service == service)
        };
        let steps = self.ready_steps.iter().filter(stands).take(MAX_LACKING_STEPS);
        steps.filter_map(|step| self.lacking_for(step)).max().unwrap_or(0)
    }

    /// Workers that a step lacks. A step that could use none of the service's workers even if they were empty would
    /// gain nothing by more of them.
    fn lacking_for(&self, step_ref: &StepRef) -> Option<u64> {
        let job = self.jobs.get(&step_ref.job)?;
        let task = standing_task(job, *step_ref, self.now)?;
        let spec = job.spec.steps.get(step_ref.step as usize)?;
        let waiting = job.occurrence(step_ref.occurrence)?.steps.get(step_ref.step as usize)?.waiting_count;
        if !self.within_quota(&task, spec) {
            return None;
        }
        let of_service = || self.workers.iter().filter(|(_, w)| w.info.service == job.spec.service);
        let suits = |w: &Worker| {
            spec.reservation().fits(&w.info.capacity)
                && (spec.label.is_empty() || w.info.labels.contains(&spec.label))
        };
        if !of_service().any(|(_, w)| suits(w)) {
            return None;
        }
        let usable = of_service().filter(|(key, w)| {
            w.schedulable(self.now)
                && self.eligible(*key, step_ref, spec, &job.spec.service)
                && spec.reservation().fits(&w.capacity_in_time())
        });
        let usable = u32::try_from(usable.count()).unwrap_or(u32::MAX);
        let lacking = match spec.max_colocated {
            0 => u32::from(usable == 0),
            each => waiting.saturating_sub(usable.saturating_mul(each)).div_ceil(each),
        };
        Some(u64::from(lacking))
    }

    fn count_workers(&self, task: &TaskRef, spec: &StepSpec, service: &str) -> WorkerCounts {
        let mut counts = WorkerCounts::default();
        for (key, worker) in self.workers.iter().filter(|(_, w)| w.info.service == service) {
            let zone_out = self.zones_out.contains(&worker.info.zone);
            let count = if !worker.listed || !worker.info.ready || zone_out {
                &mut counts.unlisted
            } else if worker.cordoned(self.now) {
                &mut counts.cordoned
            } else if !worker.answers() {
                &mut counts.silent
            } else if !worker.schedulable(self.now) || self.probe_in_progress(key) {
                &mut counts.paused
            } else if !self.eligible(key, &task.step_ref, spec, service) {
                &mut counts.unsuitable
            } else if !spec.reservation().fits(&worker.available()) {
                &mut counts.full
            } else {
                &mut counts.open
            };
            *count += 1;
        }
        counts
    }
}

/// A ready task of the step, if the job stands still.
fn standing_task(job: &Job, step_ref: StepRef, now: Ms) -> Option<TaskRef> {
    let occurrence = job.occurrence(step_ref.occurrence)?;
    let step = occurrence.steps.get(step_ref.step as usize)?;
    let spec = job.spec.steps.get(step_ref.step as usize)?;
    let runs = |state: TaskState| matches!(state, TaskState::Placed(_));
    if !spec.long_running && occurrence.steps.iter().flat_map(|s| &s.tasks).any(|t| runs(t.state)) {
        return None;
    }
    let ready = step.tasks.iter().position(|t| t.state == TaskState::Waiting && t.not_before <= now)?;
    Some(TaskRef { step_ref, index: u32::try_from(ready).ok()? })
}

impl Worker {
    /// Whether its last poll by this owner was answered.
    fn answers(&self) -> bool {
        !self.removed && self.clock.is_some() && self.reachability == crate::worker::Reachability::Reachable
    }
}
