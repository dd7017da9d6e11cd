//! A small deployment: the platform's stand-ins and the project's daemons as processes of their own.

use std::io::Write as _;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde_json::{Value, json};

use crate::http::{self, Answer, Request};
use crate::record::Record;
use crate::store::{PARTS, Store};
use crate::worker::{Kind, Runs, Worker};

/// Zones of the deployment.
pub const ZONES: [&str; 3] = ["za", "zb", "zc"];
/// Host of all queues.
pub const HOST: &str = "desk.example";
/// Key of the only customer.
pub const KEY: &str = "key-1";

/// The deployment.
pub struct Fleet {
    net: (u8, u8),
    folder: PathBuf,
    pub store: Arc<Store>,
    pub workers: Mutex<Vec<Arc<Worker>>>,
    daemons: Mutex<Vec<Option<Child>>>,
    pub record: Arc<Record>,
    pub runs: Runs,
    /// Further customers of the configuration, who send nothing.
    pub others: std::sync::atomic::AtomicU32,
}

impl Fleet {
    /// Starts the store and the machine API.
    pub fn start() -> Arc<Self> {
        let net = free_net();
        let folder = std::env::temp_dir().join(format!("rig2-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        let fleet = Arc::new(Self {
            net,
            folder,
            store: Arc::default(),
            workers: Mutex::default(),
            daemons: Mutex::default(),
            record: Arc::new(Record::new()),
            runs: Runs::default(),
            others: Default::default(),
        });
        fleet.store.serve(fleet.addr(200, 8344)).expect("an address for the store");
        let machines = Arc::clone(&fleet);
        let handler = Arc::new(move |request: &Request| machines.machine_api(request));
        http::serve(fleet.addr(201, 8344), handler).expect("an address for the machine API");
        fleet
    }

    fn addr(&self, host: u8, port: u16) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, self.net.0, self.net.1, host)), port)
    }

    /// Publishes a configuration.
    pub fn configure(&self, version: u64, routes: &[Value], services: &[&str]) {
        let services: Vec<Value> =
            services.iter().map(|s| json!({ "name": s, "admissionCheck": false })).collect();
        let customer = |name: &str, key: &str| json!({ "name": name, "apiKeys": [key], "weight": 5, "maximum": { "cpu": 0, "memMb": 0, "gpu": 0 } });
        let mut tenants = vec![customer("farms", KEY)];
        let others = self.others.load(std::sync::atomic::Ordering::SeqCst);
        tenants.extend((0..others).map(|n| customer(&format!("other-{n}"), &format!("key-of-{n}"))));
        let config = json!({
            "version": version, "routes": routes, "services": services, "tenants": tenants,
            "limits": { "maxHeaderBytes": 16_384, "maxBodyBytes": 262_144, "headerTimeoutMs": 3_000 },
        });
        self.store.put("keyed.op", "config", &config);
        self.record.note(&format!("operator: config {version} acknowledged, services {services:?}"));
    }

    /// Starts a worker at a host number from 100 on.
    pub fn add_worker(&self, host: u8, kind: Kind) {
        let addr = self.addr(host, 8400);
        let worker = Worker::start(kind, addr, &self.store, &self.record, &self.runs)
            .expect("an address for a worker");
        self.workers.lock().unwrap().push(worker);
    }

    /// Starts the daemons, one in each zone in turn.
    pub fn start_daemons(&self, count: usize) {
        self.daemons.lock().unwrap().resize_with(count, || None);
        for index in 0..count {
            self.start_daemon(index);
        }
    }

    /// Starts a daemon again or for the first time.
    pub fn start_daemon(&self, index: usize) {
        let path = self.folder.join(format!("settings-{index}.toml"));
        std::fs::write(&path, self.settings(index)).expect("a settings file");
        let mut options = std::fs::OpenOptions::new();
        options.create(true).append(true);
        let log = options.open(self.folder.join(format!("log-{index}"))).expect("a log file");
        let child = Command::new(program())
            .arg("relay")
            .env("LAGOONRELAY_BOOT", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log file"))
            .stderr(log)
            .spawn()
            .expect("the built program");
        note_pid(child.id());
        self.record.note(&format!("daemon {index} started"));
        self.daemons.lock().unwrap()[index] = Some(child);
    }

    /// Kills a daemon (SIGKILL).
    pub fn kill_daemon(&self, index: usize) {
        if let Some(mut child) = self.daemons.lock().unwrap()[index].take() {
            drop(child.kill());
            drop(child.wait());
            self.record.note(&format!("daemon {index} killed"));
        }
    }

    /// Resident memory of a daemon in MB.
    pub fn memory_mb(&self, index: usize) -> u64 {
        let pid = self.daemons.lock().unwrap()[index].as_ref().map(Child::id);
        let Some(pid) = pid else { return 0 };
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
        let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
        line.and_then(|l| l.trim().trim_end_matches(" kB").parse::<u64>().ok()).unwrap_or(0) / 1_024
    }

    /// Number of the daemon that owns the shard whose log has this key.
    pub fn owner_of(&self, key: &str) -> Option<usize> {
        self.daemon_of(&self.store.holder_of_key(key)?)
    }

    /// Number of the daemon with this name in the group.
    pub fn daemon_of(&self, member: &str) -> Option<usize> {
        let ip = member.split(':').next()?.to_owned();
        (0..self.daemons.lock().unwrap().len()).find(|i| self.addr(*i as u8 + 1, 0).ip().to_string() == ip)
    }

    /// Kills all daemons and drops the temporary folder.
    pub fn stop(&self) {
        let count = self.daemons.lock().unwrap().len();
        for index in 0..count {
            self.kill_daemon(index);
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            drop(std::fs::remove_dir_all(&self.folder));
        } else {
            println!("logs are in {}", self.folder.display());
        }
    }

    /// Calls a daemon as a client.
    pub fn call(&self, daemon: usize, method: &str, path: &str, body: &str) -> Option<(u16, Value)> {
        let key = format!("Token {KEY}");
        let headers = [
            ("Host", HOST),
            ("Authorization", key.as_str()),
            ("X-Deadline-Ms", "3000"),
            ("Content-Type", "application/json"),
        ];
        let addr = self.addr(daemon as u8 + 1, 8340);
        let answer = http::call(addr, method, path, &headers, body.as_bytes(), Duration::from_secs(3));
        let text = match &answer {
            Some((status, body)) => format!("{status} {}", String::from_utf8_lossy(body)),
            None => "no answer".into(),
        };
        self.record.note(&format!("client: {method} {path} at daemon {daemon} -> {text}"));
        answer.map(|(status, body)| (status, serde_json::from_slice(&body).unwrap_or_default()))
    }

    /// Calls the daemons in turn until one answers with another status than 503, 502 and 504; at most for `limit`.
    pub fn call_any(&self, method: &str, path: &str, body: &str, limit: Duration) -> Option<(u16, Value)> {
        let start = std::time::Instant::now();
        let count = self.daemons.lock().unwrap().len();
        let mut daemon = 0;
        while start.elapsed() < limit {
            if self.daemons.lock().unwrap()[daemon % count].is_some() {
                match self.call(daemon % count, method, path, body) {
                    Some((status, body)) if ![502, 503, 504].contains(&status) => {
                        return Some((status, body));
                    }
                    _ => std::thread::sleep(Duration::from_millis(300)),
                }
            }
            daemon += 1;
        }
        None
    }

    /// Waits until all daemons are ready and a first job has run on each of these queues.
    pub fn warm_up(&self, prefixes: &[&str]) -> bool {
        for (n, prefix) in prefixes.iter().enumerate() {
            let path = format!("{prefix}00000000000000{n:02x}");
            let body =
                job("ms=50", &[json!({ "count": 1, "cpu": 100, "memMb": 64, "estimatedMs": 50 })], None);
            let accepted = self.call_any("POST", &path, &body, Duration::from_secs(15));
            if accepted.is_none_or(|(status, _)| status != 200) {
                return false;
            }
            let start = std::time::Instant::now();
            loop {
                let state = self.call_any("GET", &path, "", Duration::from_secs(5));
                if state.is_some_and(|(_, body)| body["state"] == "completed") {
                    break;
                }
                if start.elapsed() > Duration::from_secs(15) {
                    return false;
                }
                std::thread::sleep(Duration::from_millis(200));
            }
        }
        true
    }

    fn machine_api(&self, request: &Request) -> Answer {
        match request.path.as_str() {
            "/v1/machines" => {
                let row = |w: &Arc<Worker>| {
                    json!({
                        "machine": format!("m-{}", w.kind.id), "pool": w.kind.service, "state": "up",
                        "zone": w.kind.zone, "labels": ["a", w.kind.rack], "id": w.kind.id,
                        "capacity": { "cpu": w.kind.cpu, "memMb": w.kind.mem, "gpu": 0 },
                    })
                };
                let machines: Vec<Value> = self.workers.lock().unwrap().iter().map(row).collect();
                let body = json!({ "machines": machines, "nextToken": null });
                Answer::Send(200, body.to_string().into_bytes())
            }
            // No machine is free to leave its pool in these cases.
            _ => Answer::Send(409, json!({ "reason": "busy" }).to_string().into_bytes()),
        }
    }

    fn settings(&self, index: usize) -> String {
        let (ip, zone) = (self.addr(index as u8 + 1, 0).ip(), ZONES[index % ZONES.len()]);
        let (store, cloud) = (self.addr(200, 8344), self.addr(201, 8344));
        format!(
            r#"nodeName = "front-{zone}-{index}"
role = "relay"
machineClass = "front"
serves = ["front"]
ip = "{ip}"
zone = "{zone}"
region = "r"
internalPortRange = [7000,7015]
seeds = []
bootstrap = true
inTolerance = true
discovery = "platform"
entry = "virtual_ip"
heartbeatMs = 1500
contracts = ["base","drain","config","cost","recover","sched","tenants","quota","places","platform","upkeep"]
orders = "call"
[zones]
za = "r"
zb = "r"
zc = "r"
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
stopTimeoutMs = 200
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
parts = {PARTS}
appendMs = 1.0
partitionMbS = 20.0
readMbS = 80.0
recordBytes = 262144
callBytes = 2097152
keep_s = 20
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
}

/// A queue of a service in a configuration.
pub fn route(name: &str, prefix: &str, service: &str) -> Value {
    json!({
        "name": name, "host": HOST, "pathPrefix": prefix, "service": service, "priority": 1,
        "maxAttempts": 4, "stretch": 1.6, "targetLatencyMs": 600, "public": false,
    })
}

/// Body of a job; `repeat` is its number of occurrences, the first due time and the interval in milliseconds.
pub fn job(text: &str, steps: &[Value], repeat: Option<(u32, u64, u64)>) -> String {
    let mut body = json!({ "taskSpec": text, "steps": steps });
    if let Some((count, first, interval)) = repeat {
        body["repeatCount"] = json!(count);
        body["firstRunMs"] = json!(first);
        body["intervalMs"] = json!(interval);
    }
    body.to_string()
}

/// Adds a process to the file that `RIG_PIDS` names, for the script that ends them if the case is broken off.
fn note_pid(pid: u32) {
    let Some(path) = std::env::var_os("RIG_PIDS") else { return };
    if let Ok(mut file) = std::fs::OpenOptions::new().create(true).append(true).open(path) {
        drop(writeln!(file, "{pid}"));
    }
}

/// A loopback network in which no address is in use.
fn free_net() -> (u8, u8) {
    let id = std::process::id();
    for step in 0..200_u32 {
        let n = id.wrapping_mul(7).wrapping_add(step * 131);
        let net = (16 + (n / 250 % 200) as u8, 1 + (n % 250) as u8);
        let at = |host: u8, port: u16| (Ipv4Addr::new(127, net.0, net.1, host), port);
        let free = |a: (Ipv4Addr, u16)| TcpListener::bind(a).is_ok();
        if (1..=6).all(|h| free(at(h, 8340)) && free(at(h, 9464))) && free(at(200, 8344)) {
            return net;
        }
    }
    panic!("no free loopback network");
}

/// The program that the deploy file names, in the folder from which the case was started or above it.
fn program() -> PathBuf {
    let deployed = Path::new("target/release/lagoonrelay");
    let folder = std::env::current_dir().expect("a folder");
    let found = folder.ancestors().map(|f| f.join(deployed)).find(|p| p.exists());
    found.expect("target/release/lagoonrelay is missing; run the build of deploy/system.toml first")
}
