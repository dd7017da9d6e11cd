//! A small deployment on loopback addresses: the platform's stand-ins and the project's daemons.

use std::cell::RefCell;
use std::io::Write;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::http::{self, Request, Response};
use crate::json::{self, Json};
use crate::record::Record;
use crate::store::Store;
use crate::worker::{self, Spec, Worker};

pub const KEY: &str = "key-of-the-tenant";
pub const HOST: &str = "desk.example";
const ZONES: [&str; 3] = ["obihiro", "kushiro", "kitami"];

/// A pool of equal workers.
#[derive(Clone, Copy)]
pub struct Pool {
    pub service: &'static str,
    pub workers: usize,
    pub cpu: u64,
    /// Workers of a rack.
    pub rack: usize,
    /// The kind, which is also a label.
    pub kind: &'static str,
}

/// What a case needs.
pub struct Setup<'a> {
    pub daemons: usize,
    /// Daemon that starts 3 s after the others, if any.
    pub last: Option<usize>,
    pub pools: &'a [Pool],
    /// Queue, service and priority.
    pub routes: &'a [(&'a str, &'a str, u64)],
    /// The tenant's `maximum`, in thousandths of a core; 0 for no limit.
    pub maximum: u64,
    pub stop_ms: u64,
}

/// Machines as the platform lists them. No two pools have machines of the same kind.
struct Cloud {
    pools: Vec<(String, String)>,
    workers: Vec<Arc<Worker>>,
    record: Arc<Record>,
}

pub struct Daemon {
    pub name: String,
    pub ip: Ipv4Addr,
    process: Option<Child>,
    settings: PathBuf,
    log: PathBuf,
    run: Vec<String>,
}

pub struct Deployment {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub workers: Vec<Arc<Worker>>,
    daemons: Vec<RefCell<Daemon>>,
    routes: Vec<(String, String)>,
    folder: PathBuf,
    turn: std::cell::Cell<usize>,
}

impl Deployment {
    /// Starts the platform, the workers and the daemons, and waits until the daemons are ready.
    pub fn start(setup: &Setup<'_>, run: &[String]) -> Result<Self, String> {
        let Setup { daemons: count, last, pools, routes, maximum, stop_ms } = *setup;
        let record = Arc::new(Record::new());
        let net = free_net()?;
        let at = |host: u8, port: u16| SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, net.0, net.1, host)), port);
        let store = Store::new(24);
        let served = Arc::clone(&store);
        http::serve(at(201, 8344), Arc::new(move |r| served.handle(r))).map_err(|e| e.to_string())?;
        store.put("keyed.op", "config", config(pools, routes, maximum).write().as_bytes());
        let mut workers = Vec::new();
        let mut host = 100;
        for pool in pools {
            for i in 0..pool.workers {
                host += 1;
                let spec = Spec {
                    id: format!("i-{}-{i}", pool.service),
                    machine: format!("m-{}-{i}", pool.service),
                    addr: at(host, 8080),
                    service: pool.service.to_owned(),
                    zone: ZONES[i % 3].to_owned(),
                    labels: vec![pool.kind.to_owned(), format!("{}-{}", pool.service, i / pool.rack)],
                    cpu: pool.cpu,
                };
                workers.push(Worker::start(spec, Arc::clone(&record), Arc::clone(&store)));
            }
        }
        let cloud = Cloud {
            pools: pools.iter().map(|p| (p.service.to_owned(), p.kind.to_owned())).collect(),
            workers: workers.clone(),
            record: Arc::clone(&record),
        };
        http::serve(at(202, 8344), Arc::new(move |r| cloud.handle(&r))).map_err(|e| e.to_string())?;
        let folder = std::env::temp_dir().join(format!("review-rig-{}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(|e| e.to_string())?;
        let mut daemons = Vec::new();
        for i in 0..count {
            let ip = Ipv4Addr::new(127, net.0, net.1, 11 + i as u8);
            let name = format!("front-{}-{}", ZONES[i % 3], i / 3 + 1);
            let settings = folder.join(format!("{name}.toml"));
            let text = settings_text(&name, ip, ZONES[i % 3], at(201, 8344), at(202, 8344), stop_ms);
            std::fs::write(&settings, text).map_err(|e| e.to_string())?;
            let log = folder.join(format!("{name}.log"));
            daemons.push(RefCell::new(Daemon { name, ip, process: None, settings, log, run: run.to_vec() }));
        }
        let routes = routes.iter().map(|(n, s, _)| ((*n).to_owned(), (*s).to_owned())).collect();
        let made = Self { record, store, workers, daemons, routes, folder, turn: std::cell::Cell::new(0) };
        for (i, daemon) in made.daemons.iter().enumerate() {
            if last != Some(i) {
                daemon.borrow_mut().start(&made.record)?;
            }
        }
        if let Some(last) = last {
            std::thread::sleep(Duration::from_secs(3));
            made.restart(last)?;
        }
        let until = Instant::now() + Duration::from_secs(15);
        while !made.daemons.iter().all(|d| d.borrow().is_ready()) {
            if Instant::now() > until {
                return Err("the daemons don't become ready".into());
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        // Traffic starts 10 s after the machines do; the group and the owners have settled by then.
        std::thread::sleep(Duration::from_secs(5));
        Ok(made)
    }

    /// A client's call, over the platform to a daemon in rotation.
    pub fn call(&self, method: &str, path: &str, body: &str) -> Option<(u16, String)> {
        let ready: Vec<_> = self.daemons.iter().map(RefCell::borrow).filter(|d| d.process.is_some()).collect();
        let daemon = ready.get(self.turn.get() % ready.len().max(1))?;
        self.turn.set(self.turn.get() + 1);
        let token = format!("Token {KEY}");
        let headers = [
            ("Host", HOST),
            ("Content-Type", "application/json"),
            ("Authorization", token.as_str()),
            ("X-Deadline-Ms", "3000"),
        ];
        let answer = http::call(daemon.front(), method, path, &headers, body, Duration::from_millis(3_000)).ok();
        let shown = answer.as_ref().map_or("no answer".into(), |(status, text)| format!("{status} {text}"));
        let sent = if body.len() > 200 { format!("{}...", &body[..200]) } else { body.to_owned() };
        self.record.note(&format!("client to {}: {method} {path} {sent} -> {shown}", daemon.name));
        answer
    }

    /// Hands a job in, with a client's repeats under the same id; true once it is accepted.
    pub fn submit(&self, path: &str, body: &str) -> bool {
        for _ in 0..8 {
            match self.call("POST", path, body) {
                Some((status, _)) if (200..300).contains(&status) => return true,
                Some((503 | 429, _)) => std::thread::sleep(Duration::from_millis(1_000)),
                Some((502 | 504, _)) | None => std::thread::sleep(Duration::from_millis(200)),
                Some(_) => return false,
            }
        }
        false
    }

    pub fn state(&self, path: &str) -> String {
        match self.call("GET", path, "") {
            Some((200, text)) => Json::parse(&text).map_or(String::new(), |j| j.text("state")),
            Some((status, _)) => status.to_string(),
            None => "none".into(),
        }
    }

    /// Index of the daemon that owns the shard whose partition holds a job.
    pub fn owner_of(&self, job: &str) -> Option<usize> {
        let (_, member) = self.store.holder_of("keyed.shards", &format!("j:{job}"))?;
        let ip: SocketAddr = member.split('/').next()?.parse().ok()?;
        self.daemons.iter().position(|d| IpAddr::V4(d.borrow().ip) == ip.ip())
    }

    /// Service of the queue that a path belongs to.
    pub fn service_of(&self, path: &str) -> &str {
        let queue = path.split('/').nth(1).unwrap_or_default();
        self.routes.iter().find(|(name, _)| name == queue).map_or("", |(_, service)| service)
    }

    pub fn kill(&self, daemon: usize) {
        self.daemons[daemon].borrow_mut().kill(&self.record);
    }

    /// SIGTERM, as the platform sends before a planned stop; true once the process has ended in its grace period.
    pub fn terminate(&self, daemon: usize) -> bool {
        let mut daemon = self.daemons[daemon].borrow_mut();
        let Some(mut process) = daemon.process.take() else { return false };
        self.record.note(&format!("{} gets SIGTERM", daemon.name));
        let sent = Command::new("kill").arg(process.id().to_string()).status().is_ok_and(|s| s.success());
        let until = Instant::now() + Duration::from_secs(6);
        while sent && Instant::now() < until {
            if matches!(process.try_wait(), Ok(Some(_))) {
                self.record.note(&format!("{} has ended", daemon.name));
                return true;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        drop(process.kill());
        drop(process.wait());
        self.record.note(&format!("{} is killed after its grace period", daemon.name));
        sent
    }

    pub fn restart(&self, daemon: usize) -> Result<(), String> {
        self.daemons[daemon].borrow_mut().start(&self.record)
    }

    /// Whether all daemons run that were not killed.
    pub fn all_alive(&mut self) -> bool {
        self.daemons.iter_mut().all(|d| d.get_mut().process.as_mut().is_none_or(|p| matches!(p.try_wait(), Ok(None))))
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for daemon in &mut self.daemons {
            daemon.get_mut().kill(&self.record);
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            drop(std::fs::remove_dir_all(&self.folder));
        }
    }
}

impl Daemon {
    pub fn start(&mut self, record: &Record) -> Result<(), String> {
        let log = std::fs::OpenOptions::new().create(true).append(true).open(&self.log).map_err(|e| e.to_string())?;
        let mut command = Command::new(&self.run[0]);
        command.args(&self.run[1..]).env_clear();
        for name in ["PATH", "HOME", "LANG"] {
            if let Some(value) = std::env::var_os(name) {
                command.env(name, value);
            }
        }
        command.env("LAGOONRELAY_BOOT", &self.settings).stdin(Stdio::null());
        command.stdout(log.try_clone().map_err(|e| e.to_string())?).stderr(log);
        let process = command.spawn().map_err(|e| format!("{}: {e}", self.run[0]))?;
        if let Some(path) = std::env::var_os("RIG_PIDS") {
            let file = std::fs::OpenOptions::new().create(true).append(true).open(path);
            let mut file = file.map_err(|e| e.to_string())?;
            writeln!(file, "{}", process.id()).map_err(|e| e.to_string())?;
        }
        self.process = Some(process);
        record.note(&format!("{} starts", self.name));
        Ok(())
    }

    pub fn kill(&mut self, record: &Record) {
        if let Some(mut process) = self.process.take() {
            drop(process.kill());
            drop(process.wait());
            record.note(&format!("{} is killed", self.name));
        }
    }

    /// Address for clients.
    pub fn front(&self) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.ip), 8340)
    }

    pub fn is_ready(&self) -> bool {
        let addr = SocketAddr::new(IpAddr::V4(self.ip), 8343);
        let answer = http::call(addr, "GET", "/v1/readiness", &[], "", Duration::from_millis(500));
        answer.is_ok_and(|(status, _)| status == 200)
    }
}

impl Cloud {
    fn handle(&self, request: &Request) -> Response {
        std::thread::sleep(Duration::from_millis(4));
        let body = Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
        let answer = |status: u16, body: Json| Some((status, body.write().into_bytes()));
        match request.path.as_str() {
            "/v1/machines" => {
                let rows = self.workers.iter().map(|w| {
                    json::obj(vec![
                        ("machine", json::s(&w.spec.machine)),
                        ("pool", json::s(&w.spec.service)),
                        ("state", json::s("up")),
                        ("zone", json::s(&w.spec.zone)),
                        ("labels", Json::Arr(w.spec.labels.iter().map(|l| json::s(l)).collect())),
                        ("capacity", worker::capacity(w.spec.cpu)),
                        ("id", json::s(&w.spec.id)),
                    ])
                });
                answer(200, json::obj(vec![("machines", Json::Arr(rows.collect())), ("nextToken", Json::Null)]))
            }
            "/v1/machine-move" => {
                let (machine, pool) = (body.text("machine"), body.text("pool"));
                let kind = |service: &str| self.pools.iter().find(|(s, _)| s == service).map(|(_, k)| k.clone());
                let known = self.workers.iter().find(|w| w.spec.machine == machine);
                // The pools of a deployment differ in kind, so a machine can stay only where it is.
                let status = match known {
                    Some(w) if kind(&w.spec.service) == kind(&pool) => 200,
                    _ => 400,
                };
                let holder = request.header("x-duty-holder");
                self.record.note(&format!("order of {holder}: {machine} moves to {pool} -> {status}"));
                answer(status, Json::Obj(Vec::new()))
            }
            _ => answer(400, Json::Obj(Vec::new())),
        }
    }
}

fn config(pools: &[Pool], routes: &[(&str, &str, u64)], maximum: u64) -> Json {
    let route = |(name, service, priority): &(&str, &str, u64)| {
        json::obj(vec![
            ("name", json::s(name)),
            ("host", json::s(HOST)),
            ("pathPrefix", json::s(&format!("/{name}/"))),
            ("kind", json::s("unsafe")),
            ("timeoutMs", json::n(3_000)),
            ("targetLatencyMs", json::n(600)),
            ("priority", json::n(*priority)),
            ("service", json::s(service)),
            ("maxAttempts", json::n(4)),
            ("stretch", Json::Num(1.6)),
            ("public", Json::Bool(false)),
        ])
    };
    let service = |p: &Pool| json::obj(vec![("name", json::s(p.service)), ("admissionCheck", Json::Bool(false))]);
    let maximum = json::obj(vec![("cpu", json::n(maximum)), ("memMb", json::n(0)), ("gpu", json::n(0))]);
    json::obj(vec![
        ("version", json::n(7)),
        ("routes", Json::Arr(routes.iter().map(route).collect())),
        ("services", Json::Arr(pools.iter().map(service).collect())),
        (
            "tenants",
            Json::Arr(vec![json::obj(vec![
                ("name", json::s("farms")),
                ("apiKeys", Json::Arr(vec![json::s(KEY)])),
                ("weight", json::n(5)),
                ("maximum", maximum),
            ])]),
        ),
        (
            "limits",
            json::obj(vec![
                ("maxHeaderBytes", json::n(16_384)),
                ("maxBodyBytes", json::n(262_144)),
                ("headerTimeoutMs", json::n(3_000)),
            ]),
        ),
    ])
}

/// A part of the loopback range that no other run uses.
fn free_net() -> Result<(u8, u8), String> {
    let seed = std::process::id();
    for i in 0..200 {
        let number = seed.wrapping_mul(31).wrapping_add(i * 7);
        let net = (20 + (number / 250 % 200) as u8, 1 + (number % 250) as u8);
        let addr = SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, net.0, net.1, 201)), 8344);
        if TcpListener::bind(addr).is_ok() {
            return Ok(net);
        }
    }
    Err("no free loopback addresses".into())
}

fn settings_text(name: &str, ip: Ipv4Addr, zone: &str, store: SocketAddr, cloud: SocketAddr, stop_ms: u64) -> String {
    format!(
        r#"nodeName = "{name}"
role = "relay"
machineClass = "front"
serves = ["front"]
ip = "{ip}"
zone = "{zone}"
region = "doto"
internalPortRange = [7000,7015]
seeds = []
bootstrap = true
inTolerance = false
discovery = "platform"
entry = "virtual_ip"
heartbeatMs = 1500
contracts = ["base","drain","config","cost","recover","sched","tenants","quota","places","platform","advice","upkeep","sharing"]
orders = "call"
[zones]
obihiro = "doto"
kushiro = "doto"
kitami = "doto"
[listen]
front = "{ip}:8340"
ready = "{ip}:8343"
[limits]
cpuShare = 0.25
cores = 1
memoryMb = 260
fileDescriptors = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 1
zones = 1
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = 3000
ackTimeoutMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 6
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
maxStretchMs = 5000
strictRevocation = false
revokeMs = 5000
quotaWindowS = 5
quotaOverage = 0.1
quotaSlack = 20
coldOverage = 1.5
coldSlack = 5
evacuateMs = 5000
recoveryS = 12
maxHoldMs = 10000
stopTimeoutMs = {stop_ms}
gangTimeoutMs = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
farFactor = 2
checkpointIntervalS = 0.5
restoreMs = 100
noticeMs = 4500
moveS = 1.5
maintenanceS = 2
fencingRequired = false
leaseMs = 3000
thawSlackMs = 300
paceMs = 100
harmMs = 4000
[platform]
address = "{store}"
form = "log"
writesPerS = 600
readsPerS = 2000
parts = 24
appendMs = 1.0
partitionMbS = 20.0
readMbS = 80.0
recordBytes = 262144
callBytes = 2097152
keep_s = 300
partMb = 200
minTtlMs = 1000
[cloudApi]
address = "{cloud}"
ratePerS = 64.0
duties = []
dutyPerS = 64.0
"#
    )
}
