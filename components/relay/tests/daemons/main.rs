//! Daemons on loopback around a store, workers and machines in memory.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use edge::{Call, Fault};
use googletest::prelude::*;
use parking_lot::Mutex;
use relay::edge::{
    Appended, Changes, Document, Items, Look, Looked, Machines, Ordered, Orders, Share, Store,
};
use relay::{Customer, Node, Outcome, Parts, Pool, Queue, Role, Setup, steady_ms};
use shard::{EndRow, How, JobSpec, JobState, Limits, Record, Report, Res, RunName, RunRow, StartOrder};
use shard::{StartReply, StepSpec, WorkerInfo};
use tokio::net::TcpListener;

const PARTS: u32 = 4;
const WORK_MS: u64 = 60;
const LIMITS: Limits = Limits {
    lease: 5_000,
    overlap: 1_500,
    look: 200,
    answer: 500,
    stalled: 400,
    stop_again: 400,
    keep: 120_000,
};
const WITHIN: Duration = Duration::from_secs(2);

/// The platform in memory: a log with a group, and workers.
#[derive(Debug, Default)]
struct Platform {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    generation: u64,
    members: BTreeMap<String, (u64, Role)>,
    partitions: HashMap<u32, BTreeMap<String, Vec<u8>>>,
    epochs: HashMap<u32, (u64, u64)>,
    /// Members that the store turns away.
    turned_away: HashSet<String>,
    version: u64,
    workers: HashMap<String, Worker>,
    starts: Vec<(String, u32)>,
    /// Members that have read the list of workers.
    readers: HashSet<String>,
}

#[derive(Debug, Default)]
struct Worker {
    fence: u64,
    running: BTreeMap<String, (u32, u64)>,
    ended: Vec<EndRow>,
    ends: u64,
}

impl Worker {
    fn work_on(&mut self, now: u64) {
        let over: Vec<String> =
            self.running.iter().filter(|(_, (_, at))| now >= at + WORK_MS).map(|(n, _)| n.clone()).collect();
        for task in over {
            let Some((run, _)) = self.running.remove(&task) else { continue };
            self.ends += 1;
            let name = RunName::parse(&task).expect("name of a run");
            self.ended.push(EndRow { number: self.ends, name, run, how: How::Done, saved: String::new() });
        }
    }
}

impl State {
    /// Deals the partitions out evenly over the members that live.
    fn share(&self, member: &str) -> Share {
        let names = self.owners();
        let mine = |p: &u32| names.get(*p as usize % names.len().max(1)).is_some_and(|n| *n == member);
        Share { generation: self.generation, parts: (0..PARTS).filter(mine).collect() }
    }

    fn owners(&self) -> Vec<&String> {
        self.members.iter().filter(|(_, (_, role))| *role == Role::Owner).map(|(name, _)| name).collect()
    }

    fn expire(&mut self) {
        let now = steady_ms();
        let before = self.members.len();
        self.members.retain(|_, (until, _)| *until > now);
        self.generation += u64::from(self.members.len() != before);
    }
}

/// One daemon's way to the store.
#[derive(Debug)]
struct Way {
    platform: Arc<Platform>,
    member: String,
}

impl Way {
    fn open(&self) -> std::result::Result<parking_lot::MutexGuard<'_, State>, Fault> {
        let state = self.platform.state.lock();
        if state.turned_away.contains(&self.member) {
            return Err(Fault::not_run("turned away"));
        }
        Ok(state)
    }
}

impl Store for Way {
    fn join<'a>(&'a self, member: &'a str, _generation: u64, role: Role) -> Call<'a, Share> {
        Box::pin(async move {
            let mut state = self.open()?;
            state.expire();
            let until = steady_ms() + relay::TTL_MS;
            let before = state.members.insert(member.to_owned(), (until, role));
            state.generation += u64::from(before.is_none_or(|(_, r)| r != role));
            Ok(state.share(member))
        })
    }

    fn leave<'a>(&'a self, member: &'a str) -> Call<'a, ()> {
        Box::pin(async move {
            let mut state = self.open()?;
            if state.members.remove(member).is_some() {
                state.generation += 1;
            }
            Ok(())
        })
    }

    fn owners(&self) -> Call<'_, Vec<(u32, Option<String>)>> {
        Box::pin(async move {
            let mut state = self.open()?;
            state.expire();
            let names = state.owners();
            let owner = |p: u32| names.get(p as usize % names.len().max(1)).map(|n| (*n).clone());
            Ok((0..PARTS).map(|p| (p, owner(p))).collect())
        })
    }

    fn append<'a>(
        &'a self,
        part: u32,
        epoch: u64,
        sequence: u64,
        records: &'a [Record],
    ) -> Call<'a, Appended> {
        Box::pin(async move {
            let mut state = self.open()?;
            let (last, next) = state.epochs.get(&part).copied().unwrap_or_default();
            if epoch < last {
                return Ok(Appended::Fenced);
            }
            if epoch == last && sequence != next {
                return Ok(Appended::Sequence(next));
            }
            state.epochs.insert(part, (epoch, sequence + 1));
            let table = state.partitions.entry(part).or_default();
            for record in records {
                match &record.value {
                    Some(value) => drop(table.insert(record.key.clone(), value.clone())),
                    None => drop(table.remove(&record.key)),
                }
            }
            Ok(Appended::Stored)
        })
    }

    fn load(&self, part: u32) -> Call<'_, Items> {
        Box::pin(async move {
            let state = self.open()?;
            let table = state.partitions.get(&part).cloned().unwrap_or_default();
            Ok(table.into_iter().collect())
        })
    }

    fn operator(&self, from: Option<u64>) -> Call<'_, Changes<Document>> {
        Box::pin(async move {
            let version = self.open()?.version;
            if from == Some(version) {
                tokio::time::sleep(Duration::from_millis(20)).await;
                return Ok(Changes { next: version, whole: false, items: Vec::new() });
            }
            let document = Document::Setup(setup(version));
            Ok(Changes { next: version, whole: true, items: vec![("config".into(), Some(document))] })
        })
    }

    fn show_wave(&self, _wave: u64, _complete: bool) -> Call<'_, ()> {
        Box::pin(async move { Ok(()) })
    }

    fn workers(&self, _from: Option<u64>) -> Call<'_, Changes<WorkerInfo>> {
        Box::pin(async move {
            let mut state = self.open()?;
            state.readers.insert(self.member.clone());
            let items = state.workers.keys().map(|id| (id.clone(), Some(info(id)))).collect();
            Ok(Changes { next: 1, whole: true, items })
        })
    }
}

impl Orders for Way {
    fn start<'a>(&'a self, order: &'a StartOrder, fence: u64) -> Call<'a, StartReply> {
        Box::pin(async move {
            let mut state = self.platform.state.lock();
            let name = order.name.to_string();
            let worker = state.workers.get_mut(&order.worker).expect("known worker");
            if worker.fence > fence {
                return Ok(StartReply::Fenced);
            }
            worker.fence = fence;
            worker.running.insert(name.clone(), (order.run, steady_ms()));
            state.starts.push((name, order.run));
            Ok(StartReply::Running)
        })
    }

    fn stop<'a>(
        &'a self,
        worker: &'a str,
        _: &'a str,
        (task, _): (&'a str, u32),
        fence: u64,
    ) -> Call<'a, bool> {
        Box::pin(async move {
            let mut state = self.platform.state.lock();
            let worker = state.workers.get_mut(worker).expect("known worker");
            worker.running.remove(task);
            Ok(worker.fence <= fence)
        })
    }

    fn pace<'a>(&'a self, _: &'a str, _: &'a str, _: (&'a str, u32), _: u32, _: u64) -> Call<'a, ()> {
        Box::pin(async move { Ok(()) })
    }

    fn look<'a>(&'a self, look: Look<'a>) -> Call<'a, Looked> {
        Box::pin(async move {
            let end = steady_ms() + look.wait;
            loop {
                let now = steady_ms();
                {
                    let mut state = self.platform.state.lock();
                    let worker = state.workers.get_mut(look.worker).expect("known worker");
                    if worker.fence > look.fence {
                        return Ok(Looked::Fenced);
                    }
                    worker.fence = look.fence;
                    worker.ended.retain(|e| e.number > look.seen);
                    worker.work_on(now);
                    if now >= end || !worker.ended.is_empty() {
                        return Ok(Looked::Report(report(worker, now)));
                    }
                }
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        })
    }
}

impl Machines for Way {
    fn list(&self) -> Call<'_, Vec<upkeep::Machine>> {
        Box::pin(async move { Ok(Vec::new()) })
    }

    fn shift<'a>(&'a self, _: &'a str, _: &'a str, _: &'a str, _: u64) -> Call<'a, Ordered> {
        Box::pin(async move { Ok(Ordered::Refused) })
    }

    fn maintain<'a>(&'a self, _: &'a str, _: u64, _: &'a str, _: u64) -> Call<'a, Ordered> {
        Box::pin(async move { Ok(Ordered::Refused) })
    }
}

fn report(worker: &Worker, now: u64) -> Report {
    let row = |(name, (run, at)): (&String, &(u32, u64))| RunRow {
        name: RunName::parse(name).expect("name of a run"),
        run: *run,
        saved: String::new(),
        percent: u32::try_from((now - at) * 100 / WORK_MS).unwrap_or(99).min(99),
        figure: 0,
    };
    Report {
        born: 1,
        clock: now,
        running: worker.running.iter().map(row).collect(),
        ended: worker.ended.clone(),
    }
}

fn info(id: &str) -> WorkerInfo {
    WorkerInfo {
        id: id.into(),
        addr: "127.0.0.1:1".into(),
        service: "quotes".into(),
        zone: "z1".into(),
        labels: Vec::new(),
        room: Res { cpu: 4_000, mem: 4_000, gpu: 0 },
        ready: true,
    }
}

fn setup(version: u64) -> Setup {
    Setup {
        version,
        queues: vec![Queue { name: "q".into(), service: "quotes".into(), attempts: 3, ..Queue::default() }],
        pools: vec![Pool { name: "quotes".into(), spare: false }],
        customers: vec![Customer {
            name: "acme".into(),
            limit: Res { cpu: 8_000, mem: 8_000, gpu: 0 },
            ..Customer::default()
        }],
        ..Setup::default()
    }
}

fn job(n: usize) -> JobSpec {
    JobSpec {
        id: format!("{n:016x}"),
        queue: "q".into(),
        service: "quotes".into(),
        tenant: "acme".into(),
        steps: vec![StepSpec { count: 2, cpu: 500, mem: 10, estimate: WORK_MS, ..StepSpec::default() }],
        attempts: 3,
        stretch: 2.0,
        target: 1_000,
        ..JobSpec::default()
    }
}

struct Daemon {
    node: Arc<Node>,
    member: String,
}

async fn fleet(daemons: usize) -> (Arc<Platform>, Vec<Daemon>) {
    let platform = Arc::new(Platform::default());
    {
        let mut state = platform.state.lock();
        state.version = 1;
        state.workers = (0..2).map(|n| (format!("w{n}"), Worker::default())).collect();
    }
    let mut nodes = Vec::new();
    for n in 0..daemons {
        nodes.push(daemon(&platform, n, true).await);
    }
    (platform, nodes)
}

async fn role_taken(platform: &Platform, member: &str, role: Role) {
    until("a role taken", || async {
        platform.state.lock().members.get(member).is_some_and(|(_, r)| *r == role)
    })
    .await;
}

async fn daemon(platform: &Arc<Platform>, n: usize, strong: bool) -> Daemon {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let mesh: SocketAddr = listener.local_addr().expect("an address");
    let member = if strong { mesh.to_string() } else { format!("{mesh}/standby") };
    let way = Arc::new(Way { platform: Arc::clone(platform), member: member.clone() });
    let parts = Parts {
        name: format!("e{n}"),
        mesh,
        store: Arc::clone(&way) as Arc<dyn Store>,
        orders: Arc::clone(&way) as Arc<dyn Orders>,
        machines: way,
        limits: LIMITS,
        duty_lease: 3_000,
        move_time: 1_500,
        duty_rate: 64.0,
        parts: PARTS,
        strong,
    };
    Daemon { node: Node::start(parts, listener), member }
}

/// Tries until the answer is the wanted one; a minute is far beyond any step of these tests.
async fn until<F: Future<Output = bool>>(what: &str, mut holds: impl FnMut() -> F) {
    for _ in 0..1_200 {
        if holds().await {
            return;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    panic!("never saw: {what}");
}

async fn submitted(node: &Node, n: usize) {
    until("a job accepted", || async { node.submit(job(n), WITHIN).await == Outcome::Done }).await;
}

async fn completed(node: &Node, n: usize) {
    let id = format!("{n:016x}");
    let done = Outcome::State(JobState::Completed);
    until("a job completed", || async { node.state("quotes", &id, WITHIN).await == done }).await;
}

/// The daemon that owns the shard of the service.
fn owner<'a>(platform: &Platform, daemons: &'a [Daemon]) -> &'a Daemon {
    let part = setup(1).parts(PARTS - 1)["quotes"];
    let state = platform.state.lock();
    daemons.iter().find(|d| state.share(&d.member).parts.contains(&part)).expect("an owner")
}

#[tokio::test]
async fn a_job_is_served_through_any_daemon() {
    let (platform, daemons) = fleet(3).await;
    for (n, daemon) in daemons.iter().enumerate() {
        submitted(&daemon.node, n).await;
    }
    for n in 0..3 {
        completed(&daemons[(n + 1) % 3].node, n).await;
    }
    let starts = platform.state.lock().starts.clone();
    assert_that!(starts.len(), eq(6), "{starts:?}");
}

#[tokio::test]
async fn an_unknown_job_is_told_as_such_by_its_owner() {
    let (_platform, daemons) = fleet(2).await;
    submitted(&daemons[0].node, 1).await;
    let node = &daemons[1].node;
    until("an answer", || async {
        node.state("quotes", "00000000000000ff", WITHIN).await == Outcome::Unknown
    })
    .await;
}

#[tokio::test]
async fn a_daemon_that_drains_hands_its_shard_over_and_still_answers() {
    let (platform, daemons) = fleet(3).await;
    submitted(&daemons[0].node, 1).await;
    let leaving = owner(&platform, &daemons);
    leaving.node.drain(Duration::from_secs(60));
    assert_that!(leaving.node.ready(), eq(false));
    submitted(&leaving.node, 2).await;
    completed(&leaving.node, 1).await;
    completed(&leaving.node, 2).await;
    assert_that!(platform.state.lock().starts.len(), eq(4));
}

#[tokio::test]
async fn an_owner_that_the_store_turns_away_is_replaced_and_tells_no_falsehood() {
    let (platform, daemons) = fleet(3).await;
    submitted(&daemons[0].node, 1).await;
    let lost = owner(&platform, &daemons);
    platform.state.lock().turned_away.insert(lost.member.clone());
    let other = daemons.iter().find(|d| d.member != lost.member).expect("another daemon");
    submitted(&other.node, 2).await;
    completed(&other.node, 2).await;
    // The old owner knows nothing of the second job, and must not say that there is none.
    for _ in 0..20 {
        let told = lost.node.cancel("quotes", &format!("{:016x}", 2), Duration::from_millis(200)).await;
        assert_that!(told, not(eq(Outcome::Unknown)));
    }
}

#[tokio::test]
async fn a_daemon_that_the_store_turns_away_learns_of_a_new_configuration() {
    let (platform, daemons) = fleet(3).await;
    for daemon in &daemons {
        until("a configuration", || async { daemon.node.setup().is_some() }).await;
        submitted(&daemon.node, 1).await;
    }
    let lost = &daemons[0];
    until("another daemon known", || async { !lost.node.peers().is_empty() }).await;
    {
        let mut state = platform.state.lock();
        state.turned_away.insert(lost.member.clone());
        state.version = 2;
    }
    until("the new version", || async { lost.node.setup().is_some_and(|s| s.version == 2) }).await;
}

#[tokio::test]
async fn jobs_outlive_the_loss_of_all_daemons() {
    let (platform, daemons) = fleet(2).await;
    for n in 0..4 {
        submitted(&daemons[0].node, n).await;
    }
    {
        let mut state = platform.state.lock();
        for daemon in &daemons {
            state.turned_away.insert(daemon.member.clone());
        }
    }
    let next = daemon(&platform, 9, true).await;
    for n in 0..4 {
        completed(&next.node, n).await;
    }
    let state = platform.state.lock();
    let done: HashSet<&String> = state.starts.iter().map(|(name, _)| name).collect();
    assert_that!(done.len(), eq(8));
}

#[tokio::test]
async fn a_daemon_on_a_small_host_takes_shards_only_while_no_strong_one_lives() {
    let (platform, strong) = fleet(1).await;
    submitted(&strong[0].node, 1).await;
    let weak = daemon(&platform, 8, false).await;
    role_taken(&platform, &weak.member, Role::Standby).await;
    submitted(&weak.node, 2).await;
    completed(&weak.node, 2).await;
    assert_that!(platform.state.lock().readers, unordered_elements_are![&strong[0].member]);
    platform.state.lock().turned_away.insert(strong[0].member.clone());
    role_taken(&platform, &weak.member, Role::Owner).await;
    submitted(&weak.node, 3).await;
    completed(&weak.node, 3).await;
    assert_that!(platform.state.lock().readers, contains(eq(&weak.member)));
    platform.state.lock().turned_away.clear();
    role_taken(&platform, &weak.member, Role::Standby).await;
    completed(&strong[0].node, 3).await;
}
