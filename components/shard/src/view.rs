//! Queries: states of jobs, load of services and usage of customers.

use std::cmp::Ordering;
use std::collections::HashMap;

use crate::Ms;
use crate::millis::to_ms;
use crate::model::{Resources, Verdict};
use crate::rank::{LastRank, Rank};
use crate::state::Shard;
use crate::worker::Worker;

/// State of a job, as callers see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobState {
    /// No task has started.
    Queued,
    /// Tasks have started.
    Running,
    /// All tasks are done.
    Completed,
    /// A task has used up its attempts.
    Failed,
    /// Cancelled.
    Cancelled,
}

/// Load of a service's workers, in thousandths of a core.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServiceLoad {
    /// Demand of waiting tasks whose jobs can still meet their objectives.
    pub demand: u64,
    /// Part of the demand that waits with the highest priority present.
    pub urgent: u64,
    /// Priority of the most urgent waiting job, or recently accepted one if none waits; `u32::MAX` without either.
    pub priority: u32,
    /// Reserved by runs.
    pub used: u64,
    /// Capacity of the schedulable workers.
    pub capacity: u64,
    /// Capacity that long-running tasks hold, and that the work arriving after a move will need.
    pub expected: u64,
    /// Workers beyond the present ones that jobs at a standstill need, as their tasks will fit none of these.
    pub lacking: u64,
    /// Ids of workers without runs.
    pub idle: Vec<String>,
}

/// Usage and demand of a customer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Charged for runs that are, or may be, on workers.
    pub used: Resources,
    /// Further demand of waiting tasks, at most the capacity of the workers.
    pub demand: Resources,
    /// Need of the first task in scheduling order that only quota keeps from starting; zero if there is none.
    pub next: Resources,
    /// Need of the smallest such task.
    pub least: Resources,
}

impl Shard {
    /// State of a job; `None` if the log holds no such job.
    #[must_use]
    pub fn job_state(&self, id: &str) -> Option<JobState> {
        let job = self.job_keys.get(id).and_then(|k| self.jobs.get(k)).filter(|j| j.stored)?;
        Some(match job.stored_verdict {
            Verdict::Completed => JobState::Completed,
            Verdict::Failed => JobState::Failed,
            Verdict::Cancelled => JobState::Cancelled,
            Verdict::Open if job.started => JobState::Running,
            Verdict::Open => JobState::Queued,
        })
    }

    /// Whether a worker is in the shard's table.
    #[must_use]
    pub fn has_worker(&self, id: &str) -> bool {
        self.worker_key(id).is_some()
    }

    /// Number of workers in the shard's table.
    #[must_use]
    pub fn worker_count(&self) -> usize {
        self.workers.values().count()
    }

    /// Number of accepted jobs of a queue of which no run is known to have begun.
    #[must_use]
    pub fn queued_jobs(&self, queue: &str) -> usize {
        let is_queued = |j: &&crate::job::Job| {
            j.stored && !j.begun && j.verdict == Verdict::Open && j.spec.queue == queue
        };
        self.jobs.values().filter(is_queued).count()
    }

    /// Usage and demand of each customer.
    #[must_use]
    pub fn usage(&self) -> HashMap<String, Usage> {
        let mut table: HashMap<String, Usage> = self
            .quota_used
            .iter()
            .map(|(t, &used)| (t.clone(), Usage { used, ..Usage::default() }))
            .collect();
        let capacity = self.usable_capacity();
        for step_ref in &self.ready_steps {
            let Some(job) = self.jobs.get(&step_ref.job) else { continue };
            let Some(step) =
                job.occurrence(step_ref.occurrence).and_then(|o| o.steps.get(step_ref.step as usize))
            else {
                continue;
            };
            let Some(spec) = job.spec.steps.get(step_ref.step as usize) else { continue };
            if job.spec.tenant.is_empty() {
                continue;
            }
            let entry = table.entry(job.spec.tenant.clone()).or_default();
            entry.demand = (entry.demand + spec.charge().times(u64::from(step.waiting_count))).min(&capacity);
        }
        for (customer, shortage) in &self.quota_shortages {
            let entry = table.entry(customer.clone()).or_default();
            (entry.next, entry.least) = (shortage.first, shortage.least);
            entry.demand = entry.demand.max(&shortage.first);
        }
        table
    }

    /// Capacity of the workers that can take tasks.
    fn usable_capacity(&self) -> Resources {
        let usable = |w: &&Worker| w.schedulable(self.now) && !self.zones_out.contains(&w.info.zone);
        self.workers.values().filter(usable).fold(Resources::default(), |sum, w| sum + w.info.capacity)
    }

    /// Load of a service's workers. `lead` is the time until a machine that is ordered now can help. Tasks that
    /// need more than `largest_cpu`, the CPU of the fleet's largest machine, count for nothing; 0 if it is unknown.
    #[must_use]
    pub fn service_load(&self, service: &str, lead: Ms, largest_cpu: u64) -> ServiceLoad {
        let arriving = self.arrivals.get(service).map_or(0.0, |a| a.forecast(self.now, lead));
        let mut load =
            ServiceLoad { expected: to_ms(arriving), priority: u32::MAX, ..ServiceLoad::default() };
        for worker in self.workers.values() {
            let zone_out = self.zones_out.contains(&worker.info.zone);
            if worker.info.service != service || zone_out || !worker.schedulable(self.now) {
                continue;
            }
            load.capacity += worker.info.capacity.cpu;
            load.used += worker.used.cpu;
            let long_running = worker.runs.values().filter(|r| r.long_running);
            load.expected += long_running.map(|r| r.reserved.cpu).sum::<u64>();
            if worker.runs.is_empty() {
                load.idle.push(worker.info.id.clone());
            }
        }
        let mut last = LastRank::default();
        for step_ref in &self.ready_steps {
            let accepted = |j: &&crate::job::Job| j.stored && j.spec.service == service;
            let Some(job) = self.jobs.get(&step_ref.job).filter(accepted) else { continue };
            let Some(step) =
                job.occurrence(step_ref.occurrence).and_then(|o| o.steps.get(step_ref.step as usize))
            else {
                continue;
            };
            let Some(spec) = job.spec.steps.get(step_ref.step as usize) else { continue };
            if self.rank(job, *step_ref, &mut last).0 > Rank::OnTime {
                continue;
            }
            if largest_cpu > 0 && spec.reservation().cpu > largest_cpu {
                continue;
            }
            let waiting = spec.reservation().times(u64::from(step.waiting_count)).cpu;
            load.demand = load.demand.saturating_add(waiting);
            match job.spec.priority.cmp(&load.priority) {
                Ordering::Less => (load.priority, load.urgent) = (job.spec.priority, waiting),
                Ordering::Equal => load.urgent = load.urgent.saturating_add(waiting),
                Ordering::Greater => {}
            }
        }
        if load.demand == 0 {
            let recent = self.arrivals.get(service).and_then(|a| a.highest_priority(self.now));
            load.priority = recent.unwrap_or(u32::MAX);
        }
        // Workers that a backlog needs are counted by its demand, at less cost.
        if load.demand <= load.capacity.saturating_sub(load.used) {
            load.lacking = self.lacking_workers(service);
        }
        load
    }
}
