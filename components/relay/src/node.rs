//! One daemon: its parts, and what callers may ask of it.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use capacity::PoolLoad;
use parking_lot::Mutex;
use rights::Broker;
use shard::{JobSpec, JobState, Limits};
use tokio::net::TcpListener;
use tokio::sync::{Notify, watch};
use tokio::time::Instant;

use crate::clock::steady_ms;
use crate::duty::Duty;
use crate::edge::{Machines, Orders, Store};
use crate::member::{self, Standing};
use crate::mesh::{self, Mesh, MeshFault};
use crate::owner::{Owner, Surroundings};
use crate::reply::{Ask, Kind, LoadAsk, LoadRow, Reply, RightsReport, Want};
use crate::roster::{self, Roster};
use crate::setup::Setup;
use crate::standby::{self, Role, Standby};
use crate::watch::{self as documents, Wishes};

/// Pause between two tries to reach a shard's owner.
const TRY_AGAIN: Duration = Duration::from_millis(60);
/// Shortest pause between two reads of the owners.
const OWNERS_EVERY: Duration = Duration::from_millis(250);
/// Time for which an owner that cannot be reached is looked for, before the call is refused. A change of owner
/// takes longer, so waiting on would only hold the caller back.
const PATIENCE: Duration = Duration::from_millis(300);
/// Pause between questions to other daemons while the store does not answer.
const HEAR_EVERY: Duration = Duration::from_millis(200);
/// Time in which another daemon answers such a question.
const HEAR_ANSWER: Duration = Duration::from_millis(200);
/// Most daemons that are remembered; replaced ones stay until the process ends.
const MOST_KNOWN: usize = 1_024;
/// Time for one try at another daemon, within a caller's time.
const ONE_TRY: Duration = Duration::from_millis(700);

/// Epochs in one generation of the group: a daemon may take the same shard over more than once in it.
pub(crate) const EPOCHS: u64 = 64;

/// What a daemon is made of.
#[derive(Debug)]
pub struct Parts {
    /// Name, for logs.
    pub name: String,
    /// Address at which other daemons reach this one.
    pub mesh: SocketAddr,
    /// The platform's store.
    pub store: Arc<dyn Store>,
    /// Orders to workers.
    pub orders: Arc<dyn Orders>,
    /// The platform's machines.
    pub machines: Arc<dyn Machines>,
    /// Bounds.
    pub limits: Limits,
    /// Milliseconds between orders of two holders for one machine.
    pub duty_lease: u64,
    /// Milliseconds that a machine takes to join another pool.
    pub move_time: u64,
    /// Orders for machines that the platform takes in a second.
    pub duty_rate: f64,
    /// Partitions of the shards' topic; the last one carries the duty of maintenance.
    pub parts: u32,
    /// Carries shards whenever it runs; others stand by while such daemons do.
    pub strong: bool,
}

/// Answer to a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Done and stored.
    Done,
    /// Not done, and never will be.
    Refused,
    /// Unknown whether it was done.
    Unsure,
    /// No such job.
    Unknown,
    /// State of the job.
    State(JobState),
    /// Number of waiting jobs.
    Count(u64),
}

/// A running daemon.
#[derive(Debug)]
pub struct Node {
    parts: Parts,
    mesh: Mesh,
    /// Daemons that have asked this one.
    known: Mutex<BTreeSet<SocketAddr>>,
    owners: Mutex<HashMap<u32, SocketAddr>>,
    owned: Mutex<HashMap<u32, Owner>>,
    stale: Notify,
    standing: watch::Receiver<Standing>,
    wishes: watch::Receiver<Wishes>,
    roster: watch::Receiver<Roster>,
    roster_needed: watch::Sender<bool>,
    stopping: watch::Sender<bool>,
    role: watch::Sender<Role>,
    draining: AtomicBool,
    last_epoch: Mutex<u64>,
    leave_by: Mutex<Option<Instant>>,
    duty: Mutex<Option<(u64, tokio::task::JoinHandle<()>)>>,
    broker: Mutex<(u64, Broker)>,
    layout: Mutex<Layout>,
}

/// Partition of each service in a version of the configuration.
#[derive(Debug, Default)]
struct Layout {
    version: u64,
    table: HashMap<String, u32>,
}

impl Node {
    /// Starts all parts of a daemon.
    #[must_use]
    pub fn start(parts: Parts, listener: TcpListener) -> Arc<Self> {
        let (standing_tx, standing) = watch::channel(Standing::default());
        let (wishes_tx, wishes) = watch::channel(Wishes::default());
        let wishes_tx = Arc::new(wishes_tx);
        let (roster_tx, roster) = watch::channel(None);
        let (stopping, stop) = watch::channel(false);
        let (role, role_rx) = watch::channel(if parts.strong { Role::Owner } else { Role::Standby });
        let name = standby::name(parts.mesh, parts.strong);
        tokio::spawn(member::run(Arc::clone(&parts.store), name, role_rx, standing_tx, stop));
        tokio::spawn(documents::run(Arc::clone(&parts.store), Arc::clone(&wishes_tx)));
        let (roster_needed, needed) = watch::channel(false);
        tokio::spawn(roster::run(Arc::clone(&parts.store), roster_tx, needed));
        let own_address = parts.mesh;
        let node = Arc::new(Self {
            parts,
            mesh: Mesh::new(own_address),
            known: Mutex::default(),
            owners: Mutex::default(),
            owned: Mutex::default(),
            stale: Notify::new(),
            standing,
            wishes,
            roster,
            roster_needed,
            stopping,
            role,
            draining: AtomicBool::new(false),
            last_epoch: Mutex::default(),
            leave_by: Mutex::default(),
            duty: Mutex::default(),
            broker: Mutex::default(),
            layout: Mutex::default(),
        });
        tokio::spawn(Arc::clone(&node).keep_shards());
        tokio::spawn(Arc::clone(&node).keep_owners());
        tokio::spawn(Arc::clone(&node).hear_documents(wishes_tx));
        let own = Arc::clone(&node);
        tokio::spawn(mesh::serve(listener, move |ask| {
            let own = Arc::clone(&own);
            async move { own.asked(ask).await }
        }));
        node
    }

    /// Newest configuration, if one was read.
    #[must_use]
    pub fn setup(&self) -> Option<Arc<Setup>> {
        self.wishes.borrow().setup.clone()
    }

    /// The balancer may send callers here.
    #[must_use]
    pub fn ready(&self) -> bool {
        !self.draining.load(Ordering::Relaxed) && self.wishes.borrow().setup.is_some()
    }

    /// Hands over all shards and stops being ready; calls are answered until the time is over.
    pub fn drain(&self, within: Duration) {
        *self.leave_by.lock() = Some(Instant::now() + within);
        self.draining.store(true, Ordering::Relaxed);
        for owner in self.owned.lock().values() {
            owner.stop();
        }
        self.stopping.send_replace(true);
    }

    /// Submits a job.
    pub async fn submit(&self, spec: JobSpec, within: Duration) -> Outcome {
        let service = spec.service.clone();
        self.ask(&service, Want::Submit(spec), within).await
    }

    /// Cancels a job.
    pub async fn cancel(&self, service: &str, id: &str, within: Duration) -> Outcome {
        self.ask(service, Want::Cancel(id.to_owned()), within).await
    }

    /// Asks for a job's state.
    pub async fn state(&self, service: &str, id: &str, within: Duration) -> Outcome {
        self.ask(service, Want::State(id.to_owned()), within).await
    }

    /// Counts a queue's jobs that wait.
    pub async fn waiting(&self, service: &str, queue: &str, within: Duration) -> Outcome {
        self.ask(service, Want::Waiting(queue.to_owned()), within).await
    }

    /// Asks a shard's owner, wherever it is, until the time is over.
    async fn ask(&self, service: &str, want: Want, within: Duration) -> Outcome {
        let end = Instant::now() + within;
        let end = self.leave_by.lock().map_or(end, |last| end.min(last));
        let mut sent = false;
        let give_up = end.min(Instant::now() + PATIENCE);
        loop {
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return if sent { Outcome::Unsure } else { Outcome::Refused };
            }
            if let Some(part) = self.part(service) {
                match self.ask_once(part, want.clone(), left).await {
                    Ok(reply) => {
                        if let Some(outcome) = outcome(&reply) {
                            return outcome;
                        }
                        sent |= reply.kind() == Kind::Unsure;
                    }
                    Err(fault) => sent |= fault == MeshFault::NoAnswer,
                }
                self.stale.notify_one();
            }
            if !sent && Instant::now() >= give_up {
                return Outcome::Refused;
            }
            tokio::time::sleep(TRY_AGAIN.min(left)).await;
        }
    }

    async fn ask_once(&self, part: u32, want: Want, left: Duration) -> Result<Reply, MeshFault> {
        let owner = self.owners.lock().get(&part).copied();
        let here = self.owned.lock().get(&part).is_some_and(|o| !o.ended());
        if here || owner == Some(self.parts.mesh) {
            let reply = tokio::time::timeout(left, self.ask_here(part, want)).await;
            return reply.map_err(|_| MeshFault::NoAnswer);
        }
        let Some(addr) = owner else { return Err(MeshFault::NotSent) };
        self.mesh.ask(addr, part, want, left.min(ONE_TRY)).await
    }

    async fn asked(&self, ask: Ask) -> Reply {
        if let Ok(peer) = ask.from.parse() {
            let mut known = self.known.lock();
            if known.len() < MOST_KNOWN {
                known.insert(peer);
            }
        }
        match ask.want {
            Some(want) => self.ask_here(ask.part, want).await,
            None => Reply::of(Kind::Unset),
        }
    }

    async fn ask_here(&self, part: u32, want: Want) -> Reply {
        let want = match want {
            Want::Rights(report) => return self.divide(part, report),
            Want::Documents(place) => return self.documents(place),
            want => want,
        };
        let owner = self.owned.lock().get(&part).filter(|o| !o.ended()).cloned();
        match owner {
            Some(owner) => owner.ask(want).await,
            None => Reply::of(Kind::NotOwner),
        }
    }

    /// Name, for logs and as the holder of duties.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.parts.name
    }

    /// Operators' documents.
    #[must_use]
    pub fn wishes(&self) -> Wishes {
        self.wishes.borrow().clone()
    }

    /// A partition is surely still ours under an epoch.
    #[must_use]
    pub fn holds(&self, part: u32, epoch: u64) -> bool {
        let standing = self.standing.borrow();
        let current = self.duty.lock().as_ref().is_some_and(|(e, _)| *e == epoch);
        current && standing.sure() && standing.share.parts.contains(&part)
    }

    /// Reports what a shard holds of the customers' limits, and gives its new parts.
    pub(crate) async fn report_rights(&self, report: RightsReport, within: Duration) -> Option<Reply> {
        let part = self.duty_part();
        let reply = self.ask_once(part, Want::Rights(report), within).await.ok();
        let reply = reply.filter(|r| r.kind() == Kind::Rights);
        if reply.is_none() {
            self.stale.notify_one();
        }
        reply
    }

    /// Answers a report of a shard, while this daemon has the duty.
    fn divide(&self, part: u32, report: RightsReport) -> Reply {
        let epoch = self.duty.lock().as_ref().map(|(e, _)| *e);
        let (Some(epoch), Some(setup)) = (epoch, self.setup()) else { return Reply::of(Kind::NotOwner) };
        if !self.holds(part, epoch) {
            return Reply::of(Kind::NotOwner);
        }
        let mut slot = self.broker.lock();
        if slot.0 != epoch {
            *slot = (epoch, Broker::default());
        }
        let shards = setup.parts(self.duty_part()).into_values().collect();
        slot.1.configure(setup.limits(), shards);
        slot.1.report(&report.into()).map_or(Reply::of(Kind::NotOwner), Reply::rights)
    }

    /// Asks for the load of a service's workers, and tells which of them are due for maintenance.
    pub async fn load_of(&self, service: &str, due: Vec<String>, within: Duration) -> Option<PoolLoad> {
        let want = Want::Load(LoadAsk { service: service.to_owned(), due });
        let load = self.ask_once(self.part(service)?, want, within).await.ok()?.load?;
        let LoadRow { wanted, used, room, idle } = load;
        Some(PoolLoad { name: service.to_owned(), wanted, used, room, idle })
    }

    /// Tells a worker's shard to use it again.
    pub async fn keep(&self, service: &str, worker: &str, within: Duration) {
        let Some(part) = self.part(service) else { return };
        if self.ask_once(part, Want::Keep(worker.to_owned()), within).await.is_err() {
            tracing::info!(worker, "node: worker not kept, its shard is away");
        }
    }

    /// Asks a worker's shard to empty it; gives the runs that are left, if that is known.
    pub async fn empty(&self, service: &str, worker: &str, within: Duration) -> Option<usize> {
        let want = Want::Empty(worker.to_owned());
        let reply = self.ask_once(self.part(service)?, want, within).await.ok()?;
        (reply.kind() == Kind::Count).then(|| usize::try_from(reply.value).unwrap_or(usize::MAX))
    }

    /// The last partition carries the duty; the shards are those before it.
    const fn duty_part(&self) -> u32 {
        self.parts.parts.saturating_sub(1)
    }

    fn part(&self, service: &str) -> Option<u32> {
        let wishes = self.wishes.borrow();
        let setup = wishes.setup.as_ref()?;
        let mut layout = self.layout.lock();
        if layout.version != setup.version {
            *layout = Layout { version: setup.version, table: setup.parts(self.duty_part()) };
        }
        layout.table.get(service).copied()
    }

    /// Other daemons that this one knows: owners of shards, and those that have asked it.
    #[must_use]
    pub fn peers(&self) -> Vec<SocketAddr> {
        let mut peers = self.known.lock().clone();
        peers.extend(self.owners.lock().values());
        peers.remove(&self.parts.mesh);
        peers.into_iter().collect()
    }

    /// Operators' documents for a daemon that the store turns away.
    fn documents(&self, place: u64) -> Reply {
        let wishes = self.wishes.borrow();
        if wishes.place <= place {
            return Reply::of(Kind::Unknown);
        }
        match serde_json::to_string(&*wishes) {
            Ok(text) => Reply { text, ..Reply::of(Kind::Documents) },
            Err(error) => {
                tracing::warn!(%error, "node: documents not encoded");
                Reply::of(Kind::Unset)
            }
        }
    }

    /// While the store does not answer, asks the other daemons in turn for operators' documents.
    async fn hear_documents(self: Arc<Self>, wishes: Arc<watch::Sender<Wishes>>) {
        let mut turn = 0;
        loop {
            tokio::time::sleep(HEAR_EVERY).await;
            let (stale, place) = {
                let wishes = self.wishes.borrow();
                (wishes.stale(), wishes.place)
            };
            if !stale {
                continue;
            }
            let peers = self.peers();
            let Some(peer) = peers.get(turn % peers.len().max(1)) else { continue };
            turn += 1;
            let Ok(reply) = self.mesh.ask(*peer, 0, Want::Documents(place), HEAR_ANSWER).await else {
                continue;
            };
            if reply.kind() != Kind::Documents {
                continue;
            }
            match serde_json::from_str::<Wishes>(&reply.text) {
                Ok(later) => drop(wishes.send_if_modified(|w| w.merge(later))),
                Err(error) => tracing::warn!(%error, "node: documents of another daemon not understood"),
            }
        }
    }

    /// Starts and ends ownership as the group deals shards out.
    async fn keep_shards(self: Arc<Self>) {
        let mut standing = self.standing.clone();
        let mut wishes = self.wishes.clone();
        loop {
            self.adjust(&standing.borrow_and_update().clone());
            let again = tokio::time::sleep(OWNERS_EVERY);
            tokio::select! {
                changed = standing.changed() => if changed.is_err() { return },
                changed = wishes.changed() => if changed.is_err() { return },
                () = again => {}
            }
        }
    }

    fn adjust(self: &Arc<Self>, standing: &Standing) {
        if self.draining.load(Ordering::Relaxed) {
            return;
        }
        let Some(setup) = self.setup() else { return };
        let active: Vec<u32> = setup.parts(self.duty_part()).into_values().collect();
        let mut owned = self.owned.lock();
        owned.retain(|_, owner| !owner.ended());
        if !standing.sure() {
            return;
        }
        drop(owned);
        self.roster_needed.send_if_modified(|needed| {
            let now = standing.share.parts.iter().any(|p| active.contains(p));
            std::mem::replace(needed, now) != now
        });
        self.adjust_duty(standing);
        let mut owned = self.owned.lock();
        for &part in standing.share.parts.iter().filter(|p| active.contains(p)) {
            owned.entry(part).or_insert_with(|| {
                let epoch = self.epoch(standing.share.generation);
                tracing::info!(part, epoch, "node: shard is ours");
                Owner::start(part, epoch, self.around())
            });
        }
    }

    /// Takes or leaves the duty of maintenance.
    fn adjust_duty(self: &Arc<Self>, standing: &Standing) {
        let part = self.duty_part();
        let ours = standing.share.parts.contains(&part);
        let running = self.duty.lock().as_ref().is_some_and(|(_, task)| !task.is_finished());
        if !ours {
            *self.duty.lock() = None;
        } else if !running {
            let epoch = self.epoch(standing.share.generation);
            let duty = Duty {
                node: Arc::clone(self),
                store: Arc::clone(&self.parts.store),
                machines: Arc::clone(&self.parts.machines),
                part,
                epoch,
                lease: self.parts.duty_lease,
                move_time: self.parts.move_time,
                rate: self.parts.duty_rate,
            };
            let mut slot = self.duty.lock();
            *slot = Some((epoch, tokio::spawn(duty.run())));
        }
    }

    /// A new epoch: above all of earlier generations, and above this daemon's earlier ones of the same.
    fn epoch(&self, generation: u64) -> u64 {
        let mut last = self.last_epoch.lock();
        let epoch = (generation * EPOCHS).max(*last + 1);
        *last = epoch;
        epoch
    }

    fn around(self: &Arc<Self>) -> Surroundings {
        Surroundings {
            node: Arc::clone(self),
            store: Arc::clone(&self.parts.store),
            orders: Arc::clone(&self.parts.orders),
            limits: self.parts.limits,
            parts: self.duty_part(),
            standing: self.standing.clone(),
            roster: self.roster.clone(),
            wishes: self.wishes.clone(),
        }
    }

    /// Keeps the table of owners: read when the group changed, when an owner could not be reached, and while
    /// this daemon waits for one.
    async fn keep_owners(self: Arc<Self>) {
        let mut standing = self.standing.clone();
        let mut standby = Standby::default();
        let mut generation = 0;
        loop {
            tokio::select! {
                changed = standing.changed() => if changed.is_err() { return },
                () = self.stale.notified() => generation = 0,
                () = tokio::time::sleep(OWNERS_EVERY), if standby.waits() => generation = 0,
            }
            let newest = standing.borrow_and_update().share.generation;
            if newest == generation {
                continue;
            }
            match self.parts.store.owners().await {
                Ok(rows) => {
                    self.learn_owners(&rows, &mut standby);
                    generation = newest;
                }
                Err(error) => tracing::debug!(%error, "node: owners not read"),
            }
            tokio::time::sleep(OWNERS_EVERY).await;
        }
    }

    fn learn_owners(&self, rows: &[(u32, Option<String>)], standby: &mut Standby) {
        let known = |member: &Option<String>| member.as_deref().and_then(standby::parse);
        let owners: Vec<(u32, Option<(SocketAddr, bool)>)> =
            rows.iter().map(|(p, m)| (*p, known(m))).collect();
        *self.owners.lock() = owners.iter().filter_map(|(p, owner)| Some((*p, (*owner)?.0))).collect();
        if self.parts.strong {
            return;
        }
        let strength: Vec<Option<bool>> = owners.iter().map(|(_, owner)| Some((*owner)?.1)).collect();
        let before = *self.role.borrow();
        let role = standby.choose(before, &strength, steady_ms());
        if role != before {
            tracing::info!(?role, "node: role");
            self.role.send_replace(role);
        }
    }
}

/// What a caller is told; `None` to try again.
fn outcome(reply: &Reply) -> Option<Outcome> {
    match reply.kind() {
        Kind::Done => Some(Outcome::Done),
        Kind::Refused => Some(Outcome::Refused),
        Kind::Unknown => Some(Outcome::Unknown),
        Kind::State => reply.as_state().map(Outcome::State),
        Kind::Count => Some(Outcome::Count(reply.value)),
        Kind::Unset | Kind::Rights | Kind::Load | Kind::Documents | Kind::NotOwner | Kind::Unsure => None,
    }
}
