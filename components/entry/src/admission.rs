//! Admission: requests queue by pool and team until a unit of the team and a slot of a worker are free.
//!
//! Fair admission starts the team furthest below its share; usage is counted over the whole fleet from the
//! peers' heartbeats. Queues are limited in length and in waiting time. A request refused here has not run.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use config::{Admission, Placement};
use edge::Fault;
use policy::{Candidate, PlacementStrategy, PriorFailure, TeamUsage, choose_worker, pick_team};
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::handover::SlotHandover;
use crate::node::Node;
use crate::state::{LoadKey, State, WorkerView};

const DISPATCH_PERIOD: Duration = Duration::from_millis(20);
/// Average number of running tasks below which a team's usage is dropped.
const MIN_USAGE: f64 = 0.001;
/// Time constant of the moving average of usage.
const USAGE_TIME_CONSTANT: Duration = Duration::from_secs(3);

/// Admission queues of this host, and the recent usage of each team in the fleet.
#[derive(Debug, Default)]
pub struct Queues {
    pools: BTreeMap<String, BTreeMap<String, VecDeque<Waiter>>>,
    usage: BTreeMap<String, f64>,
}

/// Length of one queue.
#[derive(Debug)]
pub struct QueueLength {
    /// Team and pool of the queue.
    pub key: LoadKey,
    /// Number of waiting requests.
    pub length: i64,
}

/// Decision about a free slot.
#[derive(Debug)]
enum SlotDecision {
    /// Grant the slot to this waiter.
    Grant(oneshot::Sender<Grant>, Grant),
    /// Hand the slot over to a peer, where a team further below its share waits.
    Handover(SlotHandover),
    /// Leave the slot free.
    Idle,
}

/// A team with running tasks.
#[derive(Debug)]
struct ActiveTeam {
    name: String,
    tasks: i64,
}

/// A waiting request or job.
#[derive(Debug)]
struct Waiter {
    queued_at: Instant,
    urgent: bool,
    failures: Vec<FailedPlacement>,
    grant: oneshot::Sender<Grant>,
}

/// A unit and a slot granted to a waiter.
#[derive(Debug)]
struct Grant {
    team: String,
    worker: String,
}

/// What a request or job needs for its admission.
#[derive(Debug, Clone)]
pub struct SlotRequest {
    /// Team that is charged.
    pub team: String,
    /// Pool of workers that serves it.
    pub pool: String,
    /// True if it goes ahead of the team's other work.
    pub urgent: bool,
    /// Placements on which it failed; they are avoided if there is capacity elsewhere.
    pub failures: Vec<FailedPlacement>,
}

/// A placement on which a request has failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FailedPlacement {
    /// Worker name.
    pub worker: String,
    /// Availability zone of the worker.
    pub zone: String,
}

/// A unit of a team and a slot of a worker, reserved until dropped.
#[derive(Debug)]
pub struct Reservation {
    node: Arc<Node>,
    /// Team that is charged.
    pub team: String,
    /// Worker name.
    pub worker: String,
    /// Worker address.
    pub addr: String,
    /// Availability zone of the worker.
    pub zone: String,
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let mut state = self.node.state.lock();
        state.release_slot(&self.team, &self.worker);
        drop(state);
        self.node.dispatch_wake.notify_one();
    }
}

impl Queues {
    /// Number of waiting requests of a team in all pools.
    #[must_use]
    pub fn waiting(&self, team: &str) -> i64 {
        let lengths = self.pools.values().filter_map(|teams| teams.get(team)).map(VecDeque::len);
        i64::try_from(lengths.sum::<usize>()).unwrap_or(i64::MAX)
    }

    /// Lengths of all queues, including empty ones.
    pub fn lengths(&self) -> impl Iterator<Item = QueueLength> {
        let teams =
            self.pools.iter().flat_map(|(pool, teams)| teams.iter().map(move |(team, q)| (pool, team, q)));
        teams.map(|(pool, team, queue)| QueueLength {
            key: LoadKey { team: team.clone(), pool: pool.clone() },
            length: i64::try_from(queue.len()).unwrap_or(i64::MAX),
        })
    }

    /// True if any request waits for a pool.
    #[must_use]
    pub fn has_waiting(&self, pool: &str) -> bool {
        self.pools.get(pool).is_some_and(|teams| teams.values().any(|queue| !queue.is_empty()))
    }

    /// Recent usage of a team: its average number of running tasks in the fleet.
    #[must_use]
    pub fn usage(&self, team: &str) -> f64 {
        self.usage.get(team).copied().unwrap_or(0.0)
    }

    /// Updates the moving averages of usage; `weight` is the weight of the current values.
    #[expect(clippy::cast_precision_loss, reason = "counts of tasks are small")]
    fn update_usage(&mut self, active: &[ActiveTeam], weight: f64) {
        self.usage.values_mut().for_each(|usage| *usage *= 1.0 - weight);
        for team in active {
            *self.usage.entry(team.name.clone()).or_default() += team.tasks as f64 * weight;
        }
        self.usage.retain(|_, usage| *usage > MIN_USAGE);
    }

    fn push(&mut self, wanted: &SlotRequest, waiter: Waiter, max_length: usize) -> bool {
        let queue =
            self.pools.entry(wanted.pool.clone()).or_default().entry(wanted.team.clone()).or_default();
        if queue.len() >= max_length {
            return false;
        }
        if waiter.urgent {
            queue.push_front(waiter);
        } else {
            queue.push_back(waiter);
        }
        true
    }

    /// Removes waiters whose caller no longer waits.
    fn remove_cancelled(&mut self) {
        for queue in self.pools.values_mut().flat_map(BTreeMap::values_mut) {
            queue.retain(|w| !w.grant.is_closed());
        }
    }
}

impl State {
    fn release_slot(&mut self, team: &str, worker: &str) {
        if let Some(quota) = self.quotas.get_mut(team) {
            quota.release();
        }
        if let Some(view) = self.workers.get_mut(worker) {
            view.inflight = view.inflight.saturating_sub(1);
        }
    }

    /// Number of running tasks of a team in the fleet, according to the last heartbeats.
    #[must_use]
    pub fn running(&self, team: &str) -> i64 {
        let own = self.quotas.get(team).map_or(0, escrow::HostQuota::used);
        let key = LoadKey { team: team.to_owned(), pool: String::new() };
        own + self.peers.values().filter_map(|p| p.loads.get(&key)).map(|l| l.running).sum::<i64>()
    }

    /// Number of waiting requests of a team in the fleet, according to the last heartbeats.
    #[must_use]
    pub fn waiting(&self, team: &str) -> i64 {
        let loads = self.peers.values().flat_map(|p| &p.loads).filter(|(key, _)| key.team == team);
        let peers = loads.map(|(_, load)| load.waiting);
        self.queues.waiting(team) + peers.sum::<i64>()
    }

    /// Running tasks by host and team, according to the last heartbeats; a team can occur more than once.
    fn active_teams(&self) -> Vec<ActiveTeam> {
        let own = self.quotas.iter().map(|(team, quota)| (team, quota.used()));
        let peers = self.peers.values().flat_map(|p| &p.loads).map(|(key, load)| (&key.team, load.running));
        let running = own.chain(peers).filter(|(_, tasks)| *tasks > 0);
        running.map(|(team, tasks)| ActiveTeam { name: team.clone(), tasks }).collect()
    }

    /// Share and usage of a team, as the fair order compares them.
    #[must_use]
    pub fn claimant(&self, name: &str) -> TeamUsage {
        let share = self.tables.teams.get(name).map_or(1, |t| t.share);
        #[expect(clippy::cast_precision_loss, reason = "counts of tasks are small")]
        let running = self.running(name) as f64;
        TeamUsage { share: f64::from(share), running, recent_usage: self.queues.usage(name) }
    }

    /// Team whose waiter is next for a pool.
    fn next_team(&self, pool: &str, admission: Admission) -> Option<String> {
        let queues = self.queues.pools.get(pool)?;
        // After a limit was lowered, excess units are returned before new tasks start.
        let has_unit =
            |team: &str| self.quotas.get(team).is_some_and(|q| q.free() > 0) && !self.is_over_limit(team);
        let ready = |team: &str| queues.get(team).is_some_and(|q| !q.is_empty()) && has_unit(team);
        match admission {
            Admission::Fifo => {
                let oldest = queues.iter().filter(|(team, _)| ready(team));
                let oldest = oldest.filter_map(|(team, q)| q.front().map(|w| (w.queued_at, team)));
                oldest.min().map(|(_, team)| team.clone())
            }
            Admission::Fair => {
                let names: Vec<&String> = queues.keys().filter(|team| ready(team)).collect();
                let claimants: Vec<TeamUsage> = names.iter().map(|team| self.claimant(team)).collect();
                pick_team(&claimants).map(|index| names[index].clone())
            }
        }
    }

    /// Chooses a worker of a pool for the next task.
    fn next_worker(
        &self,
        pool: &str,
        failures: &[FailedPlacement],
        placement: Placement,
        now: Instant,
    ) -> Option<String> {
        let in_pool = self.tables.hosts.iter().filter(|(_, h)| h.pool == pool).map(|(name, _)| name);
        let names: Vec<&String> = in_pool.filter(|name| self.in_service(name)).collect();
        let views: Vec<_> = names.iter().filter_map(|name| self.workers.get(*name)).collect();
        // Ejected workers count as full, unless they are more than half of the pool's workers.
        let ejected = views.iter().filter(|v| v.is_ejected()).count();
        let skip_ejected = ejected * 2 <= views.len();
        let candidates: Vec<Candidate> = views
            .iter()
            .map(|v| Candidate {
                load: if skip_ejected && v.is_ejected() { v.info.slots } else { v.load(now) },
                slots: v.info.slots,
                prior_failure: avoidance(failures, v),
            })
            .collect();
        let choice = match placement {
            Placement::TwoChoices => PlacementStrategy::TwoChoices,
            Placement::LeastLoaded => PlacementStrategy::LeastLoaded,
            Placement::Random => PlacementStrategy::Random,
        };
        choose_worker(choice, &candidates, &mut rand::rng()).map(|i| names[i].clone())
    }

    /// Decides what to do with one free slot of a pool.
    fn decide_slot(&mut self, pool: &str, node: &Node, now: Instant) -> SlotDecision {
        self.find_slot(pool, node, now).unwrap_or(SlotDecision::Idle)
    }

    fn find_slot(&mut self, pool: &str, node: &Node, now: Instant) -> Option<SlotDecision> {
        let team = self.next_team(pool, node.settings.admission)?;
        let failures = self.queues.pools.get(pool)?.get(&team)?.front()?.failures.clone();
        let worker = self.next_worker(pool, &failures, node.settings.placement, now)?;
        self.check_start(now, node.confirmation_ttl(), &worker).ok()?;
        if node.settings.admission == Admission::Fair
            && let Some(peer) = self.underserved_peer(pool, &team, now)
        {
            return Some(SlotDecision::Handover(self.hand_over(peer, worker, now)));
        }
        if !self.quotas.get_mut(&team)?.acquire() {
            return None;
        }
        if let Some(view) = self.workers.get_mut(&worker) {
            view.inflight += 1;
        }
        let waiter = self.queues.pools.get_mut(pool)?.get_mut(&team)?.pop_front()?;
        metrics::histogram!("lagoonrelay_queue_seconds").record(waiter.queued_at.elapsed().as_secs_f64());
        Some(SlotDecision::Grant(waiter.grant, Grant { team, worker }))
    }
}

fn avoidance(failures: &[FailedPlacement], worker: &WorkerView) -> PriorFailure {
    if failures.iter().any(|f| f.worker == worker.info.name) {
        return PriorFailure::Worker;
    }
    if failures.iter().any(|f| f.zone == worker.info.zone) {
        PriorFailure::Zone
    } else {
        PriorFailure::Elsewhere
    }
}

impl Reservation {
    /// This placement, as one on which a request has failed.
    #[must_use]
    pub fn placement(&self) -> FailedPlacement {
        FailedPlacement { worker: self.worker.clone(), zone: self.zone.clone() }
    }
}

impl Node {
    /// Waits for a unit and a slot and reserves them.
    ///
    /// # Errors
    /// A `NotRun` fault if the queue is full or `until` passes.
    pub async fn admit(self: &Arc<Self>, wanted: &SlotRequest, until: Instant) -> Result<Reservation, Fault> {
        let (grant, granted) = oneshot::channel();
        let waiter = Waiter {
            queued_at: Instant::now(),
            urgent: wanted.urgent,
            failures: wanted.failures.clone(),
            grant,
        };
        let max_length = self.settings.limits.queue_length;
        if !self.state.lock().queues.push(wanted, waiter, max_length) {
            return Err(Fault::not_run(format!("queue of team {} is full", wanted.team)));
        }
        self.dispatch_wake.notify_one();
        match timeout(crate::node::time_left(until), granted).await {
            Ok(Ok(grant)) => Ok(self.reserve(grant)),
            _ => Err(Fault::not_run("no slot became free in time")),
        }
    }

    /// Time at which a request with the given deadline leaves the queue.
    pub fn queue_deadline(&self, deadline: Instant) -> Instant {
        deadline.min(Instant::now() + Duration::from_millis(self.settings.limits.queue_ms))
    }

    fn reserve(self: &Arc<Self>, grant: Grant) -> Reservation {
        let info = self.state.lock().workers.get(&grant.worker).map(|w| w.info.clone());
        let (addr, zone) = info.map(|i| (i.addr, i.zone)).unwrap_or_default();
        Reservation { node: Arc::clone(self), team: grant.team, worker: grant.worker, addr, zone }
    }

    /// Grants or hands over free slots until none can be used.
    fn dispatch(self: &Arc<Self>) {
        let pools: Vec<String> = self.state.lock().queues.pools.keys().cloned().collect();
        for pool in pools {
            loop {
                let next = self.state.lock().decide_slot(&pool, self, Instant::now());
                match next {
                    SlotDecision::Idle => break,
                    SlotDecision::Handover(slot) => self.send_handover(slot),
                    SlotDecision::Grant(sender, grant) => {
                        if let Err(grant) = sender.send(grant) {
                            drop(self.reserve(grant));
                        }
                    }
                }
            }
        }
    }
}

/// Dispatches waiting requests until the node stops.
pub async fn run(node: Arc<Node>) {
    let ticks = node.timer.every(DISPATCH_PERIOD);
    let mut last = Instant::now();
    loop {
        tokio::select! {
        () = ticks.tick() => last = update_usage(&node, last),
        () = node.dispatch_wake.notified() => {}
        }
        node.dispatch();
    }
}

/// Updates the recent usage of each team; returns the time of the update.
fn update_usage(node: &Node, last: Instant) -> Instant {
    let now = Instant::now();
    let weight = (now - last).as_secs_f64() / USAGE_TIME_CONSTANT.as_secs_f64();
    let mut state = node.state.lock();
    state.queues.remove_cancelled();
    let active = state.active_teams();
    state.queues.update_usage(&active, weight.min(1.0));
    now
}
