//! Stand-in of a worker: runs tasks on orders, under leases and fencing tokens, as the protocol page says.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Request, Response};
use crate::json::{self, Json};
use crate::record::Record;
use crate::store::Store;

/// Longest lease.
const MAX_HOLD_MS: u64 = 10_000;
/// Time that a stop takes; `stopTimeoutMs` is 200.
const STOP_MS: u64 = 50;
/// Start of a task that lasts, until it is at work.
const WARM_UP_MS: u64 = 300;
/// Ends in one answer.
const PAGE: usize = 500;
pub const BEAT_MS: u64 = 1_500;

#[derive(Clone)]
pub struct Spec {
    pub id: String,
    pub machine: String,
    pub addr: SocketAddr,
    pub service: String,
    pub zone: String,
    pub labels: Vec<String>,
    pub cpu: u64,
}

struct Run {
    task: String,
    number: u64,
    began: u64,
    /// Work in milliseconds; none for a task that lasts.
    work: Option<u64>,
    stop_at: Option<u64>,
}

struct End {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
}

#[derive(Default)]
struct State {
    born: u64,
    /// Start of this life; none while it is down.
    since: Option<Instant>,
    fence: u64,
    lease: u64,
    runs: Vec<Run>,
    /// Highest run of each task that ended or was stopped here.
    barred: HashMap<String, u64>,
    ends: Vec<End>,
    last_end: u64,
    sequence: u64,
    /// The links to the machines of the system are cut.
    cut: bool,
    /// Counts the times at which open channels were lost.
    channels: u64,
}

pub struct Worker {
    pub spec: Spec,
    state: Mutex<State>,
    changed: Condvar,
    record: Arc<Record>,
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

impl State {
    fn clock(&self) -> u64 {
        self.since.map_or(0, |s| s.elapsed().as_millis() as u64 + 1_000)
    }

    fn end(&mut self, index: usize, how: &'static str, name: &str, record: &Record) {
        let run = self.runs.remove(index);
        self.last_end += 1;
        let barred = self.barred.entry(run.task.clone()).or_default();
        *barred = (*barred).max(run.number);
        record.ended(name, &run.task, run.number, how, self.last_end);
        self.ends.push(End { number: self.last_end, task: run.task, run: run.number, how });
    }
}

impl Worker {
    pub fn start(spec: Spec, record: Arc<Record>, store: Arc<Store>) -> Arc<Self> {
        let worker = Arc::new(Self { spec, state: Mutex::default(), changed: Condvar::new(), record });
        worker.power_on();
        let served = Arc::clone(&worker);
        http::serve(worker.spec.addr, Arc::new(move |r| served.serve(&r))).expect("a free port");
        let ticker = Arc::clone(&worker);
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(5));
                ticker.tick();
            }
        });
        let beating = Arc::clone(&worker);
        std::thread::spawn(move || {
            let mut life = 0;
            let mut next = Instant::now();
            loop {
                std::thread::sleep(Duration::from_millis(10));
                let born = beating.state.lock().unwrap().born;
                if born == 0 {
                    continue;
                }
                if born != life || Instant::now() >= next {
                    life = born;
                    next = Instant::now() + Duration::from_millis(BEAT_MS);
                    beating.beat(&store);
                }
            }
        });
        worker
    }

    /// Starts a new life under the same id.
    pub fn power_on(&self) {
        let mut state = self.state.lock().unwrap();
        let channels = state.channels + 1;
        *state = State { born: unix_ms(), since: Some(Instant::now()), channels, ..State::default() };
        drop(state);
        self.record.note(&format!("{} starts a life", self.spec.id));
        self.changed.notify_all();
    }

    /// Crashes and stays silent.
    pub fn power_off(&self) {
        let mut state = self.state.lock().unwrap();
        while !state.runs.is_empty() {
            let run = state.runs.remove(0);
            self.record.ended(&self.spec.id, &run.task, run.number, "crash", 0);
        }
        let channels = state.channels + 1;
        *state = State { channels, ..State::default() };
        drop(state);
        self.record.note(&format!("{} crashes", self.spec.id));
        self.changed.notify_all();
    }

    /// Cuts the links to the machines of the system, or heals them; the worker runs on.
    pub fn set_cut(&self, cut: bool) {
        let mut state = self.state.lock().unwrap();
        state.cut = cut;
        drop(state);
        self.record.note(&format!("{} {}", self.spec.id, if cut { "is cut off" } else { "is reachable again" }));
        self.changed.notify_all();
    }

    pub fn running(&self) -> usize {
        self.state.lock().unwrap().runs.len()
    }

    fn beat(&self, store: &Store) {
        let Spec { id, addr, service, zone, labels, cpu, .. } = &self.spec;
        let (born, clock, sequence) = {
            let mut state = self.state.lock().unwrap();
            state.sequence += 1;
            (state.born, state.clock(), state.sequence)
        };
        let entry = json::obj(vec![
            ("service", json::s(service)),
            ("address", json::s(&addr.to_string())),
            ("zone", json::s(zone)),
            ("version", json::s("v1")),
            ("slots", json::n(8)),
            ("state", json::s("ready")),
            ("coldRemainingMs", json::n(0)),
            ("capacity", capacity(*cpu)),
            ("labels", Json::Arr(labels.iter().map(|l| json::s(l)).collect())),
            ("clockMs", json::n(clock)),
            ("born", json::n(born)),
            ("sequence", json::n(sequence)),
        ]);
        store.beat(id, entry.write().as_bytes());
    }

    fn tick(&self) {
        let mut state = self.state.lock().unwrap();
        if state.since.is_none() {
            return;
        }
        let clock = state.clock();
        let mut changed = false;
        let lapsed = clock > state.lease;
        let mut index = 0;
        while index < state.runs.len() {
            let run = &state.runs[index];
            let how = if lapsed {
                Some("lapsed")
            } else if run.stop_at.is_some_and(|at| clock >= at) {
                Some("stopped")
            } else if run.work.is_some_and(|w| clock >= run.began + w) {
                Some("done")
            } else {
                None
            };
            match how {
                Some(how) => {
                    state.end(index, how, &self.spec.id, &self.record);
                    changed = true;
                }
                None => index += 1,
            }
        }
        drop(state);
        if changed {
            self.changed.notify_all();
        }
    }

    /// Passes a request on unless the worker is silent or cut off. What is on its way over a channel that is
    /// lost gets no answer.
    fn serve(&self, request: &Request) -> Response {
        let channels = {
            let state = self.state.lock().unwrap();
            if state.since.is_none() || state.cut {
                drop(self.wait_reachable(state));
                return None;
            }
            state.channels
        };
        let answer = self.handle(request);
        let state = self.state.lock().unwrap();
        if state.cut || state.channels != channels {
            drop(self.wait_reachable(state));
            return None;
        }
        answer
    }

    fn wait_reachable<'a>(&'a self, state: std::sync::MutexGuard<'a, State>) -> std::sync::MutexGuard<'a, State> {
        self.changed.wait_while(state, |s| s.cut || s.since.is_none()).unwrap()
    }

    fn handle(&self, request: &Request) -> Response {
        let body = Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
        let target = request.header("x-target-instance");
        if !target.is_empty() && target != self.spec.id {
            return Some((421, self.reply(&[])));
        }
        if request.path == "/health" {
            return Some((200, self.reply(&[])));
        }
        let token = body.num("fencingToken").unwrap_or(0);
        let mut state = self.state.lock().unwrap();
        if token < state.fence {
            drop(state);
            return Some((409, self.reply(&[("reason", json::s("fence"))])));
        }
        state.fence = token;
        if let Some(deadline) = body.num("deadlineMs") {
            let clock = state.clock();
            if request.path == "/v1/run-start" && deadline <= clock {
                drop(state);
                return Some((409, self.reply(&[("reason", json::s("late"))])));
            }
            state.lease = state.lease.max(deadline.min(clock + MAX_HOLD_MS));
        }
        let (task, number) = (body.text("task"), body.num("run").unwrap_or(0));
        match request.path.as_str() {
            "/v1/run-start" => {
                if state.runs.iter().any(|r| r.task == task && r.number == number) {
                    drop(state);
                    return Some((200, self.reply(&[])));
                }
                if state.barred.get(&task).is_some_and(|b| number <= *b) {
                    drop(state);
                    return Some((409, self.reply(&[("reason", json::s("old"))])));
                }
                let text = body.text("taskSpec");
                let began = state.clock();
                let work = work_of(&text, &task);
                self.record.started(&self.spec.id, &task, number, token);
                state.runs.push(Run { task, number, began, work, stop_at: None });
                drop(state);
                Some((200, self.reply(&[])))
            }
            "/v1/run-stop" => {
                let clock = state.clock();
                let barred = state.barred.entry(task.clone()).or_default();
                *barred = (*barred).max(number);
                if let Some(run) = state.runs.iter_mut().find(|r| r.task == task && r.number == number) {
                    run.stop_at.get_or_insert(clock + STOP_MS);
                }
                drop(state);
                Some((200, self.reply(&[])))
            }
            "/v1/pace" => {
                drop(state);
                Some((200, self.reply(&[])))
            }
            "/v1/hold" => {
                let seen = body.num("lastSeen").unwrap_or(0);
                state.ends.retain(|e| e.number > seen);
                self.record.noted(&self.spec.id, seen);
                let until = Instant::now() + Duration::from_millis(body.num("waitMs").unwrap_or(0).min(2_000));
                let channels = state.channels;
                while state.ends.is_empty() && state.channels == channels && Instant::now() < until {
                    let left = until.saturating_duration_since(Instant::now());
                    state = self.changed.wait_timeout(state, left).unwrap().0;
                }
                let clock = state.clock();
                let running = state.runs.iter().map(|r| {
                    let done = match r.work {
                        Some(work) => ((clock - r.began) * 100 / work.max(1)).min(99),
                        None if clock >= r.began + WARM_UP_MS => 100,
                        None => 0,
                    };
                    Json::Arr(vec![json::s(&r.task), json::n(r.number), json::s(""), json::n(done), json::n(0)])
                });
                let running = Json::Arr(running.collect());
                let ended = state.ends.iter().take(PAGE).map(|e| {
                    Json::Arr(vec![json::n(e.number), json::s(&e.task), json::n(e.run), json::s(e.how), json::s("")])
                });
                let ended = Json::Arr(ended.collect());
                drop(state);
                Some((200, self.reply(&[("running", running), ("ended", ended)])))
            }
            _ => Some((400, b"{}".to_vec())),
        }
    }

    fn reply(&self, rows: &[(&str, Json)]) -> Vec<u8> {
        let state = self.state.lock().unwrap();
        let mut all = vec![("clockMs", json::n(state.clock())), ("born", json::n(state.born))];
        all.extend(rows.iter().cloned());
        json::obj(all).write().into_bytes()
    }
}

/// `lasts` in the text stands for a task that lasts; `work=A..B` for A to B milliseconds, by the task's index.
fn work_of(text: &str, task: &str) -> Option<u64> {
    if text.contains("lasts") {
        return None;
    }
    let (from, to) = text.strip_prefix("work=").and_then(|w| w.split_once("..")).unwrap_or(("500", "500"));
    let (from, to): (u64, u64) = (from.parse().unwrap_or(500), to.parse().unwrap_or(500));
    let index: u64 = task.rsplit('.').next().and_then(|i| i.parse().ok()).unwrap_or(0);
    Some(from + (index * 7_919) % (to - from).max(1))
}

pub fn capacity(cpu: u64) -> Json {
    json::obj(vec![("cpu", json::n(cpu)), ("memMb", json::n(cpu * 2)), ("gpu", json::n(0))])
}
