//! Plays a day of callers against one shard with a fixed pool, in virtual time.
//!
//! Workers and the log never fail. Estimates are off by up to a factor of 2 either way. Refused callers may keep
//! the time that they were given.

use std::collections::{BTreeMap, HashMap, VecDeque};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use shard::{
    Action, Input, JobSpec, JobState, Ms, Resources, RunEnd, RunOutcome, Shard, StartReply, StepSpec, TaskId,
    Timing, WorkerInfo, WorkerReport,
};

pub const TICK_MS: Ms = 10;
const WALL_START_MS: u64 = 1_000_000_000;
/// Time before the first caller, in which the workers are polled.
const SETTLE_MS: Ms = 3_000;
/// Time after the last caller, longer than any job has value.
const TAIL_MS: Ms = 15_000;
/// Callers return this long after a refusal at most; `Retry-After` is in whole seconds.
const SECOND_MS: Ms = 1_000;
/// Factor by which estimates are wrong at most.
const ESTIMATE_ERROR: f64 = 2.0;
const TIMING: Timing = Timing {
    lease: 5_000,
    lease_limit: 10_000,
    overlap: 1_500,
    poll_wait: 1_000,
    request_timeout: 500,
    stop_interval: 400,
    stall_after: 400,
    retention: 120_000,
};

/// A kind of jobs: steps of equal tasks.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    pub queue: &'static str,
    pub priority: u32,
    /// Least and most tasks of a step; small ones are more frequent.
    pub tasks: (u32, u32),
    pub cpu: u64,
    /// Mean duration of a task.
    pub mean_ms: f64,
    /// Jobs per second of all customers at their usual rates.
    pub per_s: f64,
}

/// A burst of one customer.
#[derive(Clone, Copy, Debug)]
pub struct Burst {
    pub customer: usize,
    pub factor: f64,
    pub from: Ms,
    pub until: Ms,
}

/// A day.
#[derive(Clone, Debug)]
pub struct Day {
    pub seed: u64,
    pub workers: usize,
    /// Share of the jobs that each customer submits; a single one without a name is a public queue.
    pub customers: Vec<f64>,
    pub kinds: Vec<Kind>,
    /// Factor on all rates.
    pub load: f64,
    pub burst: Option<Burst>,
    pub length_ms: Ms,
    /// Overload control is on.
    pub control: bool,
    /// Refused callers keep the time that they were given.
    pub returns: bool,
    /// Times at which another owner takes the shard over.
    pub takeovers: Vec<Ms>,
}

/// What became of a job.
#[derive(Clone, Debug, Default)]
pub struct Job {
    pub customer: usize,
    pub at: Ms,
    /// Real work in thousandths of a core times milliseconds.
    pub work: f64,
    pub objective: f64,
    pub chain_ms: f64,
    pub accepted: Option<Ms>,
    pub refused: Vec<Ms>,
    /// When it may return after its first refusal.
    pub return_at: Option<Ms>,
    pub ended: Option<Ms>,
    /// Starts of each task.
    pub starts: HashMap<String, u32>,
}

impl Job {
    pub fn in_time(&self) -> bool {
        self.ended.is_some_and(|end| end as f64 <= self.at as f64 + self.objective)
    }

    /// Ended while it had value, since the caller first asked or since it was accepted.
    pub fn of_value(&self) -> bool {
        let since = self.accepted.unwrap_or(self.at) as f64;
        self.ended.is_some_and(|end| end as f64 <= since + 3.0 * self.objective)
    }
}

pub struct Outcome {
    pub jobs: Vec<Job>,
    /// Tasks in the order in which they started.
    pub starts: Vec<String>,
    pub deferred: usize,
}

struct Worker {
    running: BTreeMap<String, (Ms, u32, TaskId)>,
    ended: Vec<RunEnd>,
    ends: u64,
}

struct Player {
    day: Day,
    now: Ms,
    epoch: u64,
    shard: Shard,
    log: BTreeMap<String, Vec<u8>>,
    workers: BTreeMap<String, Worker>,
    inputs: VecDeque<Input>,
    polls: Vec<(String, Ms, Ms)>,
    jobs: Vec<Job>,
    specs: Vec<(JobSpec, f64)>,
    /// Jobs by id.
    numbers: HashMap<String, usize>,
    /// Accepted jobs that have not ended.
    open: Vec<usize>,
    /// Returns of refused callers: time, job.
    returns: Vec<(Ms, usize)>,
    callers: StdRng,
    result: Outcome,
}

impl Day {
    /// Mean work of a job, by its kind.
    fn mean_work(kind: &Kind) -> f64 {
        let (least, most) = kind.tasks;
        // Counts are log-uniform, and jobs have one or two steps.
        let tasks = if least == most {
            f64::from(least)
        } else {
            f64::from(most - least) / f64::from(most).ln().mul_add(1.0, -f64::from(least).ln())
        };
        1.5 * tasks * kind.cpu as f64 * kind.mean_ms
    }

    /// Factor on the rates at which the pool's capacity is used `times` times.
    pub fn load_of(&self, times: f64) -> f64 {
        let usual: f64 = self.kinds.iter().map(|k| Self::mean_work(k) * k.per_s / 1_000.0).sum();
        times * self.capacity() / usual
    }

    pub fn capacity(&self) -> f64 {
        self.workers as f64 * WORKER_CPU as f64
    }

    pub fn play(&self) -> Outcome {
        Player::new(self.clone()).play()
    }
}

pub const WORKER_CPU: u64 = 64_000;

fn customer_name(day: &Day, n: usize) -> String {
    if day.customers.len() == 1 { String::new() } else { format!("c{n}") }
}

impl Player {
    fn new(day: Day) -> Self {
        let now = 10_000;
        let worker = |n| (format!("w{n}"), Worker { running: BTreeMap::new(), ended: Vec::new(), ends: 0 });
        let mut player = Self {
            now,
            epoch: 64,
            shard: Shard::new(TIMING, 64, now, WALL_START_MS + now),
            log: BTreeMap::new(),
            workers: (0..day.workers).map(worker).collect(),
            inputs: VecDeque::new(),
            polls: Vec::new(),
            jobs: Vec::new(),
            specs: Vec::new(),
            numbers: HashMap::new(),
            open: Vec::new(),
            returns: Vec::new(),
            callers: StdRng::seed_from_u64(day.seed),
            result: Outcome { jobs: Vec::new(), starts: Vec::new(), deferred: 0 },
            day,
        };
        player.draw_jobs();
        player.configure();
        player
    }

    fn configure(&mut self) {
        let info = |id: &String| WorkerInfo {
            id: id.clone(),
            addr: format!("{id}:1"),
            service: "s".into(),
            zone: "z1".into(),
            labels: vec!["a".into()],
            capacity: Resources { cpu: WORKER_CPU, mem: 1 << 30, gpu: 0 },
            ready: true,
            incarnation: 0,
        };
        let names: Vec<String> = (0..self.day.customers.len()).map(|n| customer_name(&self.day, n)).collect();
        let limit = Resources { cpu: 1 << 50, mem: 1 << 50, gpu: 0 };
        self.inputs.push_back(Input::Workers(self.workers.keys().map(info).collect()));
        self.inputs.push_back(Input::Quotas(names.iter().map(|n| (n.clone(), limit)).collect()));
        if self.day.control {
            self.inputs.push_back(Input::Weights(Some(names.into_iter().map(|n| (n, 0)).collect())));
        }
    }

    /// Draws all jobs ahead, so that they do not depend on what the shard does.
    fn draw_jobs(&mut self) {
        let day = self.day.clone();
        for at in (0..day.length_ms).step_by(TICK_MS as usize) {
            for kind in &day.kinds {
                for (customer, share) in day.customers.iter().enumerate() {
                    let burst = day.burst.filter(|b| b.customer == customer && at >= b.from && at < b.until);
                    let rate = kind.per_s * share * day.load * burst.map_or(1.0, |b| b.factor);
                    // The draws for a customer are the same with and without a burst of another one.
                    let mut left = rate * TICK_MS as f64 / 1_000.0;
                    let mut rng = StdRng::seed_from_u64(
                        day.seed ^ (at << 20) ^ ((customer as u64) << 8) ^ kind.cpu.wrapping_mul(0x9e37_79b9),
                    );
                    while left > 0.0 {
                        if rng.random::<f64>() < left.min(1.0) {
                            self.draw_job(kind, customer, SETTLE_MS + 10_000 + at, &mut rng);
                        }
                        left -= 1.0;
                    }
                }
            }
        }
    }

    fn draw_job(&mut self, kind: &Kind, customer: usize, at: Ms, rng: &mut StdRng) {
        let id = format!("{:016x}", self.callers.random::<u64>());
        let (least, most) = (f64::from(kind.tasks.0), f64::from(kind.tasks.1));
        let count = (least * (most / least).powf(rng.random())).round() as u32;
        let steps: u32 = if rng.random::<f64>() < 0.5 { 1 } else { 2 };
        let real = kind.mean_ms * rng.random_range(0.7..1.3);
        let estimate = real * ESTIMATE_ERROR.powf(rng.random_range(-1.0..1.0));
        let step = |n: u32| StepSpec {
            count,
            cpu: kind.cpu,
            mem: 1,
            estimate: estimate as u64,
            depends_on: (n > 0).then(|| n - 1).into_iter().collect(),
            ..StepSpec::default()
        };
        let spec = JobSpec {
            id,
            queue: kind.queue.into(),
            service: "s".into(),
            tenant: customer_name(&self.day, customer),
            payload: "work".into(),
            priority: kind.priority,
            steps: (0..steps).map(step).collect(),
            max_attempts: 2,
            stretch: 1.6,
            target: 600,
            ..JobSpec::default()
        };
        let tasks = f64::from(count * steps) * kind.cpu as f64;
        self.jobs.push(Job {
            customer,
            at,
            work: tasks * real,
            objective: 1.6 * f64::from(steps) * real + 600.0,
            chain_ms: f64::from(steps) * real,
            ..Job::default()
        });
        self.numbers.insert(spec.id.clone(), self.specs.len());
        self.specs.push((spec, real));
    }

    fn play(mut self) -> Outcome {
        let end = self.now + SETTLE_MS + self.day.length_ms + TAIL_MS;
        let mut next = 0;
        while self.now < end {
            self.now += TICK_MS;
            if self.day.takeovers.iter().any(|t| SETTLE_MS + 10_000 + t == self.now) {
                self.change_owner();
            }
            while self.jobs.get(next).is_some_and(|j| j.at <= self.now) {
                self.submit(next);
                next += 1;
            }
            let (due, waiting): (Vec<_>, Vec<_>) =
                std::mem::take(&mut self.returns).into_iter().partition(|(at, _)| *at <= self.now);
            self.returns = waiting;
            for (_, job) in due {
                self.submit(job);
            }
            self.advance();
        }
        self.result.jobs = self.jobs;
        self.result
    }

    fn submit(&mut self, job: usize) {
        let input =
            Input::Submit { request_id: job as u64, spec: self.specs[job].0.clone(), searched: false };
        self.inputs.push_back(input);
    }

    fn change_owner(&mut self) {
        self.epoch += 64;
        self.shard = Shard::new(TIMING, self.epoch, self.now, WALL_START_MS + self.now);
        self.shard.load(self.log.iter().map(|(k, v)| (k.as_str(), v.as_slice())));
        self.inputs.clear();
        self.polls.clear();
        self.configure();
        // Callers without an answer ask again.
        let silent = |j: &&usize| {
            let job = &self.jobs[**j];
            job.at < self.now && job.accepted.is_none() && job.refused.is_empty()
        };
        let all: Vec<usize> = (0..self.jobs.len()).collect();
        let again: Vec<usize> = all.iter().filter(silent).copied().collect();
        for job in again {
            self.submit(job);
        }
    }

    fn advance(&mut self) {
        let now = self.now;
        for worker in self.workers.values_mut() {
            worker.finish_runs(now);
        }
        let (due, waiting): (Vec<_>, Vec<_>) = std::mem::take(&mut self.polls)
            .into_iter()
            .partition(|(id, _, at)| now >= *at || !self.workers[id].ended.is_empty());
        self.polls = waiting;
        for (worker, sent, _) in due {
            let report = self.workers[&worker].report(now);
            self.inputs.push_back(Input::Polled { worker, sent, report });
        }
        while let Some(input) = self.inputs.pop_front() {
            self.shard.apply(now, WALL_START_MS + now, input);
        }
        for action in self.shard.step(now, WALL_START_MS + now, true) {
            self.perform(action);
        }
        self.result.deferred = self.result.deferred.max(self.shard.deferred_jobs());
        let (shard, specs, jobs) = (&self.shard, &self.specs, &mut self.jobs);
        self.open.retain(|&n| {
            let ended = shard.job_state(&specs[n].0.id) == Some(JobState::Completed);
            jobs[n].ended = ended.then_some(now);
            !ended
        });
    }

    fn perform(&mut self, action: Action) {
        let now = self.now;
        match action {
            Action::Append(records) => {
                for record in records {
                    match record.value {
                        Some(value) => drop(self.log.insert(record.key, value)),
                        None => drop(self.log.remove(&record.key)),
                    }
                }
                self.inputs.push_back(Input::Stored);
            }
            Action::Accepted(job) => {
                let number = job as usize;
                if self.jobs[number].accepted.is_none() {
                    self.open.push(number);
                }
                self.jobs[number].accepted.get_or_insert(now);
            }
            Action::Refused { request_id, retry_ms, .. } => {
                let job = &mut self.jobs[request_id as usize];
                job.refused.push(now);
                let at = now + retry_ms.div_ceil(SECOND_MS).max(1) * SECOND_MS;
                job.return_at.get_or_insert(at);
                if self.day.returns && job.refused.len() < 5 {
                    self.returns.push((at, request_id as usize));
                }
            }
            Action::Start(order) => {
                let number = self.numbers[&order.task_id.job];
                let text = order.task_id.to_string();
                self.result.starts.push(text.clone());
                *self.jobs[number].starts.entry(text.clone()).or_default() += 1;
                let end = now + self.specs[number].1 as Ms;
                let worker = self.workers.get_mut(&order.worker).expect("a worker");
                worker.running.insert(text, (end, order.run, order.task_id.clone()));
                let (worker, task_id, run) = (order.worker, order.task_id, order.run);
                self.inputs.push_back(Input::StartResult {
                    worker,
                    task_id,
                    run,
                    reply: StartReply::Running,
                });
            }
            Action::Poll { worker, acked, wait, .. } => {
                self.workers.get_mut(&worker).expect("a worker").ended.retain(|e| e.sequence > acked);
                self.polls.push((worker, now, now + wait));
            }
            Action::OwnershipLost => panic!("the shard lost its ownership"),
            _ => {}
        }
    }
}

impl Worker {
    fn finish_runs(&mut self, now: Ms) {
        let done: Vec<String> =
            self.running.iter().filter(|(_, (end, ..))| now >= *end).map(|(t, _)| t.clone()).collect();
        for task in done {
            let (_, run, task_id) = self.running.remove(&task).expect("a listed run");
            self.ends += 1;
            let (outcome, checkpoint) = (RunOutcome::Done, String::new());
            self.ended.push(RunEnd { sequence: self.ends, task_id, run, outcome, checkpoint });
        }
    }

    fn report(&self, now: Ms) -> WorkerReport {
        let row = |(_, (_, run, task_id)): (&String, &(Ms, u32, TaskId))| shard::RunStatus {
            task_id: task_id.clone(),
            run: *run,
            checkpoint: String::new(),
            progress_percent: u32::try_from(now % 99).unwrap_or(0),
            metric: 0,
        };
        let running = self.running.iter().map(row).collect();
        WorkerReport { incarnation: 1, clock: now, running, ended: self.ended.clone(), more_ends: false }
    }
}
