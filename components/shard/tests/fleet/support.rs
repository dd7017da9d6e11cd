//! In-memory environment of one shard: a log, workers with leases and fencing tokens, and injected faults.

#[path = "fake_worker.rs"]
mod fake_worker;
#[path = "log_pace.rs"]
mod log_pace;
#[path = "troubles.rs"]
pub mod troubles;
#[path = "worker_calls.rs"]
mod worker_calls;

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};

pub use fake_worker::{FakeRun, FakeWorker};
pub use log_pace::LogPace;
use troubles::Troubles;
use worker_calls::LateCall;

use shard::{
    Action, Input, JobSpec, JobState, Ms, Record, Resources, Shard, StartRequest, StepSpec, TaskId, Timing,
    WorkerInfo,
};

pub const TIMING: Timing = Timing {
    lease: 5_000,
    lease_limit: 10_000,
    overlap: 1_500,
    poll_wait: 1_000,
    request_timeout: 500,
    stop_interval: 400,
    stall_after: 300,
    retention: 120_000,
};
/// Simulated time between two steps of the shard.
pub const TICK_MS: Ms = 10;
/// Wall clock at monotonic time 0.
const WALL_CLOCK_START_MS: u64 = 1_000_000_000;

/// A shard and its simulated environment.
#[derive(Debug)]
pub struct Fleet {
    pub now: Ms,
    pub shard: Shard,
    pub workers: BTreeMap<String, FakeWorker>,
    /// The platform's list of workers.
    pub listed: Vec<WorkerInfo>,
    pub log: BTreeMap<String, Vec<u8>>,
    /// The log rejects appends.
    pub log_rejects: bool,
    /// The log stores appends but answers only once this is cleared.
    pub log_unresponsive: bool,
    append_pending: bool,
    pub log_pace: LogPace,
    /// Append that a slow log handles, and when it is done.
    slow_append: Option<(Ms, Vec<Record>)>,
    /// Number of answers of the log.
    pub log_answers: usize,
    /// Replies to start requests are lost.
    pub drop_start_replies: bool,
    /// Starts to this worker are lost.
    pub lose_starts_to: Option<String>,
    /// Stops are lost.
    pub lose_stops: bool,
    /// Starts and polls reach their workers after this time, and are not answered.
    pub call_delay: Option<Ms>,
    /// Calls on their way.
    late_calls: Vec<LateCall>,
    /// Troubles of calls; their breaches of rules are collected.
    pub troubles: Option<Box<Troubles>>,
    /// Work of each new run.
    pub work_ms: Ms,
    /// Work of a run, by its start request and `work_ms`.
    pub work_for: fn(&StartRequest, Ms) -> Ms,
    /// Steps whose tasks may have two runs at a time, by job id and step.
    speculative: HashSet<(String, u32)>,
    /// Tasks whose payload starts with this always fail.
    pub failing_payload: &'static str,
    /// Replies to callers by request id.
    pub replies: HashMap<u64, &'static str>,
    /// Services in replies, by request id.
    pub services: HashMap<u64, Vec<String>>,
    /// Milliseconds until refused callers may return, by request id.
    pub retries: HashMap<u64, Ms>,
    pub start_requests: Vec<StartRequest>,
    /// Workers and tasks of all stop requests.
    pub stops: Vec<(String, String)>,
    /// Speeds set by throttling, in percent.
    pub speeds: Vec<u32>,
    pub epoch: u64,
    pub polls_answered: u64,
    /// Tail latency that long-running tasks report.
    pub tail_latency: u64,
    /// Polls in progress: when they time out, the worker, when they were sent.
    polls: VecDeque<(Ms, String, u64)>,
    /// Inputs to apply once their time has come.
    delayed: Vec<(Ms, Input)>,
    next_request: u64,
}

impl Fleet {
    pub fn new(workers: usize, cpu: u64) -> Self {
        let listed: Vec<WorkerInfo> = (0..workers).map(|n| worker_info(&format!("w{n}"), cpu)).collect();
        let table =
            listed.iter().map(|i| (i.id.clone(), FakeWorker { incarnation: 1, ..FakeWorker::default() }));
        let mut fleet = Self {
            now: 10_000,
            shard: Shard::new(TIMING, 64, 10_000, WALL_CLOCK_START_MS + 10_000),
            workers: table.collect(),
            listed,
            log: BTreeMap::new(),
            log_rejects: false,
            log_unresponsive: false,
            append_pending: false,
            log_pace: LogPace::Usual,
            slow_append: None,
            log_answers: 0,
            drop_start_replies: false,
            lose_starts_to: None,
            lose_stops: false,
            call_delay: None,
            late_calls: Vec::new(),
            troubles: None,
            work_ms: 500,
            work_for: |_, work_ms| work_ms,
            speculative: HashSet::new(),
            failing_payload: "poison",
            replies: HashMap::new(),
            services: HashMap::new(),
            retries: HashMap::new(),
            start_requests: Vec::new(),
            stops: Vec::new(),
            speeds: Vec::new(),
            epoch: 64,
            polls_answered: 0,
            tail_latency: 0,
            polls: VecDeque::new(),
            delayed: Vec::new(),
            next_request: 0,
        };
        fleet.send_worker_list();
        fleet
    }

    /// A fleet whose owner has known its workers for longer than any lease: none is left of earlier owners.
    pub fn known(workers: usize, cpu: u64) -> Self {
        let mut fleet = Self::new(workers, cpu);
        fleet.advance(TIMING.longest_lease() + TICK_MS);
        fleet
    }

    pub fn send_worker_list(&mut self) {
        let list = self.listed.clone();
        self.apply(Input::Workers(list));
    }

    pub fn apply(&mut self, input: Input) {
        self.log_answers += usize::from(matches!(input, Input::Stored | Input::NotStored));
        self.shard.apply(self.now, WALL_CLOCK_START_MS + self.now, input);
    }

    pub fn submit(&mut self, spec: JobSpec) -> u64 {
        self.next_request += 1;
        let request_id = self.next_request;
        let speculative = (0..).zip(&spec.steps).filter(|(_, s)| s.speculative);
        self.speculative.extend(speculative.map(|(step, _)| (spec.id.clone(), step)));
        self.apply(Input::Submit { request_id, spec, searched: false });
        request_id
    }

    /// Asks to refer a job of queue `q` to a service.
    pub fn refer(&mut self, id: &str, service: &str, searched: bool) -> u64 {
        self.next_request += 1;
        let request_id = self.next_request;
        let (id, queue, service) = (id.into(), "q".into(), service.into());
        self.apply(Input::Refer { request_id, id, queue, service, searched });
        request_id
    }

    pub fn cancel(&mut self, id: &str) -> u64 {
        self.next_request += 1;
        let request_id = self.next_request;
        self.apply(Input::Cancel { request_id, id: id.into() });
        request_id
    }

    /// Replaces the shard by that of a new owner, which recovers from the log.
    pub fn change_owner(&mut self) {
        self.epoch += 64;
        self.note("", "", || "change of owner".into());
        self.shard = Shard::new(TIMING, self.epoch, self.now, WALL_CLOCK_START_MS + self.now);
        self.shard.load(self.log.iter().map(|(k, v)| (k.as_str(), v.as_slice())));
        self.append_pending = false;
        // The log has fenced the old owner before it stored the append.
        self.slow_append = None;
        self.polls.clear();
        self.delayed.clear();
        self.send_worker_list();
    }

    /// Replaces the shard by that of a new owner, and returns the old one, which does not know of it.
    pub fn take_over(&mut self) -> (Shard, u64) {
        let next = Shard::new(TIMING, self.epoch + 64, self.now, WALL_CLOCK_START_MS + self.now);
        let old = (std::mem::replace(&mut self.shard, next), self.epoch);
        self.change_owner();
        old
    }

    /// Lets an old owner act once more at its time `now`, which is its last reading of the clock. The log rejects
    /// its appends, and its answers are of no interest.
    pub fn act_as_old_owner(&mut self, (shard, epoch): &mut (Shard, u64), now: Ms) {
        let (answers, polls) = (self.delayed.len(), self.polls.len());
        let current = std::mem::replace(&mut self.epoch, *epoch);
        for action in shard.step(now, WALL_CLOCK_START_MS + now, true) {
            if !matches!(action, Action::Append(_)) {
                self.perform(action);
            }
        }
        self.epoch = current;
        self.delayed.truncate(answers);
        self.polls.truncate(polls);
        self.assert_single_runs();
    }

    /// Restarts a worker under its id.
    pub fn crash(&mut self, worker: &str) {
        let now = self.now;
        self.workers.get_mut(worker).expect("known worker").crash(now);
    }

    /// Crashes a worker that starts again under its id after a time, with a clock that is ahead.
    pub fn crash_for(&mut self, id: &str, down: Ms, clock_ahead: Ms) {
        self.note(id, "", || format!("crash, down for {down}, next clock {clock_ahead}"));
        let (now, clock_slow) = (self.now, self.workers[id].clock_slow);
        self.crash(id);
        let worker = self.workers.get_mut(id).expect("known worker");
        worker.clock_slow = clock_slow;
        worker.down_until = now + down;
        worker.clock_start = now + down;
        worker.clock_ahead = clock_ahead;
        let (broken, rest) = std::mem::take(&mut self.polls).into_iter().partition(|(_, w, _)| w == id);
        self.polls = rest;
        let broken: VecDeque<(Ms, String, u64)> = broken;
        for (_, worker, _) in broken {
            self.delayed.push((now + TICK_MS, Input::PollFailed { worker, replaced: false, fenced: false }));
        }
    }

    /// Adds a line to the trace of a fleet with troubles.
    pub fn note(&mut self, worker: &str, task: &str, text: impl FnOnce() -> String) {
        let now = self.now;
        if let Some(troubles) = &mut self.troubles {
            troubles.note(now, worker, task, text());
        }
    }

    /// Lists the present incarnation of a worker.
    pub fn list_incarnation(&mut self, worker: &str) {
        let incarnation = self.workers[worker].incarnation;
        let entry = self.listed.iter_mut().find(|w| w.id == worker).expect("a listed worker");
        entry.incarnation = incarnation;
        self.send_worker_list();
    }

    /// Advances the simulated time.
    pub fn advance(&mut self, span: Ms) {
        let end = self.now + span;
        while self.now < end {
            self.tick();
        }
    }

    pub fn job_state(&self, id: &str) -> Option<JobState> {
        self.shard.job_state(id)
    }

    fn tick(&mut self) {
        self.now += TICK_MS;
        if self.append_pending && !self.log_unresponsive {
            self.append_pending = false;
            self.apply(Input::Stored);
        }
        self.answer_slow_append();
        self.deliver_late_calls();
        self.finish_runs();
        self.answer_polls();
        let due: Vec<Input> = {
            let now = self.now;
            let (due, rest) = std::mem::take(&mut self.delayed).into_iter().partition(|(at, _)| *at <= now);
            self.delayed = rest;
            let due: Vec<(Ms, Input)> = due;
            due.into_iter().map(|(_, input)| input).collect()
        };
        for input in due {
            self.apply(input);
        }
        for action in self.shard.step(self.now, WALL_CLOCK_START_MS + self.now, true) {
            self.perform(action);
        }
        self.assert_single_runs();
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Append(records) => self.append(records),
            Action::Accepted(t) => drop(self.replies.insert(t, "accepted")),
            Action::Refused { request_id, retry_ms, .. } => {
                self.replies.insert(request_id, "refused");
                self.retries.insert(request_id, retry_ms);
            }
            Action::Cancelled(t) => drop(self.replies.insert(t, "cancelled")),
            Action::Unknown(t) => drop(self.replies.insert(t, "unknown")),
            Action::Referred { request_id, service } => {
                self.replies.insert(request_id, "referred");
                self.services.insert(request_id, vec![service]);
            }
            Action::Search { request_id, services } => {
                self.replies.insert(request_id, "search");
                self.services.insert(request_id, services);
            }
            Action::Start(request) => self.start(request),
            Action::Stop { worker, task_id, run, token, cause, .. } => {
                self.stop((&worker, &task_id, run), cause, token);
            }
            Action::Throttle { percent, .. } => self.speeds.push(percent),
            Action::Poll { worker, lease_until, acked, wait, token, .. } => {
                self.poll(&worker, lease_until, (acked, wait), token);
            }
            Action::OwnershipLost => panic!("the shard lost its ownership"),
        }
    }

    /// Checks that no task runs on two workers, or on three if its step allows copies.
    fn assert_single_runs(&mut self) {
        if let Some(troubles) = &mut self.troubles {
            let mut running: BTreeMap<&str, Vec<(u32, &str)>> = BTreeMap::new();
            for (id, worker) in &self.workers {
                for (task, run) in &worker.running {
                    running.entry(task).or_default().push((run.run, id));
                }
                troubles.note_served(self.now, worker.at_work());
            }
            troubles.check_runs(self.now, &running);
            return;
        }
        let mut seen: HashMap<&str, Vec<&str>> = HashMap::new();
        for (id, worker) in &self.workers {
            for task in worker.running.keys() {
                seen.entry(task).or_default().push(id);
            }
        }
        for (task, workers) in seen {
            let id = TaskId::parse(task).expect("task id");
            let most = 1 + usize::from(workers.len() > 1 && self.speculative.contains(&(id.job, id.step)));
            assert!(workers.len() <= most, "{task} runs on {workers:?} at {}", self.now);
        }
    }
}

pub fn worker_info(id: &str, cpu: u64) -> WorkerInfo {
    WorkerInfo {
        id: id.into(),
        addr: format!("{id}:1"),
        service: "quotes".into(),
        zone: "z1".into(),
        labels: vec!["a".into(), "r1-1".into()],
        capacity: Resources { cpu, mem: 100_000, gpu: 0 },
        ready: true,
        incarnation: 0,
    }
}

pub fn step(count: u32, cpu: u64) -> StepSpec {
    StepSpec { count, cpu, mem: 10, estimate: 500, ..StepSpec::default() }
}

pub fn job(id: &str, steps: Vec<StepSpec>) -> JobSpec {
    JobSpec {
        id: id.into(),
        queue: "q".into(),
        service: "quotes".into(),
        payload: "work".into(),
        steps,
        max_attempts: 2,
        stretch: 2.0,
        target: 1_000,
        ..JobSpec::default()
    }
}

pub fn long_running(id: &str, count: u32, cpu: u64) -> JobSpec {
    let step = StepSpec { long_running: true, max_colocated: 1, disruption_budget: 1, ..step(count, cpu) };
    JobSpec { payload: "long-running".into(), ..job(id, vec![step]) }
}
