//! The coordinator: carries out maintenance waves and moves machines between pools.
//!
//! The owner of the last partition is the coordinator. In each round it compares the desired state with the
//! observed state of machines and pools, and orders maintenance and moves. Orders carry its epoch as fencing
//! token, and are recorded before they are sent, so that a successor knows of them.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use capacity::{Move, Plan, Planner, PlannerConfig, PoolLoad};
use edge::{Fault, Verdict};
use futures_util::future::join_all;
use maintenance::{Action, Machine, MachineState, Outcome, Wave};
use shard::Record;
use tokio::time::{Instant, timeout_at};

use crate::clock::{monotonic_ms, wall_ms};
use crate::configuration::{Configuration, Wave as WaveSpec};
use crate::coordinator_log::{CoordinatorLog, LogTarget, WaveProgress};
use crate::in_flight::InFlight;
use crate::message::LoadRequest;
use crate::node::Node;
use crate::partition;
use crate::platform::{Machines, OrderReply, Store};
use crate::rate_limiter::RateLimiter;
use crate::shortage;

/// Pause between two rounds; a move takes at least a second, so this adds little to it.
const ROUND_INTERVAL: Duration = Duration::from_millis(120);
/// Key of the record with recent orders; `m:` and a wave's number is the key of its progress.
const ORDERS_KEY: &str = "o";
/// Largest difference between the wall clocks of two entry hosts in milliseconds.
const CLOCK_SKEW_MS: u64 = 500;
/// Time between the end of a machine's move and its first task: the worker list and the first poll.
const JOIN_DELAY_MS: u64 = 300;
/// Longest time from the last cordon of a worker to an order for its machine; leaves time for the order to take
/// effect before the cordon ends.
const ORDER_DELAY: Duration = Duration::from_millis(shard::CORDON_MS / 2);
/// Time for which a round waits for the loads of the pools.
const LOADS_TIMEOUT: Duration = Duration::from_millis(250);

/// Dependencies and settings of the coordinator.
#[derive(Debug)]
pub struct Coordinator {
    /// Daemon that is the coordinator.
    pub node: Arc<Node>,
    /// The platform's store.
    pub store: Arc<dyn Store>,
    /// The platform's machines.
    pub machines: Arc<dyn Machines>,
    /// Partition whose owner is the coordinator.
    pub partition: u32,
    /// Epoch of the ownership, the fencing token of orders.
    pub epoch: u64,
    /// Milliseconds for which an earlier coordinator's order can still take effect.
    pub lease_ms: u64,
    /// Milliseconds that a machine takes to join another pool.
    pub move_ms: u64,
    /// Orders for machines that the platform accepts per second.
    pub orders_per_s: f64,
}

/// Observed state of machines and pools in one round.
struct Snapshot {
    machines: Vec<Machine>,
    /// Names of the pools whose machines are off.
    spare_pools: BTreeSet<String>,
    loads: Vec<PoolLoad>,
    zones_out: Vec<String>,
}

/// Outcome of an order to move a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum MoveOutcome {
    /// Ordered, although the reply may have been lost.
    Ordered,
    /// The move can never succeed.
    Invalid,
    /// Not ordered; it can be planned again.
    NotOrdered,
}

/// Maintenance waves by number.
#[derive(Debug, Default)]
struct Waves {
    /// Waves that are not complete.
    open: BTreeMap<u64, Wave>,
    /// Progress as stored in the coordinator's partition.
    stored: HashMap<u64, WaveProgress>,
    /// Waves that are complete and published as such.
    complete: BTreeSet<u64>,
    /// Last published state of each wave: true if complete.
    published: HashMap<u64, bool>,
}

impl Coordinator {
    /// Runs until this daemon loses the coordinator's partition.
    pub async fn run(self) {
        let Some((mut waves, mut log)) = self.take_over().await else { return };
        let inherited = log.orders.clone();
        let mut planner = Planner::new(PlannerConfig::with_move_time(self.move_ms));
        let mut queries = InFlight::default();
        let mut limiter = RateLimiter::new(self.orders_per_s, monotonic_ms());
        tracing::info!(epoch = self.epoch, "duty: coordinator started");
        while !log.lost && self.node.holds_partition(self.partition, self.epoch) {
            let desired = self.node.desired_state();
            for (number, spec) in &desired.waves {
                waves.start(*number, spec);
            }
            waves.set_shared(&desired.waves);
            match self.machines.list().await {
                Ok(machines) => {
                    if let Some(config) = desired.config {
                        // Orders of an earlier coordinator may still take effect on these machines.
                        let recent = self.recently_ordered(&inherited);
                        let machines: Vec<Machine> =
                            machines.iter().map(|m| mask_recent(m, &recent)).collect();
                        let loads = self.pool_loads(&mut queries, &config, &machines, &waves).await;
                        let spare_pools = config.spare_pools();
                        let snapshot =
                            Snapshot { machines, spare_pools, loads, zones_out: desired.zones_out };
                        limiter.refill(monotonic_ms());
                        self.advance_waves(&mut waves, &mut log, &mut limiter, &snapshot).await;
                        self.rebalance(&mut planner, &waves, &mut log, &mut limiter, &snapshot).await;
                    }
                }
                Err(error) => tracing::info!(%error, "duty: cannot list machines"),
            }
            tokio::time::sleep(ROUND_INTERVAL).await;
        }
        if let Some(config) = self.node.desired_state().config {
            shortage::clear(&config.pools);
        }
        tracing::info!(epoch = self.epoch, "duty: coordinator stopped");
    }

    fn target(&self) -> LogTarget<'_> {
        LogTarget { node: &self.node, store: &*self.store, partition: self.partition, epoch: self.epoch }
    }

    /// Reads the load of all pools but spare ones from the owners of their shards. The round waits only a moment for
    /// them, so that a slow owner does not hold up other pools; a later load counts in the round in which it comes.
    async fn pool_loads(
        &self,
        queries: &mut InFlight<String, PoolLoad>,
        config: &Configuration,
        machines: &[Machine],
        waves: &Waves,
    ) -> Vec<PoolLoad> {
        let pending: BTreeSet<&String> = waves.open.values().flat_map(Wave::remaining).collect();
        let largest_cpu = machines.iter().map(|m| m.cpu).max().unwrap_or(0);
        for pool in config.pools.iter().filter(|p| !p.spare) {
            if queries.contains(&pool.name) {
                continue;
            }
            let due = machines.iter().filter(|m| m.pool == pool.name && pending.contains(&m.name));
            let request = LoadRequest {
                service: pool.name.clone(),
                due_workers: due.map(|m| m.worker.clone()).collect(),
                lead_ms: self.move_ms + JOIN_DELAY_MS,
                largest_cpu,
            };
            let node = Arc::clone(&self.node);
            queries.start(pool.name.clone(), async move { node.service_load(request).await });
        }
        let deadline = Instant::now() + LOADS_TIMEOUT;
        let mut loads = Vec::new();
        while !queries.is_empty() {
            match timeout_at(deadline, queries.next()).await {
                Ok(load) => loads.extend(load),
                Err(_) => break,
            }
        }
        loads
    }

    /// Moves machines to the pools that need capacity.
    async fn rebalance(
        &self,
        planner: &mut Planner,
        waves: &Waves,
        log: &mut CoordinatorLog,
        limiter: &mut RateLimiter,
        snapshot: &Snapshot,
    ) {
        let Snapshot { machines, spare_pools, loads, zones_out } = snapshot;
        let out = machines.iter().filter(|m| zones_out.contains(&m.zone)).map(|m| &m.name);
        let busy = waves.open.values().flat_map(Wave::active).chain(out).cloned().collect();
        let Plan { moves: mut planned_moves, shortages } =
            planner.plan(monotonic_ms(), machines, loads, spare_pools, &busy);
        shortage::report(loads, &shortages);
        planned_moves.truncate(limiter.available());
        let cordoned_at = monotonic_ms();
        let drained = join_all(planned_moves.into_iter().map(|m| self.drain_for_move(spare_pools, m))).await;
        let moves: Vec<Move> = drained.into_iter().flatten().collect();
        let recorded = self.record_orders(log, moves.iter().map(|m| m.machine.as_str()).collect()).await;
        if !recorded {
            join_all(moves.iter().map(|m| self.node.uncordon_worker(&m.from, &m.worker))).await;
            return;
        }
        limiter.take(moves.len());
        let answers = join_all(moves.iter().map(|m| self.order_move(m, cordoned_at))).await;
        for (planned, outcome) in moves.iter().zip(answers) {
            match outcome {
                MoveOutcome::Ordered => planner.record_order(monotonic_ms(), planned),
                MoveOutcome::Invalid => planner.record_rejection(&planned.machine, &planned.to),
                MoveOutcome::NotOrdered => {}
            }
        }
    }

    /// Returns the move if nothing runs on its machine any more; otherwise uncordons the worker.
    async fn drain_for_move(&self, spare_pools: &BTreeSet<String>, planned: Move) -> Option<Move> {
        if self.drain_worker(spare_pools, &planned.from, &planned.worker).await == Some(0) {
            return Some(planned);
        }
        self.node.uncordon_worker(&planned.from, &planned.worker).await;
        None
    }

    /// Cordons a worker and counts its remaining runs; `None` if the count is unknown. Machines of spare
    /// pools are off and have none.
    async fn drain_worker(&self, spare_pools: &BTreeSet<String>, pool: &str, worker: &str) -> Option<usize> {
        if spare_pools.contains(pool) {
            Some(0)
        } else {
            self.node.cordon_worker(pool, worker, ORDER_DELAY).await
        }
    }

    /// Machines for which an order of an earlier coordinator can still take effect.
    fn recently_ordered(&self, inherited: &BTreeMap<String, u64>) -> BTreeSet<String> {
        let now = wall_ms();
        let recent = |at: u64| now < at + self.lease_ms + CLOCK_SKEW_MS;
        inherited.iter().filter(|(_, at)| recent(**at)).map(|(m, _)| m.clone()).collect()
    }

    /// Records, for successors, that machines are about to get orders; returns whether that is stored.
    async fn record_orders(&self, log: &mut CoordinatorLog, machines: Vec<&str>) -> bool {
        if machines.is_empty() {
            return true;
        }
        let now = wall_ms();
        log.orders.retain(|_, at| now < *at + self.lease_ms + CLOCK_SKEW_MS);
        log.orders.extend(machines.into_iter().map(|m| (m.to_owned(), now)));
        let record = Record { key: ORDERS_KEY.into(), value: Some(log.orders_text().into_bytes()) };
        let recorded = log.append(&self.target(), record).await;
        if !recorded {
            tracing::info!("duty: orders not recorded");
        }
        recorded
    }

    /// Orders a move, and uncordons the worker if it was not ordered.
    async fn order_move(&self, planned: &Move, cordoned_at: u64) -> MoveOutcome {
        if !self.may_order(cordoned_at) {
            self.node.uncordon_worker(&planned.from, &planned.worker).await;
            return MoveOutcome::NotOrdered;
        }
        let answer =
            self.machines.move_to_pool(&planned.machine, &planned.to, self.node.name(), self.epoch).await;
        metrics::counter!("lagoonrelay_machine_moves_total").increment(1);
        tracing::info!(
            machine = %planned.machine,
            from = %planned.from,
            to = %planned.to,
            ?answer,
            "duty: move ordered"
        );
        match answer {
            Ok(OrderReply::Done) | Err(Fault { verdict: Verdict::MayHaveRun | Verdict::Ran, .. }) => {
                MoveOutcome::Ordered
            }
            Ok(OrderReply::Invalid | OrderReply::NotReady) | Err(_) => {
                self.node.uncordon_worker(&planned.from, &planned.worker).await;
                if matches!(answer, Ok(OrderReply::Invalid)) {
                    MoveOutcome::Invalid
                } else {
                    MoveOutcome::NotOrdered
                }
            }
        }
    }

    /// Whether orders may be sent for machines whose workers were cordoned at a monotonic time.
    fn may_order(&self, cordoned_at: u64) -> bool {
        let elapsed = Duration::from_millis(monotonic_ms().saturating_sub(cordoned_at));
        elapsed < ORDER_DELAY && self.node.holds_partition(self.partition, self.epoch)
    }

    /// Takes over the coordinator's partition and loads its records.
    async fn take_over(&self) -> Option<(Waves, CoordinatorLog)> {
        let is_assigned = || self.node.holds_partition(self.partition, self.epoch);
        let records = partition::take_over(&*self.store, self.partition, self.epoch, is_assigned).await?;
        let mut waves = Waves::default();
        let mut log = CoordinatorLog::default();
        for (key, value) in records {
            let text = String::from_utf8_lossy(&value);
            if key == ORDERS_KEY {
                log.parse_orders(&text);
            } else if let Some(number) = key.strip_prefix("m:").and_then(|n| n.parse().ok()) {
                waves.stored.insert(number, WaveProgress::parse(&text));
            }
        }
        Some((waves, log))
    }

    /// Drains machines, orders their maintenance and records the progress of all open waves.
    async fn advance_waves(
        &self,
        waves: &mut Waves,
        log: &mut CoordinatorLog,
        limiter: &mut RateLimiter,
        snapshot: &Snapshot,
    ) {
        let machines = &snapshot.machines;
        let idle = idle_machines(snapshot);
        let numbers: Vec<u64> = waves.open.keys().copied().collect();
        for number in numbers {
            let Some(wave) = waves.open.get_mut(&number) else { continue };
            wave.observe(monotonic_ms(), machines);
            let cordoned_at = monotonic_ms();
            let remaining = self.remaining_runs(wave, snapshot).await;
            if !self.node.holds_partition(self.partition, self.epoch) {
                return;
            }
            let mut orders = Vec::new();
            for action in wave.plan(monotonic_ms(), machines, &remaining, &idle, limiter.available()) {
                match action {
                    Action::Drain(name) => tracing::info!(wave = number, machine = %name, "duty: draining"),
                    Action::Start(name) => orders.push(name),
                }
            }
            let recorded = self.record_orders(log, orders.iter().map(String::as_str).collect()).await;
            if recorded {
                limiter.take(orders.len());
            }
            let answers = join_all(orders.iter().map(|name| {
                let may_order = recorded && self.may_order(cordoned_at);
                self.order_maintenance(name, number, may_order)
            }))
            .await;
            for (name, outcome) in orders.iter().zip(answers) {
                wave.record_outcome(monotonic_ms(), name, outcome);
            }
            let (started, complete) = (wave.started(), wave.is_complete());
            self.record_progress(waves, log, number, &started, complete).await;
        }
    }

    /// Remaining runs on the machines that are being drained.
    async fn remaining_runs(&self, wave: &Wave, snapshot: &Snapshot) -> BTreeMap<String, usize> {
        let names: BTreeSet<&String> = wave.draining().collect();
        let draining = snapshot.machines.iter().filter(|m| names.contains(&m.name));
        let counts = draining.map(|m| async move {
            let count = self.drain_worker(&snapshot.spare_pools, &m.pool, &m.worker).await?;
            Some((m.name.clone(), count))
        });
        join_all(counts).await.into_iter().flatten().collect()
    }

    /// Orders a machine's maintenance, unless the order could not be recorded or is too late.
    async fn order_maintenance(&self, machine: &str, wave: u64, may_order: bool) -> Outcome {
        if !may_order {
            return Outcome::NotStarted;
        }
        let answer = self.machines.start_maintenance(machine, wave, self.node.name(), self.epoch).await;
        tracing::info!(wave, machine, ?answer, "duty: maintenance ordered");
        match answer {
            Ok(OrderReply::Done) => Outcome::Started,
            Ok(OrderReply::NotReady | OrderReply::Invalid) => Outcome::NotStarted,
            Err(fault) if fault.verdict == Verdict::NotRun => Outcome::NotStarted,
            Err(_) => Outcome::Unknown,
        }
    }

    /// Stores which machines have begun maintenance and publishes whether the wave is complete.
    async fn record_progress(
        &self,
        waves: &mut Waves,
        log: &mut CoordinatorLog,
        number: u64,
        started: &BTreeSet<String>,
        complete: bool,
    ) {
        let mut progress = waves.stored.get(&number).cloned().unwrap_or_default();
        if progress.started_at == 0 || progress.started != *started {
            if progress.started_at == 0 {
                progress.started_at = wall_ms();
            }
            progress.started.clone_from(started);
            let value = progress.to_text().into_bytes();
            let record = Record { key: format!("m:{number}"), value: Some(value) };
            if !log.append(&self.target(), record).await {
                return;
            }
            waves.stored.insert(number, progress);
        }
        if waves.published.get(&number) != Some(&complete) {
            match self.store.publish_wave(number, complete).await {
                Ok(()) => {
                    tracing::info!(wave = number, complete, "duty: wave state published");
                    waves.published.insert(number, complete);
                }
                Err(error) => tracing::info!(wave = number, %error, "duty: cannot publish wave state"),
            }
        }
        if complete && waves.published.get(&number) == Some(&true) {
            waves.open.remove(&number);
            waves.complete.insert(number);
        }
    }
}

impl Waves {
    /// Opens a wave that is neither open nor complete.
    fn start(&mut self, number: u64, spec: &WaveSpec) {
        if self.complete.contains(&number) || self.open.contains_key(&number) {
            return;
        }
        let stored = self.stored.get(&number).cloned().unwrap_or_default();
        let age = if stored.started_at == 0 { 0 } else { wall_ms().saturating_sub(stored.started_at) };
        let started_at = monotonic_ms().saturating_sub(age);
        let at_once = spec.max_down as usize;
        tracing::info!(wave = number, machines = spec.machines.len(), at_once, age, "duty: wave started");
        let wave = Wave::new(&spec.machines, at_once, started_at, spec.duration_s * 1_000, &stored.started);
        self.open.insert(number, wave);
    }

    /// Tells the open waves which machines are in several of the operators' waves, complete ones among them.
    fn set_shared(&mut self, specs: &BTreeMap<u64, WaveSpec>) {
        let shared = maintenance::shared_machines(specs.values().map(|s| s.machines.as_slice()));
        for wave in self.open.values_mut() {
            wave.set_shared(&shared);
        }
    }
}

/// Machines without runs, in pools without waiting tasks.
fn idle_machines(snapshot: &Snapshot) -> BTreeSet<String> {
    let Snapshot { machines, spare_pools, loads, .. } = snapshot;
    let idle = |m: &Machine| {
        loads.iter().any(|l| l.name == m.pool && l.pending_cpu == 0 && l.idle_workers.contains(&m.worker))
    };
    machines.iter().filter(|m| spare_pools.contains(&m.pool) || idle(m)).map(|m| m.name.clone()).collect()
}

/// Shows a machine with a recent order as moving, so that the planners leave it alone.
fn mask_recent(machine: &Machine, recent: &BTreeSet<String>) -> Machine {
    let state = match machine.state {
        MachineState::Up if recent.contains(&machine.name) => MachineState::Moving,
        state => state,
    };
    Machine { state, ..machine.clone() }
}
