//! Stand-in of a worker. A job's text names the duration of its tasks: `ms=600`, and one that takes far longer: `long=3`.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde_json::{Value, json};

use crate::http::{self, Answer, Request};
use crate::record::Record;
use crate::store::Store;

/// Time between two entries in the store.
const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// Duration of a task that takes far longer than the others.
const LONG_MS: u64 = 40_000;
/// Time that an order takes.
const ANSWER: Duration = Duration::from_millis(2);
/// Longest lease.
const MAX_HOLD_MS: u64 = 10_000;
/// Most ends that a report lists.
const ENDS_PER_REPORT: usize = 500;

/// A run as the checks see it.
#[derive(Clone, Debug)]
pub struct Run {
    pub worker: String,
    pub task: String,
    /// Milliseconds since the start of the case.
    pub started: u64,
    pub ended: Option<(u64, &'static str)>,
    /// Time at which the end was taken note of.
    pub noted: Option<u64>,
}

/// All runs of a case, on all workers.
pub type Runs = Arc<Mutex<Vec<Run>>>;

/// What a worker is.
#[derive(Clone)]
pub struct Kind {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub rack: String,
    pub cpu: u64,
    pub mem: u64,
}

#[derive(Default)]
struct State {
    fence: u64,
    deadline: u64,
    /// Running tasks with run number, start and duration in milliseconds of the worker's clock, and place in `Runs`.
    running: HashMap<String, (u64, u64, u64, usize)>,
    /// Ends that are not taken note of: number, task, run, how, place in `Runs`.
    ended: Vec<(u64, String, u64, &'static str, usize)>,
    next_end: u64,
    /// Highest run of a task that was stopped or ended here.
    barred: HashMap<String, u64>,
    sequence: u64,
}

/// A worker.
pub struct Worker {
    pub kind: Kind,
    pub addr: SocketAddr,
    /// Start of its present life in milliseconds since the Unix epoch.
    born: AtomicU64,
    state: Mutex<State>,
    changed: Condvar,
    /// It answers nothing, as a machine without power.
    pub dark: AtomicBool,
    /// Milliseconds for which the network delays the next order to start a run; 0 for none. Its sender gets no response.
    pub delay_start: AtomicU64,
    store: Arc<Store>,
    record: Arc<Record>,
    runs: Runs,
}

impl Worker {
    /// Starts a worker, which registers itself.
    pub fn start(
        kind: Kind,
        addr: SocketAddr,
        store: &Arc<Store>,
        record: &Arc<Record>,
        runs: &Runs,
    ) -> std::io::Result<Arc<Self>> {
        let worker = Arc::new(Self {
            kind,
            addr,
            born: AtomicU64::new(wall_ms()),
            state: Mutex::default(),
            changed: Condvar::new(),
            dark: AtomicBool::new(false),
            delay_start: AtomicU64::new(0),
            store: Arc::clone(store),
            record: Arc::clone(record),
            runs: Arc::clone(runs),
        });
        let server = Arc::clone(&worker);
        http::serve(addr, Arc::new(move |request| server.respond(request)))?;
        let ticker = Arc::clone(&worker);
        std::thread::spawn(move || ticker.tick());
        let beating = Arc::clone(&worker);
        std::thread::spawn(move || beating.beat());
        Ok(worker)
    }

    /// All that runs is gone, and nothing is answered any more.
    pub fn go_dark(&self) {
        self.dark.store(true, Ordering::SeqCst);
        let mut state = self.state.lock().unwrap();
        let tasks: Vec<String> = state.running.keys().cloned().collect();
        for task in tasks {
            self.end(&mut state, &task, "crashed");
        }
        *state = State { sequence: state.sequence, ..State::default() };
        drop(state);
        self.record.note(&format!("worker {} is silent", self.kind.id));
    }

    /// Ends a task here as failed, if it runs.
    pub fn fail(&self, task: &str) {
        self.end(&mut self.state.lock().unwrap(), task, "failed");
    }

    /// Starts again under its id, in a new life that knows nothing of before.
    pub fn come_back(&self) {
        self.born.store(wall_ms(), Ordering::SeqCst);
        self.dark.store(false, Ordering::SeqCst);
        self.register();
        self.record.note(&format!("worker {} has started again", self.kind.id));
    }

    fn clock(&self) -> u64 {
        1_000 + wall_ms() - self.born.load(Ordering::SeqCst)
    }

    fn beat(&self) {
        loop {
            if !self.dark.load(Ordering::SeqCst) {
                self.register();
            }
            std::thread::sleep(HEARTBEAT);
        }
    }

    /// Writes its entry in the store.
    fn register(&self) {
        let sequence = {
            let mut state = self.state.lock().unwrap();
            state.sequence += 1;
            state.sequence
        };
        let entry = json!({
            "service": self.kind.service, "address": self.addr.to_string(), "zone": self.kind.zone,
            "version": "1", "slots": 8, "state": "ready", "coldRemainingMs": 0, "sequence": sequence,
            "capacity": { "cpu": self.kind.cpu, "memMb": self.kind.mem, "gpu": 0 },
            "labels": ["a", self.kind.rack], "born": self.born.load(Ordering::SeqCst),
        });
        self.store.put("keyed.servers", &self.kind.id, &entry);
    }

    fn tick(&self) {
        loop {
            std::thread::sleep(Duration::from_millis(5));
            let mut state = self.state.lock().unwrap();
            let clock = self.clock();
            let lapsed = clock > state.deadline;
            let due = |r: &(u64, u64, u64, usize)| clock >= r.1 + r.2;
            let ends: Vec<String> =
                state.running.iter().filter(|(_, r)| lapsed || due(r)).map(|(t, _)| t.clone()).collect();
            for task in ends {
                self.end(&mut state, &task, if lapsed { "lapsed" } else { "done" });
            }
        }
    }

    fn end(&self, state: &mut State, task: &str, how: &'static str) {
        let Some((run, _, _, place)) = state.running.remove(task) else { return };
        state.next_end += 1;
        let number = state.next_end;
        state.ended.push((number, task.to_owned(), run, how, place));
        let barred = state.barred.entry(task.to_owned()).or_default();
        *barred = (*barred).max(run);
        self.record.note(&format!("worker {} end {task} run {run} {how}", self.kind.id));
        self.runs.lock().unwrap()[place].ended = Some((self.record.now(), how));
        self.changed.notify_all();
    }

    fn respond(&self, request: &Request) -> Answer {
        let delay =
            if request.path == "/v1/run-start" { self.delay_start.swap(0, Ordering::SeqCst) } else { 0 };
        if delay > 0 {
            // Still on its way; the worker has not received it.
            self.record.note(&format!("network: a start for {} is delayed by {delay} ms", self.kind.id));
            std::thread::sleep(Duration::from_millis(delay));
            self.handle(request);
            return Answer::Close;
        }
        // What a life has received ends with it.
        let life = self.born.load(Ordering::SeqCst);
        while self.dark.load(Ordering::SeqCst) {
            std::thread::sleep(Duration::from_millis(50));
        }
        if life != self.born.load(Ordering::SeqCst) {
            return Answer::Close;
        }
        self.handle(request)
    }

    fn handle(&self, request: &Request) -> Answer {
        std::thread::sleep(ANSWER);
        if request.headers.get("x-target-instance").is_some_and(|id| *id != self.kind.id) {
            return self.answer(421, json!({}));
        }
        let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
        let mut state = self.state.lock().unwrap();
        let fence = body["fencingToken"].as_u64().unwrap_or(0);
        if fence < state.fence {
            return self.answer(409, json!({ "reason": "fence" }));
        }
        state.fence = fence;
        if let Some(deadline) = body["deadlineMs"].as_u64() {
            let most = self.clock() + MAX_HOLD_MS;
            state.deadline = state.deadline.max(deadline.min(most));
        }
        match request.path.as_str() {
            "/v1/run-start" => self.run_start(state, &body),
            "/v1/run-stop" => self.run_stop(state, &body),
            "/v1/hold" => self.hold(state, &body),
            "/v1/pace" => self.answer(200, json!({})),
            _ => self.answer(404, json!({})),
        }
    }

    fn run_start(&self, mut state: std::sync::MutexGuard<'_, State>, body: &Value) -> Answer {
        let task = body["task"].as_str().unwrap_or("").to_owned();
        let (run, text) = (body["run"].as_u64().unwrap_or(0), body["taskSpec"].as_str().unwrap_or(""));
        if state.running.get(&task).is_some_and(|r| r.0 == run) {
            return self.answer(200, json!({}));
        }
        if state.barred.get(&task).is_some_and(|b| run <= *b) || state.running.contains_key(&task) {
            return self.answer(409, json!({ "reason": "old" }));
        }
        if body["deadlineMs"].as_u64().unwrap_or(0) < self.clock() {
            return self.answer(409, json!({ "reason": "late" }));
        }
        let word = |name: &str| text.split_whitespace().find_map(|w| w.strip_prefix(name));
        let long = word("long=").is_some_and(|index| task.ends_with(&format!(".{index}")));
        let duration = if long { LONG_MS } else { word("ms=").and_then(|w| w.parse().ok()).unwrap_or(500) };
        let mut runs = self.runs.lock().unwrap();
        let place = runs.len();
        let (worker, started) = (self.kind.id.clone(), self.record.now());
        runs.push(Run { worker, task: task.clone(), started, ended: None, noted: None });
        drop(runs);
        state.running.insert(task.clone(), (run, self.clock(), duration, place));
        self.record.note(&format!("worker {} start {task} run {run}", self.kind.id));
        self.answer(200, json!({}))
    }

    fn run_stop(&self, mut state: std::sync::MutexGuard<'_, State>, body: &Value) -> Answer {
        let task = body["task"].as_str().unwrap_or("").to_owned();
        let run = body["run"].as_u64().unwrap_or(0);
        if state.running.get(&task).is_some_and(|r| r.0 == run) {
            self.end(&mut state, &task, "stopped");
        } else {
            let barred = state.barred.entry(task).or_default();
            *barred = (*barred).max(run);
        }
        self.answer(200, json!({}))
    }

    fn hold(&self, mut state: std::sync::MutexGuard<'_, State>, body: &Value) -> Answer {
        let seen = body["lastSeen"].as_u64().unwrap_or(0);
        let now = self.record.now();
        for end in state.ended.iter().filter(|e| e.0 <= seen) {
            self.runs.lock().unwrap()[end.4].noted = Some(now);
        }
        state.ended.retain(|e| e.0 > seen);
        let until = Instant::now() + Duration::from_millis(body["waitMs"].as_u64().unwrap_or(0).min(2_000));
        while state.ended.is_empty() {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
        let clock = self.clock();
        let percent = |r: &(u64, u64, u64, usize)| ((clock - r.1) * 100 / r.2.max(1)).min(99);
        let running: Vec<Value> =
            state.running.iter().map(|(t, r)| json!([t, r.0, "", percent(r), 500])).collect();
        let ended: Vec<Value> =
            state.ended.iter().take(ENDS_PER_REPORT).map(|e| json!([e.0, e.1, e.2, e.3, ""])).collect();
        self.answer(200, json!({ "running": running, "ended": ended }))
    }

    fn answer(&self, status: u16, mut body: Value) -> Answer {
        if self.dark.load(Ordering::SeqCst) {
            return Answer::Close;
        }
        body["clockMs"] = json!(self.clock());
        body["born"] = json!(self.born.load(Ordering::SeqCst));
        Answer::Send(status, body.to_string().into_bytes())
    }
}

fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}
