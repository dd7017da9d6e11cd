//! The workers and the machines' interface. All workers share one state, so that the members of a gang know each other.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Answer, Request, Server};
use crate::json::{Json, parse, quote};
use crate::record::Record;
use crate::store::Store;

pub const HEARTBEAT: Duration = Duration::from_millis(1_500);
const MAX_HOLD_MS: u64 = 10_000;
const GANG_TIMEOUT_MS: u128 = 3_000;
/// `maintenanceS` of the settings.
const UPKEEP: Duration = Duration::from_secs(2);

/// What the workers know of a job: its steps.
#[derive(Clone, Debug)]
pub struct Step {
    pub count: u32,
    pub cpu: u64,
    pub mem: u64,
    pub ms: u64,
    pub gang: bool,
    pub lasts: bool,
    /// Its tasks can never be done: they fail after `ms`.
    pub hopeless: bool,
    pub label: String,
}

impl Step {
    pub fn plain(count: u32, cpu: u64, ms: u64) -> Self {
        Self { count, cpu, mem: 256, ms, gang: false, lasts: false, hopeless: false, label: String::new() }
    }
}

struct Run {
    number: u32,
    begun: Instant,
    /// When it was at work: for a gang, when all members were present.
    work: Option<Instant>,
}

struct End {
    number: u64,
    task: String,
    run: u32,
    how: &'static str,
}

pub struct WorkerSpec {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub labels: Vec<String>,
    pub cpu: u64,
    pub mem: u64,
    pub addr: SocketAddr,
}

struct Worker {
    spec: WorkerSpec,
    server: Option<Server>,
    born: u64,
    start: Instant,
    sequence: u64,
    fence: u64,
    lease_until: u64,
    runs: BTreeMap<String, Run>,
    /// Highest run of each task that was stopped or ended here.
    over: HashMap<String, u32>,
    ends: Vec<End>,
    last_end: u64,
}

impl Worker {
    fn clock(&self) -> u64 {
        self.start.elapsed().as_millis() as u64 + 1_000
    }

    fn finish(&mut self, task: &str, how: &'static str, record: &Record) {
        let Some(run) = self.runs.remove(task) else { return };
        self.last_end += 1;
        self.over.insert(task.to_owned(), run.number);
        self.ends.push(End { number: self.last_end, task: task.to_owned(), run: run.number, how });
        record.line(&format!("worker {} ends {task} run {} {how}", self.spec.id, run.number));
    }
}

#[derive(Default)]
struct State {
    workers: BTreeMap<String, Worker>,
    jobs: HashMap<String, Vec<Step>>,
    /// Starts on workers without the label that the step requires.
    wrong_kinds: usize,
    /// Services on whose workers tasks of a job have begun.
    begun_at: HashMap<String, Vec<String>>,
    /// Tasks with a run that has ended `done`, and whether that end has been taken note of.
    done: HashMap<String, bool>,
    /// Runs that began after such an end had been taken note of.
    begun_again: usize,
    /// Orders that are still to be carried out, by worker.
    late: HashMap<String, usize>,
}

pub struct Fleet {
    state: Mutex<State>,
    changed: Condvar,
    store: Arc<Store>,
    record: Arc<Record>,
    over: AtomicBool,
    /// Until when half of the orders get no answer and are carried out 2 to 12 s later.
    late_until: Mutex<Option<Instant>>,
    random: AtomicU64,
}

fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

/// Job, step and index in a task's name ID.K.STEP.INDEX.
fn split(task: &str) -> Option<(String, usize, String)> {
    let parts: Vec<&str> = task.split('.').collect();
    let [job, k, step, _] = parts[..] else { return None };
    Some((job.to_owned(), step.parse().ok()?, format!("{job}.{k}.{step}.")))
}

impl Fleet {
    pub fn start(store: Arc<Store>, record: Arc<Record>) -> Arc<Self> {
        let fleet = Arc::new(Self {
            state: Mutex::default(),
            changed: Condvar::new(),
            store,
            record,
            over: AtomicBool::new(false),
            late_until: Mutex::default(),
            random: AtomicU64::new(u64::from(std::process::id())),
        });
        let ticker = Arc::clone(&fleet);
        thread::spawn(move || {
            while !ticker.over.load(Ordering::SeqCst) {
                ticker.tick();
                thread::sleep(Duration::from_millis(10));
            }
        });
        let beats = Arc::clone(&fleet);
        thread::spawn(move || {
            while !beats.over.load(Ordering::SeqCst) {
                thread::sleep(HEARTBEAT);
                let ids: Vec<String> = beats.state.lock().unwrap().workers.keys().cloned().collect();
                ids.iter().for_each(|id| beats.register(id));
            }
        });
        fleet
    }

    pub fn add_job(&self, id: &str, steps: &[Step]) {
        self.state.lock().unwrap().jobs.insert(id.to_owned(), steps.to_vec());
    }

    /// Starts a worker, or starts one again under its id; it then knows nothing of before.
    pub fn boot(self: &Arc<Self>, spec: WorkerSpec) -> std::io::Result<()> {
        let (id, addr) = (spec.id.clone(), spec.addr);
        let worker = Worker {
            spec,
            server: None,
            born: wall_ms(),
            start: Instant::now(),
            sequence: 0,
            fence: 0,
            lease_until: 0,
            runs: BTreeMap::new(),
            over: HashMap::new(),
            ends: Vec::new(),
            last_end: 0,
        };
        self.record.line(&format!("worker {id} starts, born {}", worker.born));
        self.state.lock().unwrap().workers.insert(id.clone(), worker);
        let (fleet, own) = (Arc::clone(self), id.clone());
        let server = Server::start(addr, move |request| fleet.receive(&own, request))?;
        if let Some(worker) = self.state.lock().unwrap().workers.get_mut(&id) {
            worker.server = Some(server);
        }
        self.register(&id);
        Ok(())
    }

    /// Crashes a worker: its port closes, and all that it ran is gone.
    pub fn crash(&self, id: &str) -> Option<WorkerSpec> {
        let worker = self.state.lock().unwrap().workers.remove(id)?;
        worker.server.as_ref().inspect(|s| s.stop());
        self.record.line(&format!("worker {id} crashes with {} runs", worker.runs.len()));
        self.changed.notify_all();
        Some(worker.spec)
    }

    /// The platform removes the entry of a worker that has left.
    pub fn unregister(&self, id: &str) {
        self.store.put("keyed.servers", id, "");
    }

    pub fn stop(&self) {
        self.over.store(true, Ordering::SeqCst);
        for worker in self.state.lock().unwrap().workers.values() {
            worker.server.as_ref().inspect(|s| s.stop());
        }
    }

    /// Whether a worker is up, and the processor time that its runs take, in thousandths of a core.
    pub fn used_cpu(&self) -> BTreeMap<String, u64> {
        let state = self.state.lock().unwrap();
        let cpu = |task: &String| {
            split(task).and_then(|(job, step, _)| Some(state.jobs.get(&job)?.get(step)?.cpu)).unwrap_or(0)
        };
        state.workers.iter().map(|(id, w)| (id.clone(), w.runs.keys().map(cpu).sum())).collect()
    }

    /// Services on whose workers tasks of a job have begun.
    pub fn services_of(&self, job: &str) -> Vec<String> {
        self.state.lock().unwrap().begun_at.get(job).cloned().unwrap_or_default()
    }

    pub fn wrong_kinds(&self) -> usize {
        self.state.lock().unwrap().wrong_kinds
    }

    /// Tasks of a job that run now.
    pub fn running(&self, job: &str) -> usize {
        let state = self.state.lock().unwrap();
        let of_job = |task: &&String| task.split('.').next() == Some(job);
        state.workers.values().map(|w| w.runs.keys().filter(of_job).count()).sum()
    }

    fn register(&self, id: &str) {
        let mut state = self.state.lock().unwrap();
        let Some(worker) = state.workers.get_mut(id) else { return };
        worker.sequence += 1;
        let spec = &worker.spec;
        let labels: Vec<String> = spec.labels.iter().map(|l| quote(l)).collect();
        let entry = format!(
            "{{\"service\":{},\"address\":\"{}\",\"zone\":{},\"version\":\"1\",\"slots\":8,\"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":{},\"born\":{},\"capacity\":{{\"cpu\":{},\"memMb\":{},\"gpu\":0}},\"labels\":[{}]}}",
            quote(&spec.service),
            spec.addr,
            quote(&spec.zone),
            worker.sequence,
            worker.born,
            spec.cpu,
            spec.mem,
            labels.join(",")
        );
        drop(state);
        self.store.put("keyed.servers", id, &entry);
    }

    /// Lets runs work and end.
    fn tick(&self) {
        let mut state = self.state.lock().unwrap();
        let State { workers, jobs, .. } = &mut *state;
        let mut present: HashMap<(String, u32), u32> = HashMap::new();
        for worker in workers.values() {
            for (task, run) in &worker.runs {
                if let Some((_, _, step)) = split(task) {
                    *present.entry((step, run.number)).or_default() += 1;
                }
            }
        }
        let mut ended = false;
        let mut gangs: Vec<(String, u32, &'static str)> = Vec::new();
        for worker in workers.values_mut() {
            let lapsed = worker.clock() > worker.lease_until;
            let tasks: Vec<String> = worker.runs.keys().cloned().collect();
            for task in tasks {
                let Some((job, step, name)) = split(&task) else { continue };
                let Some(spec) = jobs.get(&job).and_then(|s| s.get(step)) else { continue };
                let Some(run) = worker.runs.get_mut(&task) else { continue };
                let number = run.number;
                if lapsed {
                    worker.finish(&task, "lapsed", &self.record);
                    ended = true;
                    if spec.gang {
                        gangs.push((name, number, "broken"));
                    }
                    continue;
                }
                let all = !spec.gang || present.get(&(name.clone(), number)) == Some(&spec.count);
                if all && run.work.is_none() {
                    run.work = Some(Instant::now());
                }
                let how = match run.work {
                    Some(at) if spec.lasts && !spec.hopeless => {
                        let _ = at;
                        None
                    }
                    Some(at) if at.elapsed() >= Duration::from_millis(spec.ms) => {
                        Some(if spec.hopeless { "failed" } else { "done" })
                    }
                    None if run.begun.elapsed().as_millis() >= GANG_TIMEOUT_MS => Some("alone"),
                    _ => None,
                };
                if let Some(how) = how {
                    worker.finish(&task, how, &self.record);
                    ended = true;
                    if spec.gang && how != "alone" {
                        gangs.push((name, number, if how == "done" { "done" } else { "broken" }));
                    }
                }
            }
        }
        // The members of a gang end together.
        for (step, number, how) in gangs {
            for worker in workers.values_mut() {
                let of_gang = worker.runs.iter().filter(|(t, r)| t.starts_with(&step) && r.number == number);
                let tasks: Vec<String> = of_gang.map(|(t, _)| t.clone()).collect();
                tasks.iter().for_each(|t| worker.finish(t, how, &self.record));
            }
        }
        if ended {
            self.changed.notify_all();
        }
    }

    /// From now on, for a time, half of the orders get no answer and are carried out late.
    pub fn leave_orders(&self, length: Duration) {
        self.record.line(&format!(
            "for {length:?} half of the orders to workers get no answer and are carried out late"
        ));
        *self.late_until.lock().unwrap() = Some(Instant::now() + length);
    }

    /// The worker with the most orders that are still to be carried out.
    pub fn most_late(&self, pool: &[String]) -> String {
        let state = self.state.lock().unwrap();
        let late = |id: &&String| state.late.get(*id).copied().unwrap_or(0);
        pool.iter().max_by_key(late).cloned().unwrap_or_default()
    }

    pub fn begun_again(&self) -> usize {
        self.state.lock().unwrap().begun_again
    }

    fn draw(&self, below: u64) -> u64 {
        let mut x = self.random.fetch_add(0x9E37_79B9_7F4A_7C15, Ordering::SeqCst);
        x = (x ^ (x >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        x = (x ^ (x >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        (x ^ (x >> 31)) % below
    }

    fn receive(self: &Arc<Self>, id: &str, request: Request) -> Answer {
        let order = matches!(request.path.as_str(), "/v1/run-start" | "/v1/run-stop");
        let leaves = self.late_until.lock().unwrap().is_some_and(|until| Instant::now() < until);
        if !order || !leaves || self.draw(2) == 0 {
            return self.handle(id, &request);
        }
        let (fleet, id) = (Arc::clone(self), id.to_owned());
        let wait = Duration::from_millis(2_000 + self.draw(10_000));
        *self.state.lock().unwrap().late.entry(id.clone()).or_default() += 1;
        thread::spawn(move || {
            thread::sleep(wait);
            if let Some(count) = fleet.state.lock().unwrap().late.get_mut(&id) {
                *count -= 1;
            }
            // While the worker is down, nothing takes the order, and it is gone.
            fleet.handle(&id, &request);
        });
        None
    }

    fn handle(&self, id: &str, request: &Request) -> Answer {
        if request.header("x-target-instance") != id {
            return Some((421, b"{}".to_vec()));
        }
        let body = parse(&request.body)?;
        let mut state = self.state.lock().unwrap();
        let State { workers, jobs, wrong_kinds, begun_at, done, begun_again, .. } = &mut *state;
        let worker = workers.get_mut(id)?;
        let token = body.number("fencingToken").unwrap_or(0);
        if token < worker.fence {
            let clock = worker.clock();
            self.record
                .line(&format!("worker {id} refuses {} token {token}: fence {}", request.path, worker.fence));
            return Some((409, format!("{{\"clockMs\":{clock},\"reason\":\"fence\"}}").into_bytes()));
        }
        worker.fence = token;
        let (status, text) = match request.path.as_str() {
            "/v1/run-start" => {
                let required = split(&body.text("task"))
                    .and_then(|(job, step, _)| Some(jobs.get(&job)?.get(step)?.label.clone()))
                    .unwrap_or_default();
                let suits = required.is_empty() || worker.spec.labels.contains(&required);
                let before = worker.runs.len();
                let answer = self.start_run(worker, &body);
                if worker.runs.len() > before && done.get(&body.text("task")) == Some(&true) {
                    *begun_again += 1;
                    self.record.line(&format!(
                        "rule TWICE: {} begins on worker {id} though a run of it has ended done and that was taken note of",
                        body.text("task")
                    ));
                }
                if worker.runs.len() > before
                    && let Some((job, ..)) = split(&body.text("task"))
                {
                    begun_at.entry(job).or_default().push(worker.spec.service.clone());
                }
                if !suits && worker.runs.len() > before {
                    *wrong_kinds += 1;
                    self.record.line(&format!(
                        "rule ROUTE: {} requires {required}, worker {id} has {:?}",
                        body.text("task"),
                        worker.spec.labels
                    ));
                }
                answer
            }
            "/v1/run-stop" => self.stop_run(worker, &body),
            "/v1/pace" => (200, format!("{{\"clockMs\":{}}}", worker.clock())),
            "/v1/hold" => {
                drop(state);
                return self.hold(id, &body);
            }
            _ => (404, "{}".into()),
        };
        Some((status, text.into_bytes()))
    }

    fn extend(worker: &mut Worker, body: &Json) {
        if let Some(until) = body.number("deadlineMs") {
            let most = worker.clock() + MAX_HOLD_MS;
            worker.lease_until = worker.lease_until.max(until.min(most));
        }
    }

    fn start_run(&self, worker: &mut Worker, body: &Json) -> (u16, String) {
        let (task, number) = (body.text("task"), body.number("run").unwrap_or(0) as u32);
        let clock = worker.clock();
        let id = worker.spec.id.clone();
        let refuse = |reason: &str| {
            self.record.line(&format!("worker {id} refuses {task} run {number}: {reason}"));
            (409, format!("{{\"clockMs\":{clock},\"reason\":\"{reason}\"}}"))
        };
        if body.number("deadlineMs").unwrap_or(0) <= clock {
            return refuse("late");
        }
        Self::extend(worker, body);
        if worker.over.get(&task).is_some_and(|n| number <= *n) {
            return refuse("old");
        }
        if worker.runs.get(&task).is_none_or(|r| r.number < number) {
            worker.runs.insert(task.clone(), Run { number, begun: Instant::now(), work: None });
            self.record.line(&format!("worker {} begins {task} run {number}", worker.spec.id));
        }
        (200, format!("{{\"clockMs\":{clock}}}"))
    }

    fn stop_run(&self, worker: &mut Worker, body: &Json) -> (u16, String) {
        let (task, number) = (body.text("task"), body.number("run").unwrap_or(0) as u32);
        if worker.runs.get(&task).is_some_and(|r| r.number <= number) {
            worker.finish(&task, "stopped", &self.record);
        }
        let over = worker.over.entry(task).or_default();
        *over = number.max(*over);
        (200, format!("{{\"clockMs\":{}}}", worker.clock()))
    }

    fn hold(&self, id: &str, body: &Json) -> Answer {
        let until = Instant::now() + Duration::from_millis(body.number("waitMs").unwrap_or(0).min(2_000));
        let seen = body.number("lastSeen").unwrap_or(0);
        let mut state = self.state.lock().unwrap();
        let born = state.workers.get(id)?.born;
        {
            let worker = state.workers.get_mut(id)?;
            Self::extend(worker, body);
            let noted: Vec<String> = worker
                .ends
                .iter()
                .filter(|e| e.number <= seen && e.how == "done")
                .map(|e| e.task.clone())
                .collect();
            worker.ends.retain(|e| e.number > seen);
            for task in noted {
                state.done.insert(task, true);
            }
        }
        loop {
            // A worker that crashes meanwhile sends nothing.
            let worker = state.workers.get(id).filter(|w| w.born == born)?;
            let now = Instant::now();
            if !worker.ends.is_empty() || now >= until {
                let running: Vec<String> = worker.runs.iter().map(|(t, r)| self.row(&state, t, r)).collect();
                let ended: Vec<String> = worker
                    .ends
                    .iter()
                    .take(500)
                    .map(|e| format!("[{},{},{},\"{}\",\"\"]", e.number, quote(&e.task), e.run, e.how))
                    .collect();
                let text = format!(
                    "{{\"clockMs\":{},\"born\":{born},\"running\":[{}],\"ended\":[{}]}}",
                    worker.clock(),
                    running.join(","),
                    ended.join(",")
                );
                return Some((200, text.into_bytes()));
            }
            state = self.changed.wait_timeout(state, until - now).unwrap().0;
        }
    }

    fn row(&self, state: &State, task: &str, run: &Run) -> String {
        let step = split(task).and_then(|(job, step, _)| state.jobs.get(&job)?.get(step).cloned());
        let percent = match (&step, run.work) {
            (Some(step), Some(at)) if step.lasts => {
                if at.elapsed() >= Duration::from_millis(700) {
                    100
                } else {
                    0
                }
            }
            (Some(step), Some(at)) => (at.elapsed().as_millis() as u64 * 100 / step.ms.max(1)).min(99),
            _ => 0,
        };
        let cpu = step.map_or(0, |s| s.cpu);
        format!("[{},{},\"\",{percent},{cpu}]", quote(task), run.number)
    }
}

/// A machine, as `GET /v1/machines` shows it.
#[derive(Clone)]
pub struct Machine {
    pub name: String,
    pub pool: String,
    pub zone: String,
    pub labels: Vec<String>,
    pub cpu: u64,
    pub mem: u64,
    /// Id of its worker; empty while it has none.
    pub worker: String,
    pub state: &'static str,
}

/// The machines' interface. Each pool is one of other machines, so that none can move.
pub struct Machines {
    rows: Mutex<Vec<Machine>>,
    /// Machines of each wave.
    waves: Mutex<HashMap<u64, Vec<String>>>,
    /// Upkeeps that have begun: machine and wave.
    begun: Mutex<Vec<(String, u64)>>,
    /// Length of an outage that begins with the first call for an upkeep, and its end.
    outage: Mutex<(Option<Duration>, Option<Instant>)>,
    fleet: Arc<Fleet>,
    record: Arc<Record>,
}

impl Machines {
    pub fn new(fleet: Arc<Fleet>, record: Arc<Record>) -> Arc<Self> {
        Arc::new(Self {
            rows: Mutex::default(),
            waves: Mutex::default(),
            begun: Mutex::default(),
            outage: Mutex::default(),
            fleet,
            record,
        })
    }

    pub fn add(&self, machine: Machine) {
        self.rows.lock().unwrap().push(machine);
    }

    pub fn names(&self) -> Vec<String> {
        self.rows.lock().unwrap().iter().map(|m| m.name.clone()).collect()
    }

    pub fn add_wave(&self, number: u64, machines: &[String]) {
        self.waves.lock().unwrap().insert(number, machines.to_vec());
    }

    /// Plans an outage, which begins with the first call for an upkeep.
    pub fn plan_outage(&self, length: Duration) {
        self.outage.lock().unwrap().0 = Some(length);
    }

    /// Machines of a wave whose upkeep has not begun.
    pub fn missing(&self, wave: u64) -> Vec<String> {
        let (waves, begun) = (self.waves.lock().unwrap(), self.begun.lock().unwrap());
        let of_wave = waves.get(&wave).cloned().unwrap_or_default();
        of_wave.into_iter().filter(|m| !begun.contains(&(m.clone(), wave))).collect()
    }

    pub fn serve(self: &Arc<Self>, addr: SocketAddr) -> std::io::Result<Server> {
        let machines = Arc::clone(self);
        Server::start(addr, move |request| machines.handle(&request))
    }

    fn is_out(&self, path: &str) -> bool {
        let mut outage = self.outage.lock().unwrap();
        if path == "/v1/machine-upkeep"
            && let Some(length) = outage.0.take()
        {
            self.record.line(&format!("machines: no answers for {length:?}"));
            outage.1 = Some(Instant::now() + length);
        }
        outage.1.is_some_and(|end| Instant::now() < end)
    }

    fn handle(self: &Arc<Self>, request: &Request) -> Answer {
        if self.is_out(&request.path) {
            let body = String::from_utf8_lossy(&request.body);
            self.record
                .line(&format!("machines: {} {body} gets no answer and is not carried out", request.path));
            return None;
        }
        match request.path.as_str() {
            "/v1/machines" => Some((200, self.list().into_bytes())),
            "/v1/machine-upkeep" => {
                let body = parse(&request.body)?;
                let (name, wave) = (body.text("machine"), body.number("wave").unwrap_or(0));
                let answer = self.upkeep(&name, wave);
                self.record.line(&format!("machines: upkeep of {name} for wave {wave} -> {answer:?}"));
                Some((answer.0, answer.1.as_bytes().to_vec()))
            }
            _ => Some((400, b"{}".to_vec())),
        }
    }

    fn list(&self) -> String {
        let rows = self.rows.lock().unwrap();
        let rows: Vec<String> = rows
            .iter()
            .map(|m| {
                let labels: Vec<String> = m.labels.iter().map(|l| quote(l)).collect();
                format!(
                    "{{\"machine\":{},\"pool\":{},\"state\":\"{}\",\"zone\":{},\"labels\":[{}],\"capacity\":{{\"cpu\":{},\"memMb\":{},\"gpu\":0}},\"id\":{}}}",
                    quote(&m.name),
                    quote(&m.pool),
                    m.state,
                    quote(&m.zone),
                    labels.join(","),
                    m.cpu,
                    m.mem,
                    quote(&m.worker)
                )
            })
            .collect();
        format!("{{\"machines\":[{}],\"nextToken\":\"\"}}", rows.join(","))
    }

    fn upkeep(self: &Arc<Self>, name: &str, wave: u64) -> (u16, &'static str) {
        let of_wave = self.waves.lock().unwrap().get(&wave).is_some_and(|m| m.iter().any(|n| n == name));
        if !of_wave {
            return (409, "{\"reason\":\"wave\"}");
        }
        if self.begun.lock().unwrap().contains(&(name.to_owned(), wave)) {
            return (200, "{}");
        }
        let mut rows = self.rows.lock().unwrap();
        let Some(row) = rows.iter_mut().find(|m| m.name == name) else { return (400, "{}") };
        if row.state != "up" {
            return (409, "{\"reason\":\"busy\"}");
        }
        row.state = "upkeep";
        let worker = std::mem::take(&mut row.worker);
        drop(rows);
        self.begun.lock().unwrap().push((name.to_owned(), wave));
        let (machines, name) = (Arc::clone(self), name.to_owned());
        thread::spawn(move || {
            let Some(mut spec) = machines.fleet.crash(&worker) else { return };
            machines.fleet.unregister(&worker);
            thread::sleep(UPKEEP);
            // A new worker joins the pool.
            spec.id.push('x');
            let id = spec.id.clone();
            if machines.fleet.boot(spec).is_ok()
                && let Some(row) = machines.rows.lock().unwrap().iter_mut().find(|m| m.name == name)
            {
                (row.state, row.worker) = ("up", id);
            }
        });
        (200, "{}")
    }
}
