//! A fleet on loopback: stand-ins, workers and entry hosts as processes, each link behind a proxy.
//!
//! Every fleet has its own loopback network, so fleets do not meet, and a dialer is known by its address.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use bytes::Bytes;
use edge::{Fetch, Fetcher, HostInfo, HostState, LogPage};
use http::{HeaderMap, HeaderValue, Method, header};
use serde::Serialize;
use serde_json::Value;
use standin::log::Faults;
use standin::worker::Record;

use crate::process::{LogFile, Process};
use crate::proxy::{Mode, Proxy};
use crate::until;

/// Operator key of every fleet.
pub const OPERATOR: &str = "root-operator-key";
const CALL_TIME: Duration = Duration::from_secs(15);
const CLOCK_TICKS_PER_SECOND: f64 = 100.0;
const CALLERS_PORT: u16 = 7001;
const ADMIN_PORT: u16 = 7002;
const PEER_PORT: u16 = 7003;
const LOG_PORT: u16 = 7004;
const WORKER_PORT: u16 = 7005;
const ENTRY_BASE: u8 = 10;
const ENTRY_PROXY_BASE: u8 = 30;
const WORKER_BASE: u8 = 50;
const WORKER_PROXY_BASE: u8 = 150;

static NEXT_NETWORK: AtomicU32 = AtomicU32::new(0);

/// What a fleet is made of.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Program under test.
    pub program: PathBuf,
    /// Entry hosts.
    pub entries: u8,
    /// Workers; worker `n` is in zone `n` modulo the zones.
    pub workers: u8,
    /// Availability zones.
    pub zones: u8,
    /// Slots of each worker.
    pub slots: u32,
    /// More workers that are listed and never run.
    pub listed: u16,
    /// More settings of entry hosts, as JSON members that end with a comma.
    pub extra: String,
}

impl Plan {
    /// Three entry hosts, six workers with eight slots, three zones.
    #[must_use]
    pub fn new(program: &Path) -> Self {
        Self {
            program: program.to_owned(),
            entries: 3,
            workers: 6,
            zones: 3,
            slots: 8,
            listed: 0,
            extra: String::new(),
        }
    }
}

/// One entry host.
#[derive(Debug)]
pub struct EntryHost {
    /// Its process; none while it is down.
    pub process: Option<Process>,
    /// In front of its peer address.
    pub peer_proxy: Proxy,
    /// Between it and the log.
    pub log_proxy: Proxy,
    ip: IpAddr,
    settings: PathBuf,
}

/// One worker.
#[derive(Debug)]
pub struct Worker {
    /// Its process; none while it is down.
    pub process: Option<Process>,
    /// In front of it.
    pub proxy: Proxy,
    /// Its entry in the host list.
    pub info: HostInfo,
    addr: SocketAddr,
}

/// A running fleet.
#[derive(Debug)]
pub struct Fleet {
    plan: Plan,
    network: [u8; 3],
    dir: PathBuf,
    /// Entry hosts by number.
    pub entries: Vec<EntryHost>,
    /// Workers by number.
    pub workers: Vec<Worker>,
    platform: Vec<Process>,
    http: Fetcher,
}

impl Fleet {
    /// Starts a fleet and waits until its entry hosts are ready and vote on claims.
    ///
    /// # Panics
    /// When a process cannot be started or is never ready.
    pub async fn start(plan: Plan) -> Self {
        let mut fleet = Self::empty(plan);
        fleet.start_platform().await;
        for number in 0..fleet.plan.workers {
            fleet.add_worker(number).await;
        }
        fleet.put_list().await;
        for number in 0..fleet.plan.entries {
            fleet.add_entry(number).await;
        }
        for number in 0..fleet.entries.len() {
            fleet.wait_ready(number).await;
        }
        fleet
    }

    fn empty(plan: Plan) -> Self {
        let id =
            std::process::id().wrapping_mul(16).wrapping_add(NEXT_NETWORK.fetch_add(1, Ordering::SeqCst));
        let [_, _, high, low] = id.to_be_bytes();
        let network = [127, high.clamp(1, 254), low];
        let dir = std::env::temp_dir().join(format!("lagoonrelay-{}-{high}-{low}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("a folder for settings and logs");
        Self {
            plan,
            network,
            dir,
            entries: vec![],
            workers: vec![],
            platform: vec![],
            http: Fetcher::default(),
        }
    }

    fn ip(&self, last: u8) -> IpAddr {
        let [a, b, c] = self.network;
        IpAddr::V4(Ipv4Addr::new(a, b, c, last))
    }

    fn at(&self, last: u8, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip(last), port)
    }

    fn log_addr(&self) -> SocketAddr {
        self.at(2, LOG_PORT)
    }

    fn list_addr(&self) -> SocketAddr {
        self.at(3, LOG_PORT)
    }

    fn spawn(&self, name: &str, args: &[&str]) -> Process {
        let log = LogFile(self.dir.join(format!("{name}.log")));
        Process::start(&self.plan.program, args, &log).expect("the program under test")
    }

    fn spawn_standin(&self, kind: &str, name: &str, addr: SocketAddr) -> Process {
        let slots = self.plan.slots.to_string();
        self.spawn(name, &["standin", kind, "--listen", &addr.to_string(), "--slots", &slots])
    }

    async fn start_platform(&mut self) {
        let (log, list) = (self.log_addr(), self.list_addr());
        self.platform.push(self.spawn_standin("log", "log", log));
        self.platform.push(self.spawn_standin("list", "list", list));
        self.wait_answer(log, "/read?from=0&max=1").await;
        self.wait_answer(list, "/hosts").await;
    }

    /// Ends the host list.
    pub fn stop_list(&mut self) {
        self.platform.truncate(1);
    }

    /// Starts the host list again.
    pub async fn start_list(&mut self) {
        let list = self.list_addr();
        self.platform.push(self.spawn_standin("list", "list", list));
        self.wait_answer(list, "/hosts").await;
        self.put_list().await;
    }

    async fn add_worker(&mut self, number: u8) {
        let (addr, front) =
            (self.at(WORKER_BASE + number, WORKER_PORT), self.at(WORKER_PROXY_BASE + number, WORKER_PORT));
        let process = self.spawn_standin("worker", &format!("w{number}"), addr);
        let proxy = Proxy::start(front, addr).await.expect("a free loopback address");
        let zone = format!("z{}", number % self.plan.zones);
        let info = HostInfo {
            name: format!("w{number}"),
            addr: front.to_string(),
            rack: format!("{zone}-r{}", number / (self.plan.zones * 4)),
            zone,
            slots: self.plan.slots,
            state: HostState::Live,
        };
        self.wait_answer(addr, "/usage").await;
        self.workers.push(Worker { process: Some(process), proxy, info, addr });
    }

    async fn add_entry(&mut self, number: u8) {
        let ip = self.ip(ENTRY_BASE + number);
        let front = ENTRY_PROXY_BASE + number;
        let peer = SocketAddr::new(ip, PEER_PORT);
        let peer_proxy =
            Proxy::start(self.at(front, PEER_PORT), peer).await.expect("a free loopback address");
        let log_proxy =
            Proxy::start(self.at(front, LOG_PORT), self.log_addr()).await.expect("a free address");
        let settings = self.dir.join(format!("e{number}.json"));
        let text = format!(
            r#"{{ // written by the harness
            name: "e{number}", zone: "z{zone}", callers: "{ip}:{CALLERS_PORT}", admin: "{ip}:{ADMIN_PORT}",
            peer: "{peer}", advertise: "{advertise}", log: "{log}", list: "{list}", {extra}
            secret: "harness-secret", operator: "{OPERATOR}" }}"#,
            zone = number % self.plan.zones,
            advertise = self.at(front, PEER_PORT),
            log = self.at(front, LOG_PORT),
            list = self.list_addr(),
            extra = self.plan.extra,
        );
        std::fs::write(&settings, text).expect("a folder for settings");
        self.entries.push(EntryHost { process: None, peer_proxy, log_proxy, ip, settings });
        self.start_entry(usize::from(number));
    }

    /// Starts an entry host that is down.
    pub fn start_entry(&mut self, number: usize) {
        let settings = self.entries[number].settings.clone();
        let process = self.spawn(&format!("e{number}"), &["serve", &settings.to_string_lossy()]);
        self.entries[number].process = Some(process);
    }

    /// Restarts a worker; it forgets all that it ran.
    pub async fn restart_worker(&mut self, number: usize) {
        let addr = self.workers[number].addr;
        self.workers[number].process = None;
        self.workers[number].process = Some(self.spawn_standin("worker", &format!("w{number}"), addr));
        self.wait_answer(addr, "/usage").await;
    }

    /// Empties the host list.
    ///
    /// # Panics
    /// When the stand-in does not take it.
    pub async fn empty_list(&self) {
        self.tell(self.list_addr(), Method::PUT, "/hosts", &Vec::<HostInfo>::new()).await;
    }

    /// Writes the host list.
    ///
    /// # Panics
    /// When the stand-in does not take it.
    pub async fn put_list(&self) {
        let mut infos: Vec<HostInfo> = self.workers.iter().map(|w| w.info.clone()).collect();
        infos.extend((0..self.plan.listed).map(|n| self.listed_host(n)));
        self.tell(self.list_addr(), Method::PUT, "/hosts", &infos).await;
    }

    /// Sends a value to a stand-in, which must take it.
    async fn tell(&self, addr: SocketAddr, method: Method, path: &str, value: &impl Serialize) {
        let json = HeaderValue::from_static("application/json");
        let headers = HeaderMap::from_iter([(header::CONTENT_TYPE, json)]);
        let body = Bytes::from(serde_json::to_vec(value).expect("JSON"));
        let addr = addr.to_string();
        let call = Fetch { method, headers, ..Fetch::post(&addr, path, body, CALL_TIME) };
        let done = self.http.fetch(call).await.expect("a stand-in that is up");
        assert!(done.status.is_success(), "{path} is not taken: {}", done.status);
    }

    /// A worker that is listed and never run.
    fn listed_host(&self, number: u16) -> HostInfo {
        let zone = format!("z{}", number % u16::from(self.plan.zones));
        HostInfo {
            name: format!("listed-{number}"),
            addr: self.at(4, WORKER_PORT).to_string(),
            rack: format!("{zone}-r{}", number / 4),
            zone,
            slots: self.plan.slots,
            state: HostState::Live,
        }
    }

    async fn wait_answer(&self, addr: SocketAddr, path: &str) {
        let addr = addr.to_string();
        let http = Fetcher::unpooled();
        until(&format!("{addr}{path}"), || async {
            http.fetch(Fetch::get(&addr, path, CALL_TIME)).await.is_ok_and(|done| done.status.is_success())
        })
        .await;
    }

    /// Waits until an entry host starts work and votes on claims.
    pub async fn wait_ready(&self, number: usize) {
        let name = format!("entry host {number} ready");
        until(&name, || async {
            let Ok(Some(row)) = self.query(number, "show status").await.map(|rows| rows.into_iter().next())
            else {
                return false;
            };
            row["starts_work"] == true && row["votes"] == true
        })
        .await;
    }

    /// Address for callers of an entry host.
    #[must_use]
    pub fn callers(&self, number: usize) -> String {
        SocketAddr::new(self.entries[number].ip, CALLERS_PORT).to_string()
    }

    /// Address for operators of an entry host.
    #[must_use]
    pub fn admin(&self, number: usize) -> String {
        SocketAddr::new(self.entries[number].ip, ADMIN_PORT).to_string()
    }

    /// Sends one line to an entry host; yields the JSON answer or the fault.
    ///
    /// # Errors
    /// The words of a refusal, or of a failed call.
    pub async fn send(&self, number: usize, line: &str) -> Result<Value, String> {
        let addr = self.admin(number);
        let value = HeaderValue::from_str(&format!("Bearer {OPERATOR}")).expect("a header value");
        let headers = HeaderMap::from_iter([(header::AUTHORIZATION, value)]);
        let call =
            Fetch { headers, ..Fetch::post(&addr, "/command", Bytes::from(line.to_owned()), CALL_TIME) };
        let done = Fetcher::unpooled().fetch(call).await.map_err(|fault| fault.to_string())?;
        serde_json::from_slice(&done.body).map_err(|_| String::from_utf8_lossy(&done.body).into_owned())
    }

    /// Rows of a query.
    ///
    /// # Errors
    /// The words of a failed call.
    pub async fn query(&self, number: usize, line: &str) -> Result<Vec<Value>, String> {
        let answer = self.send(number, line).await?;
        Ok(answer["rows"].as_array().cloned().unwrap_or_default())
    }

    /// Sends a command that must be accepted.
    ///
    /// # Panics
    /// When it is not.
    pub async fn order(&self, number: usize, line: &str) {
        let answer = self.send(number, line).await;
        let result = answer.as_ref().ok().and_then(|a| a["result"].as_str());
        assert_eq!(result, Some("accepted"), "{line}: {answer:?}");
    }

    /// Sends commands, many at a time, that must all be accepted.
    ///
    /// # Panics
    /// When one is not.
    pub async fn order_many(&self, number: usize, lines: &[String]) {
        for chunk in lines.chunks(64) {
            futures_util::future::join_all(chunk.iter().map(|line| self.order(number, line))).await;
        }
    }

    /// Processor time of an entry host so far, in seconds.
    ///
    /// # Panics
    /// When it is down.
    #[must_use]
    pub fn cpu_seconds(&self, number: usize) -> f64 {
        let stat = self.proc_file(number, "stat");
        let fields: Vec<&str> = stat.rsplit(") ").next().unwrap_or_default().split(' ').collect();
        let ticks = |n: usize| fields.get(n).and_then(|f| f.parse::<f64>().ok()).unwrap_or(0.0);
        (ticks(11) + ticks(12)) / CLOCK_TICKS_PER_SECOND
    }

    /// Resident memory of an entry host in megabytes.
    ///
    /// # Panics
    /// When it is down.
    #[must_use]
    pub fn memory_mb(&self, number: usize) -> f64 {
        let status = self.proc_file(number, "status");
        let line = status.lines().find(|l| l.starts_with("VmRSS:")).unwrap_or_default();
        let kb = line.split_whitespace().nth(1).and_then(|n| n.parse::<f64>().ok());
        kb.unwrap_or(0.0) / 1024.0
    }

    fn proc_file(&self, number: usize, name: &str) -> String {
        let id = self.entries[number].process.as_ref().expect("a host that is up").id();
        std::fs::read_to_string(format!("/proc/{id}/{name}")).unwrap_or_default()
    }

    /// Size of the tables as a checkpoint, folded here from the log.
    pub async fn state_bytes(&self) -> usize {
        let mut tables = fold::Tables::default();
        for raw in self.log_records().await.entries {
            match serde_json::from_str(&raw.data) {
                Ok(entry) => drop(tables.apply(&entry)),
                Err(_) => tables.skip_entry(),
            }
        }
        serde_json::to_string(&tables).map_or(0, |text| text.len())
    }

    /// Address of a worker without its proxy.
    #[must_use]
    pub fn worker_addr(&self, number: usize) -> String {
        self.workers[number].addr.to_string()
    }

    /// One pool of all workers, queue `quotes`, and teams with shares, limits and keys named after them.
    pub async fn set_up(&self, teams: &[(&str, u32, u32)], budget: u32) {
        self.order(0, &format!("set pool main budget {budget}")).await;
        for worker in &self.workers {
            self.order(0, &format!("assign host {} pool main", worker.info.name)).await;
        }
        self.order(0, "set queue quotes pool main").await;
        for (team, share, limit) in teams {
            self.order(0, &format!("set team {team} share {share} limit {limit}")).await;
            self.order(0, &format!("grant key {team} secret {team}-secret team {team}")).await;
        }
    }

    /// Cuts two entry hosts off from each other, or heals that.
    pub fn set_between(&self, a: usize, b: usize, mode: Mode) {
        self.entries[a].peer_proxy.set_for(self.entries[b].ip, mode);
        self.entries[b].peer_proxy.set_for(self.entries[a].ip, mode);
    }

    /// Sets the mode between one entry host and everything it agrees through: peers and log.
    pub fn set_around(&self, number: usize, mode: Mode) {
        for other in (0..self.entries.len()).filter(|o| *o != number) {
            self.set_between(number, other, mode);
        }
        self.entries[number].log_proxy.set(mode);
    }

    /// Tells the log how to misbehave.
    ///
    /// # Panics
    /// When the stand-in does not take it.
    pub async fn misbehave(&self, state: Faults) {
        self.tell(self.log_addr(), Method::POST, "/misbehave", &state).await;
    }

    /// Makes the log forget everything before an offset.
    ///
    /// # Panics
    /// When the stand-in does not take it.
    pub async fn trim(&self, horizon: u64) {
        let addr = self.log_addr().to_string();
        let path = format!("/trim?horizon={horizon}");
        let done =
            self.http.fetch(Fetch::post(&addr, &path, Bytes::new(), CALL_TIME)).await.expect("log stand-in");
        assert!(done.status.is_success(), "trim is not taken: {}", done.status);
    }

    /// All records on the log.
    ///
    /// # Panics
    /// When the log does not answer.
    pub async fn log_records(&self) -> LogPage {
        let addr = self.log_addr().to_string();
        let done = self.http.fetch(Fetch::get(&addr, "/read?from=0&max=1000000", CALL_TIME)).await;
        serde_json::from_slice(&done.expect("log stand-in").body).expect("a page")
    }

    /// What a worker has run, asked without the proxy.
    ///
    /// # Panics
    /// When the worker does not answer.
    pub async fn records(&self, number: usize) -> Vec<Record> {
        let addr = self.workers[number].addr.to_string();
        let done = self.http.fetch(Fetch::get(&addr, "/record", CALL_TIME)).await.expect("a worker");
        serde_json::from_slice(&done.body).expect("records")
    }

    /// What all workers that are up have run.
    pub async fn all_records(&self) -> Vec<Record> {
        let mut all = Vec::new();
        for number in (0..self.workers.len()).filter(|n| self.workers[*n].process.is_some()) {
            all.extend(self.records(number).await);
        }
        all
    }

    /// Sets a worker's mood.
    ///
    /// # Panics
    /// When the worker does not take it.
    pub async fn set_mood(&self, number: usize, mood: standin::worker::FaultMode) {
        self.tell(self.workers[number].addr, Method::POST, "/mood", &mood).await;
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.entries.clear();
        self.workers.clear();
        self.platform.clear();
        if !std::thread::panicking() {
            let _ = std::fs::remove_dir_all(&self.dir);
        }
    }
}
