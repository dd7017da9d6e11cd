//! Plays the queues' turns against real shards and the planner, in virtual time.
//!
//! Four services, each with its own shard, share machines. Workers, the log and the platform's machines are
//! faked: they never fail, and a move takes its time. The player counts what callers get.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use capacity::{Move, Planner, PoolLoad};
use maintenance::{Machine, MachineState};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use shard::{
    Action, Input, JobSpec, JobState, Ms, Resources, RunEnd, RunOutcome, Shard, StartReply, StepSpec, Timing,
    WorkerInfo, WorkerReport,
};

use crate::reference::OldPlanner;

pub const SERVICES: [&str; 4] = ["s0", "s1", "s2", "s3"];
pub const SPARE: &str = "spare";
pub const MOVE_MS: Ms = 1_500;
/// Time until a new worker is on the platform's list.
const LIST_DELAY_MS: Ms = 300;
const TICK_MS: Ms = 10;
const ROUND_MS: Ms = 120;
const MACHINE_CPU: u64 = 16_000;
const WALL_START_MS: u64 = 1_000_000_000;
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

/// The load of a day.
#[derive(Clone, Copy)]
pub struct Load {
    pub seed: u64,
    pub machines: usize,
    pub spare: usize,
    /// Time that one queue's turn takes.
    pub turn_ms: Ms,
    pub length_ms: Ms,
    /// Jobs per second at the height of a turn, and as a share of it between turns.
    pub peak_per_s: f64,
    pub between: f64,
    pub queues: [Queue; 4],
}

/// A queue of the load; each service has one.
#[derive(Clone, Copy)]
pub struct Queue {
    /// Number of its turn; queues with the same one peak together.
    pub turn: u64,
    /// Height of its peak as a share of that of the load.
    pub height: f64,
    pub priority: u32,
}

/// Who decides which machines move.
pub enum Policy {
    /// The planner.
    Present(Planner),
    /// The planner before machines were divided by priority.
    Old(OldPlanner),
}

impl Policy {
    fn plan(
        &mut self,
        now: Ms,
        machines: &[Machine],
        loads: &[PoolLoad],
        spare: &BTreeSet<String>,
    ) -> Vec<Move> {
        match self {
            Self::Present(p) => p.plan(now, machines, loads, spare, &BTreeSet::new()).moves,
            Self::Old(p) => p.plan(now, machines, loads, spare, &BTreeSet::new()),
        }
    }

    fn record_order(&mut self, now: Ms, order: &Move) {
        match self {
            Self::Present(p) => p.record_order(now, order),
            Self::Old(p) => p.record_order(now, order),
        }
    }
}

/// What callers and operators got.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Result {
    pub jobs: usize,
    /// Jobs that completed within their objective.
    pub in_time: usize,
    /// Of each queue: jobs, and jobs that completed within their objective.
    pub by_queue: [(usize, usize); 4],
    pub moves: usize,
    /// Time that machines spent in the services' pools.
    pub machine_ms: u64,
}

struct Worker {
    running: BTreeMap<String, (Ms, u32, shard::TaskId)>,
    ended: Vec<RunEnd>,
    ends: u64,
}

/// A service's shard with its workers.
struct Service {
    shard: Shard,
    workers: BTreeMap<String, Worker>,
    inputs: VecDeque<Input>,
    /// Polls in progress: worker, when sent, when answered at the latest.
    polls: Vec<(String, Ms, Ms)>,
}

pub struct Player {
    load: Load,
    now: Ms,
    /// Draws the jobs, so that they do not depend on what the policy does with them.
    callers: StdRng,
    /// Draws durations of runs.
    runs: StdRng,
    services: Vec<Service>,
    machines: Vec<Machine>,
    /// Ends of moves: time, machine.
    arrivals: Vec<(Ms, usize)>,
    /// Times at which new workers are on the list.
    listed: Vec<(Ms, usize)>,
    jobs: BTreeMap<String, (usize, Ms, Ms)>,
    result: Result,
}

impl Player {
    pub fn new(load: Load) -> Self {
        let now = 10_000;
        let service = || Service {
            shard: Shard::new(TIMING, 64, now, WALL_START_MS + now),
            workers: BTreeMap::new(),
            inputs: VecDeque::new(),
            polls: Vec::new(),
        };
        let per_pool = load.machines / SERVICES.len();
        let machine = |n: usize| Machine {
            name: format!("m{n}"),
            pool: SERVICES.get(n / per_pool).copied().unwrap_or(SPARE).into(),
            state: MachineState::Up,
            zone: "z1".into(),
            worker: format!("m{n}.0"),
            cpu: MACHINE_CPU,
        };
        let machines = (0..load.machines + load.spare).map(machine).collect();
        let mut player = Self {
            load,
            now,
            callers: StdRng::seed_from_u64(load.seed),
            runs: StdRng::seed_from_u64(load.seed + 1),
            services: SERVICES.iter().map(|_| service()).collect(),
            machines,
            arrivals: Vec::new(),
            listed: Vec::new(),
            jobs: BTreeMap::new(),
            result: Result::default(),
        };
        player.send_worker_lists();
        player
    }

    /// Plays the day; `see` may change what the planner sees of a pool's load.
    pub fn play(mut self, mut planner: Policy, see: impl Fn(PoolLoad) -> PoolLoad) -> Result {
        let start = self.now + 5_000;
        let end = start + self.load.length_ms;
        while self.now < end + 6_000 {
            self.now += TICK_MS;
            if self.now >= start && self.now < end {
                self.submit_jobs(self.now - start);
            }
            self.finish_moves();
            for n in 0..SERVICES.len() {
                self.advance_service(n);
            }
            if self.now % ROUND_MS < TICK_MS {
                self.rebalance(&mut planner, &see);
            }
            let paid = self.machines.iter().filter(|m| m.pool != SPARE).count() as u64;
            self.result.machine_ms += paid * TICK_MS;
        }
        self.result
    }

    /// Rate of a queue at a time, as a share of its peak: a raised cosine in its turn.
    fn rate(&self, n: usize, at: Ms) -> f64 {
        let cycle = self.load.turn_ms * SERVICES.len() as u64;
        let offset = (at + cycle - self.load.queues[n].turn * self.load.turn_ms) % cycle;
        let width = self.load.turn_ms + self.load.turn_ms / 2;
        if offset >= width {
            return self.load.between;
        }
        let phase = offset as f64 / width as f64;
        let height = (1.0 - (phase * std::f64::consts::TAU).cos()).min(1.0);
        height.max(self.load.between)
    }

    fn submit_jobs(&mut self, at: Ms) {
        for (n, name) in SERVICES.iter().enumerate() {
            let Queue { height, priority, .. } = self.load.queues[n];
            let expected = self.load.peak_per_s * height * self.rate(n, at) * TICK_MS as f64 / 1_000.0;
            if self.callers.random::<f64>() >= expected {
                continue;
            }
            let id = format!("j{}", self.result.jobs);
            self.result.jobs += 1;
            self.result.by_queue[n].0 += 1;
            let steps = if self.callers.random::<f64>() < 0.4 { 1 } else { 2 };
            let work = 800;
            let step = |k: u32| StepSpec {
                count: 8,
                cpu: 2_100,
                mem: 100,
                estimate: work,
                depends_on: (k > 0).then(|| k - 1).into_iter().collect(),
                ..StepSpec::default()
            };
            let spec = JobSpec {
                id: id.clone(),
                queue: format!("q{n}"),
                service: (*name).into(),
                priority,
                payload: "work".into(),
                steps: (0..steps).map(step).collect(),
                max_attempts: 2,
                stretch: 1.6,
                target: 600,
                ..JobSpec::default()
            };
            let objective = work * u64::from(steps) * 16 / 10 + 600;
            self.jobs.insert(id, (n, self.now, objective));
            let now = self.now;
            let input = Input::Submit { request_id: self.result.jobs as u64, spec, searched: false };
            self.services[n].shard.apply(now, WALL_START_MS + now, input);
        }
    }

    /// Delivers due events to a shard, steps it, and performs its actions.
    fn advance_service(&mut self, n: usize) {
        let now = self.now;
        let service = &mut self.services[n];
        for worker in service.workers.values_mut() {
            worker.finish_runs(now);
        }
        let (due, waiting): (Vec<_>, Vec<_>) =
            std::mem::take(&mut service.polls).into_iter().partition(|(id, _, at)| {
                now >= *at || service.workers.get(id).is_none_or(|w| !w.ended.is_empty())
            });
        service.polls = waiting;
        for (id, sent, _) in due {
            let input = match service.workers.get(&id) {
                Some(worker) => Input::Polled { worker: id, sent, report: worker.report(now) },
                None => Input::PollFailed { worker: id, replaced: true, fenced: false },
            };
            service.inputs.push_back(input);
        }
        while let Some(input) = service.inputs.pop_front() {
            service.shard.apply(now, WALL_START_MS + now, input);
        }
        for action in service.shard.step(now, WALL_START_MS + now, true) {
            service.perform(now, action, &mut self.runs);
        }
        let done: Vec<String> = self
            .jobs
            .iter()
            .filter(|(id, (of, ..))| *of == n && service.shard.job_state(id) == Some(JobState::Completed))
            .map(|(id, _)| id.clone())
            .collect();
        for id in done {
            let (_, at, objective) = self.jobs.remove(&id).expect("a listed job");
            let in_time = usize::from(now <= at + objective);
            self.result.in_time += in_time;
            self.result.by_queue[n].1 += in_time;
        }
    }

    fn rebalance(&mut self, planner: &mut Policy, see: &impl Fn(PoolLoad) -> PoolLoad) {
        let lead = MOVE_MS + LIST_DELAY_MS;
        let loads: Vec<PoolLoad> = SERVICES
            .iter()
            .zip(&self.services)
            .map(|(name, service)| {
                let load = service.shard.service_load(name, lead, MACHINE_CPU);
                see(PoolLoad {
                    name: (*name).into(),
                    pending_cpu: load.demand,
                    urgent_cpu: load.urgent,
                    priority: load.priority,
                    used_cpu: load.used,
                    expected_cpu: load.expected,
                    cpu_capacity: load.capacity,
                    lacking_workers: load.lacking,
                    idle_workers: load.idle,
                })
            })
            .collect();
        let spare = BTreeSet::from([SPARE.to_owned()]);
        for order in planner.plan(self.now, &self.machines, &loads, &spare) {
            if let Some(n) = SERVICES.iter().position(|s| *s == order.from) {
                let shard = &mut self.services[n].shard;
                let cordon = |cordoned| Input::Cordon { worker: order.worker.clone(), cordoned };
                shard.apply(self.now, WALL_START_MS + self.now, cordon(true));
                if shard.remaining_runs(&order.worker) != Some(0) {
                    shard.apply(self.now, WALL_START_MS + self.now, cordon(false));
                    continue;
                }
                self.services[n].workers.remove(&order.worker);
            }
            planner.record_order(self.now, &order);
            self.result.moves += 1;
            let index = self.machines.iter().position(|m| m.name == order.machine).expect("a machine");
            let machine = &mut self.machines[index];
            machine.pool.clone_from(&order.to);
            machine.state = MachineState::Moving;
            machine.worker = format!("{}.{}", machine.name, self.now);
            self.arrivals.push((self.now + MOVE_MS, index));
        }
    }

    fn finish_moves(&mut self) {
        let now = self.now;
        let mut listed = false;
        for (at, index) in std::mem::take(&mut self.arrivals) {
            if now < at {
                self.arrivals.push((at, index));
                continue;
            }
            self.machines[index].state = MachineState::Up;
            self.listed.push((now + LIST_DELAY_MS, index));
        }
        self.listed.retain(|(at, _)| {
            listed |= now >= *at;
            now < *at
        });
        if listed {
            self.send_worker_lists();
        }
    }

    fn send_worker_lists(&mut self) {
        let now = self.now;
        for (name, service) in SERVICES.iter().zip(&mut self.services) {
            let late = |m: &Machine| self.listed.iter().any(|(_, i)| self.machines[*i].name == m.name);
            let up = |m: &&Machine| m.pool == *name && m.state == MachineState::Up && !late(m);
            let list: Vec<WorkerInfo> = self.machines.iter().filter(up).map(worker_info).collect();
            for info in &list {
                let worker = || Worker { running: BTreeMap::new(), ended: Vec::new(), ends: 0 };
                service.workers.entry(info.id.clone()).or_insert_with(worker);
            }
            service.shard.apply(now, WALL_START_MS + now, Input::Workers(list));
        }
    }
}

impl Service {
    fn perform(&mut self, now: Ms, action: Action, rng: &mut StdRng) {
        match action {
            Action::Append(_) => self.inputs.push_back(Input::Stored),
            Action::Start(order) => {
                let worker = self.workers.get_mut(&order.worker).expect("a worker without a move");
                let end = now + rng.random_range(600..1_000);
                worker.running.insert(order.task_id.to_string(), (end, order.run, order.task_id.clone()));
                let (worker, task_id, run) = (order.worker, order.task_id, order.run);
                let reply = StartReply::Running;
                self.inputs.push_back(Input::StartResult { worker, task_id, run, reply });
            }
            Action::Poll { worker, acked, wait, .. } => {
                if let Some(w) = self.workers.get_mut(&worker) {
                    w.ended.retain(|e| e.sequence > acked);
                }
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
            let outcome = RunOutcome::Done;
            let checkpoint = String::new();
            self.ended.push(RunEnd { sequence: self.ends, task_id, run, outcome, checkpoint });
        }
    }

    fn report(&self, now: Ms) -> WorkerReport {
        let row = |(_, (_, run, task_id)): (&String, &(Ms, u32, shard::TaskId))| shard::RunStatus {
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

fn worker_info(machine: &Machine) -> WorkerInfo {
    WorkerInfo {
        id: machine.worker.clone(),
        addr: format!("{}:1", machine.worker),
        service: machine.pool.clone(),
        zone: machine.zone.clone(),
        labels: vec!["a".into()],
        capacity: Resources { cpu: machine.cpu, mem: 32_768, gpu: 0 },
        ready: true,
        incarnation: 0,
    }
}
