//! Overload control of the shard's pools: the state that the decisions of the `overload` crate need.
//!
//! Off until the weights of customers are known; then, while the waiting tasks of a service need more than its
//! workers have free, each placement pass sorts the waiting jobs into those that are kept and those that are
//! deferred, and new jobs that would end without value are refused. All of the state is in memory. A new owner starts
//! without it and orders by estimates until tasks have ended.

use std::collections::{HashMap, VecDeque};

use overload::{Admission, Backlog, Candidate, Class, Pool, Returns, Shares, Triage, competing_size};

use crate::Ms;
use crate::job::{Job, JobKey, Step, StepRef};
use crate::millis::{to_float, to_ms};
use crate::model::JobSpec;
use crate::rank::expected_duration;
use crate::state::Shard;
use crate::worker::Run;

/// Time for which a pool counts as at least as large as it was. A machine joins another pool within 1.8 s, so a pool
/// that lends one has it, or another one, back within twice that.
const CAPACITY_WINDOW_MS: Ms = 3_600;
/// Age at which the result of a pass says nothing about the pool; passes follow one another within 50 ms while
/// jobs wait.
const PASS_VALID_MS: Ms = 200;

/// Time between two triages while so many steps wait that each is expensive; tasks take ten times as long.
const BACKLOGGED_INTERVAL_MS: Ms = 50;

/// State of overload control.
#[derive(Debug, Default)]
pub(crate) struct Control {
    /// Weights of customers; none while overload control is off.
    weights: Option<HashMap<String, u64>>,
    pools: HashMap<String, PoolState>,
    /// Work of the newest job, by queue.
    sizes: HashMap<String, f64>,
    /// Reservations of runs that end, by customer, in thousandths of a core.
    running: HashMap<String, u64>,
    /// Result of the last triage, and its time.
    places: Places,
    sorted_at: Ms,
}

/// State of a service's pool.
#[derive(Debug, Default)]
struct PoolState {
    /// Time of the last pass in which the pool was short.
    passed_at: Ms,
    /// The pool as that pass saw it.
    pool: Option<Pool>,
    /// Waiting work with value, in that pass and accepted since.
    waiting: Vec<Row>,
    /// See [`Backlog::limit`].
    limit: Option<(u32, f64)>,
    /// Fair level of the last pass, in thousandths of a core for a weight of 1.
    level: f64,
    /// Deferred jobs in the last pass.
    deferred: usize,
    /// Capacities within the window, falling; the first one is the largest.
    peaks: VecDeque<(Ms, f64)>,
    returns: Returns,
}

/// Waiting work of a customer at a priority.
#[derive(Debug)]
struct Row {
    priority: u32,
    customer: String,
    work: f64,
    jobs: f64,
}

/// What to do with a new job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Entry {
    Accept,
    /// It returns at the time that it was given, and is deferred last.
    Promised,
    /// Refuse it; its caller may return after this many milliseconds.
    Refuse(Ms),
}

/// Place of a waiting job in the order of a pass in which its pool is short.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Place {
    pub class: Class,
    /// Competing size.
    pub size: f64,
    /// See [`Candidate::held`].
    pub held: bool,
    /// Its customer uses more than its share.
    pub beyond: bool,
}

/// Places of waiting jobs of services that are short, by job and occurrence.
pub(crate) type Places = HashMap<(JobKey, u32), Place>;

/// Waiting jobs of a service in a pass.
#[derive(Default)]
struct Waiting {
    keys: Vec<(JobKey, u32)>,
    jobs: Vec<Candidate>,
    /// Names of the customers, by their index.
    customers: Vec<String>,
    /// Expected work, and reservations in thousandths of a core, of all tasks that have not started.
    work: f64,
    cpu: f64,
}

impl Control {
    /// Sets the weights of customers and turns overload control on, or off without any.
    pub fn set_weights(&mut self, weights: Option<HashMap<String, u64>>) {
        if weights.is_none() {
            self.places.clear();
        }
        self.weights = weights;
    }

    /// Notes a new job's work and returns that of the job before it.
    pub fn replace_size(&mut self, queue: &str, work: f64) -> f64 {
        match self.sizes.get_mut(queue) {
            Some(size) => std::mem::replace(size, work),
            None => {
                self.sizes.insert(queue.to_owned(), work);
                work
            }
        }
    }

    /// Counts a run that was placed or inherited.
    pub fn run_added(&mut self, run: &Run) {
        if !run.long_running {
            *self.running.entry(run.tenant.clone()).or_default() += run.reserved.cpu;
        }
    }

    /// Counts the end of a run.
    pub fn run_removed(&mut self, run: &Run) {
        if let Some(cpu) = self.running.get_mut(&run.tenant).filter(|_| !run.long_running) {
            *cpu = cpu.saturating_sub(run.reserved.cpu);
        }
    }

    /// Places of the waiting jobs; empty while nothing has to be deferred.
    pub const fn places(&self) -> &Places {
        &self.places
    }

    fn weight(&self, customer: &str) -> f64 {
        let weight = self.weights.as_ref().and_then(|w| w.get(customer)).copied();
        to_float(weight.unwrap_or(0).max(1))
    }
}

impl PoolState {
    /// Notes the capacity of a pass and returns the largest one within the window.
    fn note_capacity(&mut self, now: Ms, capacity: f64) {
        while self.peaks.back().is_some_and(|(_, c)| *c <= capacity) {
            self.peaks.pop_back();
        }
        self.peaks.push_back((now, capacity));
        while self.peaks.front().is_some_and(|(at, _)| at + CAPACITY_WINDOW_MS < now) {
            self.peaks.pop_front();
        }
    }

    /// Accepted work that goes before a new job of a customer with a weight.
    fn backlog(&self, priority: u32, customer: &str, weight: f64) -> Backlog {
        let share = self.level * weight;
        let mut backlog = Backlog { share, limit: self.limit, ..Backlog::default() };
        for row in self.waiting.iter().filter(|r| r.priority <= priority) {
            backlog.jobs += row.jobs;
            if row.priority < priority {
                backlog.urgent += row.work;
                continue;
            }
            backlog.equal += row.work;
            if row.customer == customer {
                backlog.own += row.work;
            }
        }
        backlog
    }

    fn add_waiting(&mut self, priority: u32, customer: &str, work: f64) {
        let row = self.waiting.iter_mut().find(|r| r.priority == priority && r.customer == customer);
        if let Some(row) = row {
            row.work += work;
            row.jobs += 1.0;
        } else {
            self.waiting.push(Row { priority, customer: customer.to_owned(), work, jobs: 1.0 });
        }
    }
}

impl Shard {
    /// Number of jobs that the last placement pass deferred, of all services.
    #[must_use]
    pub fn deferred_jobs(&self) -> usize {
        let current = |p: &&PoolState| self.now <= p.passed_at + PASS_VALID_MS;
        self.overload.pools.values().filter(current).map(|p| p.deferred).sum()
    }

    /// Sorts the waiting jobs of the services that are short.
    pub(crate) fn triage_waiting(&mut self) {
        let recent = self.now < self.overload.sorted_at + BACKLOGGED_INTERVAL_MS;
        if self.overload.weights.is_none() || (recent && self.backlogged()) {
            return;
        }
        self.overload.sorted_at = self.now;
        let mut sorted = Places::new();
        for (service, free) in self.short_services() {
            let waiting = self.waiting_jobs(&service);
            if waiting.cpu <= 0.0 {
                continue;
            }
            let duration = waiting.work / waiting.cpu;
            let capacity = self.ending_capacity(&service);
            let pool = Pool { capacity, free_work: free * duration, task_ms: duration };
            let shares = self.shares(&waiting.customers);
            let triage = overload::triage(to_float(self.now), &pool, &waiting.jobs, &shares);
            self.note_pass(&service, pool, &waiting, &triage);
            if triage.short() {
                self.note_deferred(&pool, &waiting, &triage, &shares);
                let places = waiting.jobs.iter().zip(triage.classes);
                let places = places.map(|(job, class)| Place {
                    class,
                    size: job.size,
                    held: job.held,
                    beyond: shares.beyond(job.customer, triage.level),
                });
                sorted.extend(waiting.keys.into_iter().zip(places));
            }
        }
        self.overload.places = sorted;
    }

    /// Services whose waiting tasks need more than their workers have free, with the free capacity in thousandths of
    /// a core. What a customer's limit keeps from starting needs no capacity.
    fn short_services(&self) -> Vec<(String, f64)> {
        let mut demand: HashMap<&str, HashMap<&str, u64>> = HashMap::new();
        for step_ref in &self.ready_steps {
            let Some((job, step, cpu)) = self.waiting_step(*step_ref) else { continue };
            let by_customer = demand.entry(job.spec.service.as_str()).or_default();
            let sum = by_customer.entry(job.spec.tenant.as_str()).or_default();
            *sum = sum.saturating_add(cpu.saturating_mul(u64::from(step.waiting_count)));
        }
        let mut short = Vec::new();
        for (service, by_customer) in demand {
            let free: u64 = self.pool_workers(service).map(|w| w.available().cpu).sum();
            let needed = by_customer.iter().map(|(customer, cpu)| (*cpu).min(self.headroom(customer)));
            if needed.fold(0, u64::saturating_add) > free {
                short.push((service.to_owned(), to_float(free)));
            }
        }
        short
    }

    /// What a customer may still use of its limit, in thousandths of a core.
    fn headroom(&self, customer: &str) -> u64 {
        let used = self.quota_used.get(customer).map_or(0, |u| u.cpu);
        self.limits.get(customer).map_or(u64::MAX, |limit| limit.cpu.saturating_sub(used))
    }

    /// A waiting step whose tasks end, with its job and the reservation of a task in thousandths of a core.
    fn waiting_step(&self, step_ref: StepRef) -> Option<(&Job, &Step, u64)> {
        let job = self.jobs.get(&step_ref.job)?;
        let spec = job.spec.steps.get(step_ref.step as usize)?;
        let step = job.occurrence(step_ref.occurrence)?.steps.get(step_ref.step as usize)?;
        let ends = !spec.long_running && !spec.best_effort;
        (ends && step.waiting_count > 0).then_some((job, step, spec.cpu))
    }

    /// Workers of a service that can take tasks.
    fn pool_workers(&self, service: &str) -> impl Iterator<Item = &crate::worker::Worker> {
        let usable = move |w: &&crate::worker::Worker| {
            w.info.service == service && w.schedulable(self.now) && !self.zones_out.contains(&w.info.zone)
        };
        self.workers.values().filter(usable)
    }

    /// Capacity of a service for tasks that end, in thousandths of a core.
    fn ending_capacity(&self, service: &str) -> f64 {
        self.pool_workers(service).map(|w| to_float(w.info.capacity.cpu.saturating_sub(w.lasting_cpu))).sum()
    }

    /// Jobs of a service with tasks to start, except those whose tasks fit no worker, and those that their customer's
    /// limit does not let run while they have value.
    fn waiting_jobs(&self, service: &str) -> Waiting {
        let largest = self.pool_workers(service).map(|w| w.info.capacity.cpu).max().unwrap_or(0);
        let mut waiting = Waiting::default();
        let mut indices: HashMap<&str, usize> = HashMap::new();
        let mut sums: Vec<f64> = Vec::new();
        for step_ref in &self.ready_steps {
            let Some((job, _, cpu)) = self.waiting_step(*step_ref) else { continue };
            let key = (step_ref.job, step_ref.occurrence);
            if job.spec.service != service || cpu > largest || waiting.keys.last() == Some(&key) {
                continue;
            }
            let (work, cpu) = self.remaining_work(job, step_ref.occurrence);
            let times = self.times(&job.spec, job.queued_since, job.occurrence(step_ref.occurrence));
            let customer = *indices.entry(job.spec.tenant.as_str()).or_insert_with(|| {
                waiting.customers.push(job.spec.tenant.clone());
                sums.push(0.0);
                waiting.customers.len() - 1
            });
            let left = times.late_limit - to_float(self.now);
            let limit = self.limits.get(&job.spec.tenant).map_or(f64::INFINITY, |l| to_float(l.cpu));
            if left > 0.0 && sums[customer] > limit * left {
                continue;
            }
            sums[customer] += work;
            waiting.keys.push(key);
            waiting.jobs.push(Candidate {
                customer,
                priority: job.spec.priority,
                work,
                size: competing_size(work, job.other_size, &job.spec.id),
                chain_ms: times.remaining,
                due: times.due,
                late_limit: times.late_limit,
                held: job.started || job.promised,
            });
            waiting.work += work;
            waiting.cpu += cpu;
        }
        waiting
    }

    /// Expected work, and reservations, of an occurrence's tasks that have not started and end by themselves.
    fn remaining_work(&self, job: &Job, occurrence: u32) -> (f64, f64) {
        let average = self.average_durations.get(&job.spec.queue).copied();
        let Some(occurrence) = job.occurrence(occurrence) else { return (0.0, 0.0) };
        let steps = job.spec.steps.iter().zip(&occurrence.steps);
        let ending = steps.filter(|(spec, _)| !spec.long_running && !spec.best_effort);
        ending.fold((0.0, 0.0), |(work, sum), (spec, step)| {
            let cpu = to_float(spec.cpu) * f64::from(step.waiting_count);
            (work + cpu * expected_duration(average, spec.estimate), sum + cpu)
        })
    }

    /// Weights and running work of customers.
    fn shares(&self, customers: &[String]) -> Shares {
        let running = |c: &String| to_float(self.overload.running.get(c).copied().unwrap_or(0));
        Shares {
            weights: customers.iter().map(|c| self.overload.weight(c)).collect(),
            running: customers.iter().map(running).collect(),
        }
    }

    /// Keeps what admission needs of a pass.
    fn note_pass(&mut self, service: &str, pool: Pool, waiting: &Waiting, triage: &Triage) {
        let state = self.overload.pools.entry(service.to_owned()).or_default();
        state.note_capacity(self.now, pool.capacity);
        state.passed_at = self.now;
        state.pool = Some(pool);
        state.limit = triage.limit;
        state.level = triage.level;
        state.waiting.clear();
        state.deferred = 0;
        for (job, class) in waiting.jobs.iter().zip(&triage.classes) {
            if *class != Class::Expired {
                state.add_waiting(job.priority, &waiting.customers[job.customer], job.work);
            }
            state.deferred += usize::from(*class == Class::Deferred);
        }
    }

    /// Logs the jobs that are deferred for the first time.
    fn note_deferred(&mut self, pool: &Pool, waiting: &Waiting, triage: &Triage, shares: &Shares) {
        let rows = waiting.keys.iter().zip(&waiting.jobs).zip(&triage.classes);
        for ((key, candidate), _) in rows.filter(|(_, class)| **class == Class::Deferred) {
            let Some(job) = self.jobs.get_mut(&key.0).filter(|j| !j.deferred) else { continue };
            job.deferred = true;
            tracing::info!(
                job = %job.spec.id,
                customer = %job.spec.tenant,
                priority = candidate.priority,
                work = candidate.work,
                chain = candidate.chain_ms,
                due = candidate.due - to_float(self.now),
                end = pool.wait(waiting.work) + candidate.chain_ms,
                backlog = waiting.work,
                jobs = waiting.jobs.len(),
                capacity = pool.capacity,
                share = triage.level * shares.weight(candidate.customer),
                running = self.overload.running.get(&job.spec.tenant).copied().unwrap_or(0),
                "shard: job deferred, the pool is short"
            );
        }
    }

    /// Decides whether a new job is accepted. Jobs of long-running, repeated or gang steps always are.
    pub(crate) fn admit(&mut self, spec: &JobSpec) -> Entry {
        let now = to_float(self.now);
        let exempt = spec.repeat.is_some() || spec.steps.iter().any(|s| s.long_running || s.gang);
        if exempt || self.overload.weights.is_none() {
            return Entry::Accept;
        }
        let work = self.expected_work(spec);
        let times = self.times(spec, self.now, None);
        let other = self.overload.sizes.get(&spec.queue).copied().unwrap_or(work);
        let size = competing_size(work, other, &spec.id);
        let running = self.overload.running.get(&spec.tenant).copied().unwrap_or(0);
        let weight = self.overload.weight(&spec.tenant);
        let Some(state) = self.overload.pools.get_mut(&spec.service) else { return Entry::Accept };
        if state.returns.claim(now, &spec.id) {
            return Entry::Promised;
        }
        let Some(pool) = state.pool.filter(|_| self.now <= state.passed_at + PASS_VALID_MS) else {
            return Entry::Accept;
        };
        let capacity = state.peaks.front().map_or(pool.capacity, |(_, c)| *c);
        let grown = Pool { capacity, ..pool };
        let backlog = state.backlog(spec.priority, &spec.tenant, weight);
        let job = Candidate {
            customer: 0,
            priority: spec.priority,
            work,
            size,
            chain_ms: times.remaining,
            due: times.due,
            late_limit: times.late_limit,
            held: false,
        };
        let Admission::Refuse { end } = overload::decide(now, &grown, &backlog, &job) else {
            state.add_waiting(spec.priority, &spec.tenant, work);
            return Entry::Accept;
        };
        let room = pool.capacity.min(state.level * weight);
        let retry_ms = to_ms(state.returns.refuse(now, (&spec.tenant, &spec.id), work, room).ceil());
        tracing::info!(
            job = %spec.id,
            customer = %spec.tenant,
            priority = spec.priority,
            work,
            chain = times.remaining,
            due = times.due - now,
            late = times.late_limit - now,
            end = end - now,
            backlog = backlog.work(capacity),
            jobs = backlog.jobs,
            capacity,
            share = state.level * weight,
            running,
            retry_ms,
            "shard: job refused, it would end without value"
        );
        Entry::Refuse(retry_ms)
    }
}
