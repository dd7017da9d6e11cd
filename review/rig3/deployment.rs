//! A small deployment: the store, the workers, the machines' interface and three daemons, on loopback addresses.

use std::fs::{self, File};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{Fleet, Machine, Machines, Step, WorkerSpec};
use crate::http::{Server, call};
use crate::json::{parse, quote};
use crate::record::Record;
use crate::store::{PARTS, Store};

const DAEMONS: u8 = 3;
const ZONES: [&str; 3] = ["obihiro", "kushiro", "kitami"];
const KEY: &str = "key-of-the-farm";
/// A client's deadline, and its tries.
const DEADLINE: Duration = Duration::from_millis(3_000);
const TRIES: u32 = 5;

pub struct Queue {
    pub name: &'static str,
    pub service: &'static str,
    pub priority: u32,
    pub max_attempts: u32,
}

pub struct Deployment {
    pub store: Arc<Store>,
    pub fleet: Arc<Fleet>,
    pub record: Arc<Record>,
    net: [u8; 3],
    folder: PathBuf,
    daemons: Vec<Child>,
    servers: Vec<Server>,
    next_worker: AtomicUsize,
    next_front: AtomicUsize,
    pub machines: Arc<Machines>,
}

/// A loopback network of this run on which the daemons' fixed ports are free.
fn free_net() -> Option<[u8; 3]> {
    let pid = std::process::id();
    (0..200_u32).find_map(|i| {
        let (a, b) = (((pid >> 7) + i) % 200 + 20, (pid + 37 * i) % 250 + 1);
        let net = [127, a as u8, b as u8];
        let free = |host: u8, port: u16| {
            TcpListener::bind((Ipv4Addr::new(net[0], net[1], net[2], host), port)).is_ok()
        };
        (1..=DAEMONS).all(|d| [9464, 8340, 8343, 7000].iter().all(|p| free(d, *p))).then_some(net)
    })
}

impl Deployment {
    pub fn start(record: Arc<Record>) -> std::io::Result<Self> {
        let net = free_net().ok_or_else(|| std::io::Error::other("no free loopback network"))?;
        let folder = std::env::temp_dir().join(format!("lagoonrelay-review-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let store = Arc::new(Store::default());
        let fleet = Fleet::start(Arc::clone(&store), Arc::clone(&record));
        let machines = Machines::new(Arc::clone(&fleet), Arc::clone(&record));
        Ok(Self {
            store,
            fleet,
            record,
            net,
            folder,
            daemons: Vec::new(),
            servers: Vec::new(),
            next_worker: AtomicUsize::new(0),
            next_front: AtomicUsize::new(0),
            machines,
        })
    }

    fn ip(&self, host: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(self.net[0], self.net[1], self.net[2], host))
    }

    /// Adds workers of 16 cores and 32 GB, each on a machine of its own; returns their ids.
    pub fn add_workers(&mut self, service: &str, kinds: &[&str]) -> std::io::Result<Vec<String>> {
        let mut ids = Vec::new();
        for kind in kinds {
            let n = self.next_worker.fetch_add(1, Ordering::SeqCst);
            let (id, zone) = (format!("w-{n:03}"), ZONES[n % ZONES.len()]);
            let labels = vec![(*kind).to_owned(), format!("r{}-{}", n % 3 + 1, n / 4 + 1)];
            let addr = free_port(self.ip(50 + (n % 150) as u8))?;
            let machine = format!("m-{n:03}");
            self.machines.add(Machine {
                name: machine,
                pool: service.into(),
                zone: zone.into(),
                labels: labels.clone(),
                cpu: 16_000,
                mem: 32_768,
                worker: id.clone(),
                state: "up",
            });
            self.fleet.boot(WorkerSpec {
                id: id.clone(),
                service: service.into(),
                zone: zone.into(),
                labels,
                cpu: 16_000,
                mem: 32_768,
                addr,
            })?;
            ids.push(id);
        }
        Ok(ids)
    }

    /// Starts the store's and the machines' interface, and the daemons, under one config.
    pub fn run(&mut self, services: &[&str], queues: &[Queue]) -> std::io::Result<()> {
        self.configure(3, services, queues);
        let store = self.store.start(SocketAddr::new(self.ip(40), 0))?;
        let machines = self.machines.serve(SocketAddr::new(self.ip(41), 0))?;
        let (store_addr, machines_addr) = (store.addr(), machines.addr());
        self.servers.extend([store, machines]);
        for n in 1..=DAEMONS {
            let settings = self.settings(n, store_addr, machines_addr);
            let path = self.folder.join(format!("daemon-{n}.toml"));
            fs::write(&path, settings)?;
            self.spawn(n)?;
        }
        self.wait_ready()
    }

    /// Writes a config.
    pub fn configure(&self, version: u64, services: &[&str], queues: &[Queue]) {
        let routes: Vec<String> = queues
            .iter()
            .map(|q| {
                format!(
                    "{{\"name\":\"{0}\",\"host\":\"{0}.example\",\"pathPrefix\":\"/{0}/\",\"service\":\"{1}\",\"priority\":{2},\"maxAttempts\":{3},\"stretch\":1.6,\"targetLatencyMs\":600}}",
                    q.name, q.service, q.priority, q.max_attempts
                )
            })
            .collect();
        let pools: Vec<String> =
            services.iter().map(|s| format!("{{\"name\":{},\"admissionCheck\":false}}", quote(s))).collect();
        let config = format!(
            "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000}},\"tenants\":[{{\"name\":\"farm\",\"apiKeys\":[\"{KEY}\"],\"weight\":10,\"maximum\":{{}}}}]}}",
            routes.join(","),
            pools.join(",")
        );
        for queue in queues {
            self.record
                .line(&format!("operator: config {version}, {} goes to {}", queue.name, queue.service));
        }
        self.store.put("keyed.op", "config", &config);
    }

    /// Partition of a service, as a daemon has proposed it.
    pub fn partition(&self, service: &str) -> Option<u64> {
        let wanted = format!("Row {{ name: \"{service}\", partition: ");
        let logs = (1..=DAEMONS)
            .filter_map(|n| fs::read_to_string(self.folder.join(format!("daemon-{n}.log"))).ok());
        let found: Vec<String> = logs.filter_map(|log| Some(log.split_once(&wanted)?.1.to_owned())).collect();
        found.first()?.split(' ').next()?.parse().ok()
    }

    /// Number of the daemon that holds a partition.
    pub fn holder(&self, partition: u64) -> Option<u8> {
        let member = self.store.holder("keyed.shards", partition)?;
        (1..=DAEMONS).find(|n| member.starts_with(&format!("{}:", self.ip(*n))))
    }

    /// Kills a daemon.
    pub fn kill(&mut self, n: u8) {
        let daemon = &mut self.daemons[usize::from(n - 1)];
        let _ = daemon.kill();
        let _ = daemon.wait();
        self.record.line(&format!("daemon {n} is killed"));
    }

    /// Starts a daemon.
    pub fn spawn(&mut self, n: u8) -> std::io::Result<()> {
        let path = self.folder.join(format!("daemon-{n}.toml"));
        let log =
            File::options().create(true).append(true).open(self.folder.join(format!("daemon-{n}.log")))?;
        let mut command = Command::new("target/release/lagoonrelay");
        command.arg("relay").env_clear().env("LAGOONRELAY_BOOT", &path);
        for name in ["PATH", "HOME", "LANG"] {
            if let Ok(value) = std::env::var(name) {
                command.env(name, value);
            }
        }
        let child = command.stdin(Stdio::null()).stdout(log.try_clone()?).stderr(log).spawn()?;
        self.record.line(&format!("daemon {n} starts"));
        match self.daemons.get_mut(usize::from(n - 1)) {
            Some(old) => *old = child,
            None => self.daemons.push(child),
        }
        Ok(())
    }

    fn settings(&self, n: u8, store: SocketAddr, machines: SocketAddr) -> String {
        let (ip, zone) = (self.ip(n), ZONES[usize::from(n - 1) % ZONES.len()]);
        format!(
            "nodeName = \"front-{zone}-{n}\"\nrole = \"relay\"\nmachineClass = \"front\"\nserves = [\"front\"]\nip = \"{ip}\"\nzone = \"{zone}\"\nregion = \"doto\"\ninternalPortRange = [7000,7015]\nseeds = []\nbootstrap = true\ndiscovery = \"platform\"\nentry = \"virtual_ip\"\nheartbeatMs = 1500\norders = \"call\"\n\
             [listen]\nfront = \"{ip}:8340\"\nready = \"{ip}:8343\"\n\
             [limits]\ncpuShare = 0.25\ncores = 1\nmemoryMb = 260\nfileDescriptors = 4100\nlinkMbps = 1000.0\ndiskMb = 0\n\
             [bounds]\ncontactMs = 3000\ngraceS = 6\nmaxHoldMs = 10000\nstopTimeoutMs = 200\ngangTimeoutMs = 3000\ncancel_ms = 3000\nvisible_ms = 3000\nearly_ms = 250\nfinish_s = 14\nstatus_s = 120\nfarFactor = 2\nmoveS = 1.5\nmaintenanceS = 2\nfencingRequired = false\nleaseMs = 3000\n\
             [platform]\naddress = \"{store}\"\nform = \"log\"\nwritesPerS = 600\nreadsPerS = 2000\nparts = {PARTS}\nappendMs = 1.0\nrecordBytes = 262144\ncallBytes = 2097152\nkeep_s = 300\npartMb = 200\nminTtlMs = 1000\n\
             [cloudApi]\naddress = \"{machines}\"\nratePerS = 64.0\ndutyPerS = 64.0\n"
        )
    }

    fn wait_ready(&self) -> std::io::Result<()> {
        let until = Instant::now() + Duration::from_secs(20);
        for n in 1..=DAEMONS {
            let addr = SocketAddr::new(self.ip(n), 8343);
            while call(addr, "GET", "/v1/readiness", &[("Host", "x")], "", Duration::from_millis(500))
                .is_none_or(|(status, _)| status != 200)
            {
                if Instant::now() > until {
                    return Err(std::io::Error::other(format!("daemon {n} is not ready")));
                }
                thread::sleep(Duration::from_millis(100));
            }
        }
        self.record.line("all daemons are ready");
        Ok(())
    }

    fn ask(&self, method: &str, queue: &str, id: &str, body: &str) -> Option<(u16, String)> {
        let n = self.next_front.fetch_add(1, Ordering::SeqCst) as u8 % DAEMONS + 1;
        self.ask_daemon(n, method, queue, id, body)
    }

    fn ask_daemon(&self, n: u8, method: &str, queue: &str, id: &str, body: &str) -> Option<(u16, String)> {
        let (host, auth) = (format!("{queue}.example"), format!("Token {KEY}"));
        let headers = [
            ("Host", host.as_str()),
            ("Authorization", auth.as_str()),
            ("Content-Type", "application/json"),
            ("X-Deadline-Ms", "3000"),
        ];
        call(SocketAddr::new(self.ip(n), 8340), method, &format!("/{queue}/{id}"), &headers, body, DEADLINE)
    }

    /// Hands a job in, with a client's retries; true once it is accepted.
    pub fn submit(&self, queue: &str, id: &str, steps: &[Step]) -> bool {
        self.fleet.add_job(id, steps);
        let rows: Vec<String> = steps.iter().map(step_json).collect();
        let body = format!("{{\"taskSpec\":\"spec of {id}\",\"steps\":[{}]}}", rows.join(","));
        for _ in 0..TRIES {
            let answer = self.ask("POST", queue, id, &body);
            let status = answer.map(|a| a.0);
            self.record.line(&format!("client: POST {queue}/{id} {} -> {status:?}", rows.join(",")));
            if status.is_some_and(|s| (200..300).contains(&s)) {
                return true;
            }
            thread::sleep(Duration::from_millis(1_000));
        }
        false
    }

    /// Hands a job in once, at one daemon; returns the status.
    pub fn submit_at(&self, n: u8, queue: &str, id: &str, steps: &[Step]) -> Option<u16> {
        self.fleet.add_job(id, steps);
        let rows: Vec<String> = steps.iter().map(step_json).collect();
        let body = format!("{{\"taskSpec\":\"spec of {id}\",\"steps\":[{}]}}", rows.join(","));
        let status = self.ask_daemon(n, "POST", queue, id, &body).map(|a| a.0);
        self.record.line(&format!("client: POST {queue}/{id} at daemon {n} -> {status:?}"));
        status
    }

    /// State of a job as a daemon shows it.
    pub fn state(&self, queue: &str, id: &str) -> String {
        match self.ask("GET", queue, id, "") {
            Some((200, body)) => parse(body.as_bytes()).map(|b| b.text("state")).unwrap_or_default(),
            Some((status, _)) => status.to_string(),
            None => "no answer".into(),
        }
    }

    /// Waits until a job is shown in one of these states.
    pub fn wait_for(&self, queue: &str, id: &str, states: &[&str], limit: Duration) -> bool {
        let until = Instant::now() + limit;
        loop {
            let state = self.state(queue, id);
            if states.contains(&state.as_str()) {
                self.record.line(&format!("client: GET {queue}/{id} -> {state}"));
                return true;
            }
            if Instant::now() > until {
                self.record.line(&format!("client: GET {queue}/{id} -> {state} after {limit:?}"));
                return false;
            }
            thread::sleep(Duration::from_millis(100));
        }
    }

    /// Whether all daemons still run.
    pub fn daemons_run(&mut self) -> bool {
        self.daemons.iter_mut().all(|d| matches!(d.try_wait(), Ok(None)))
    }

    pub fn count_in_logs(&self, text: &str) -> usize {
        let logs = (1..=DAEMONS)
            .filter_map(|n| fs::read_to_string(self.folder.join(format!("daemon-{n}.log"))).ok());
        logs.map(|log| log.lines().filter(|l| l.contains(text)).count()).sum()
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for daemon in &mut self.daemons {
            let _ = daemon.kill();
            let _ = daemon.wait();
        }
        self.fleet.stop();
        self.servers.iter().for_each(Server::stop);
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

fn free_port(ip: IpAddr) -> std::io::Result<SocketAddr> {
    TcpListener::bind((ip, 0))?.local_addr()
}

fn step_json(step: &Step) -> String {
    let mut row = format!(
        "{{\"count\":{},\"cpu\":{},\"memMb\":{},\"estimatedMs\":{}",
        step.count, step.cpu, step.mem, step.ms
    );
    if step.gang {
        row.push_str(",\"gang\":true");
    }
    if step.lasts {
        row.push_str(",\"longRunning\":true");
    }
    if !step.label.is_empty() {
        row.push_str(&format!(",\"requirements\":{}", quote(&step.label)));
    }
    row.push('}');
    row
}
