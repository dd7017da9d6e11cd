//! Plans moves of machines between pools.
//!
//! A pool whose pending tasks need more CPU than it has free receives machines: first from spare pools, whose
//! machines are powered off, then from pools that have had no shortage for some time. Only machines on which
//! nothing runs are moved. Machines that a pool no longer needs return to a spare pool after a longer time
//! without shortage, because every machine in a service's pool is paid for.
//!
//! When the machines do not suffice for all pools that are short, [`allocation`] decides which pool gets the next
//! one, and idle machines come first from the pools whose waiting work is the least urgent.
//!
//! The crate does no I/O and reads no clock.

pub mod allocation;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap};

use allocation::{Need, Next};
use maintenance::{Machine, MachineState};

/// Share of a pool's CPU that tasks can fill, in percent; the rest is too small for another task.
const FILL_PERCENT: u64 = 85;

/// Time without shortage after which a pool can give machines to other pools.
const LEND_DELAY_MS: Ms = 500;
/// Share of the mean size of all pools, in percent, that each pool keeps: capacity for long-running tasks,
/// for the first jobs of a sudden burst, and for a change of coordinator while such a burst begins.
const RETAIN_PERCENT: usize = 40;
/// Share of its capacity, in percent, that a pool keeps unused when it gives machines away.
const HEADROOM_PERCENT: u64 = 25;

/// Milliseconds on a monotonic clock.
pub type Ms = u64;

/// Load of a pool, reported by the owner of its shard; CPU is in thousandths of a core.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PoolLoad {
    /// Pool, identified by its service.
    pub name: String,
    /// CPU requested by tasks that wait and could start now.
    pub pending_cpu: u64,
    /// Part of it that waits with the highest priority present.
    pub urgent_cpu: u64,
    /// Priority of the most urgent waiting job, or arriving one if none waits; 0 is the highest.
    pub priority: u32,
    /// CPU in use.
    pub used_cpu: u64,
    /// CPU that running and arriving work is expected to need once a machine ordered now has arrived.
    pub expected_cpu: u64,
    /// CPU capacity of the usable workers.
    pub cpu_capacity: u64,
    /// Workers that the pool lacks for tasks which fit none of its own, however much of its CPU is free.
    pub lacking_workers: u64,
    /// Ids of the workers on which nothing runs.
    pub idle_workers: Vec<String>,
}

/// Configuration of the planner.
#[derive(Clone, Copy, Debug)]
pub struct PlannerConfig {
    /// Time that a move takes.
    pub move_time: Ms,
    /// Time without shortage after which a pool gives machines to other pools.
    pub lend_delay: Ms,
    /// Time without shortage after which a pool returns machines to a spare pool.
    pub release_delay: Ms,
    /// Minimum size that a pool keeps, in percent of the mean size of all pools.
    pub retain_percent: usize,
    /// Capacity that a pool keeps unused when it gives machines away, in percent of its capacity.
    pub headroom_percent: u64,
}

impl PlannerConfig {
    /// Configuration for moves that take `move_time` milliseconds.
    #[must_use]
    pub const fn with_move_time(move_time: Ms) -> Self {
        Self {
            move_time,
            lend_delay: LEND_DELAY_MS,
            release_delay: move_time * 2,
            retain_percent: RETAIN_PERCENT,
            headroom_percent: HEADROOM_PERCENT,
        }
    }
}

/// A move of a machine to another pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Move {
    /// Machine to move.
    pub machine: String,
    /// Id of its worker; empty if it has none.
    pub worker: String,
    /// Pool that it leaves.
    pub from: String,
    /// Pool that it joins.
    pub to: String,
}

/// A pool that was short in a round in which the machines did not suffice; CPU is in thousandths of a core.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Shortage {
    /// Name of the pool.
    pub pool: String,
    /// Priority of its most urgent work; 0 is the highest.
    pub priority: u32,
    /// CPU that it lacked.
    pub shortfall: u64,
    /// CPU that it still lacks after the planned moves.
    pub unmet: u64,
    /// Number of machines that are planned to move to it.
    pub machines: usize,
}

/// Plan of one round.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    /// Moves to order, the most important first.
    pub moves: Vec<Move>,
    /// Pools that were short, if the machines did not suffice for all of them; otherwise empty.
    pub shortages: Vec<Shortage>,
}

/// Plans moves and tracks those that it has ordered.
#[derive(Debug)]
pub struct Planner {
    config: PlannerConfig,
    /// Time of the last shortage of each pool, or the time at which the pool was first seen.
    shortages: HashMap<String, Ms>,
    /// Moves in progress by machine: target pool and time of the order.
    in_flight: HashMap<String, (String, Ms)>,
    /// Machines and target pools of moves that the platform rejects permanently.
    rejected: BTreeSet<(String, String)>,
}

impl Planner {
    /// Creates a planner without history.
    #[must_use]
    pub fn new(config: PlannerConfig) -> Self {
        Self { config, shortages: HashMap::new(), in_flight: HashMap::new(), rejected: BTreeSet::new() }
    }

    /// Records that the platform permanently rejects a move, so that it is not planned again.
    pub fn record_rejection(&mut self, machine: &str, to: &str) {
        self.in_flight.remove(machine);
        self.rejected.insert((machine.to_owned(), to.to_owned()));
    }

    /// Records that a move was ordered.
    pub fn record_order(&mut self, now: Ms, order: &Move) {
        self.in_flight.insert(order.machine.clone(), (order.to.clone(), now));
    }

    /// Plans the moves to order now.
    ///
    /// Machines of `spare_pools` are powered off. Machines in `excluded`, such as those of a maintenance wave
    /// or of a zone that is out of service, are not moved.
    pub fn plan(
        &mut self,
        now: Ms,
        machines: &[Machine],
        loads: &[PoolLoad],
        spare_pools: &BTreeSet<String>,
        excluded: &BTreeSet<String>,
    ) -> Plan {
        self.observe(now, machines, loads);
        let available = self.available_machines(now, machines, loads, spare_pools, excluded);
        let needs: Vec<Need<'_>> =
            loads.iter().map(|l| self.need(l, machines)).filter(|n| n.total > 0).collect();
        let (mut moves, mut left, sufficient) = self.serve_all(&needs, &available);
        if !sufficient && needs.len() > 1 {
            (moves, left) = self.divide(&needs, available, loads, spare_pools);
        }
        let shortages = if sufficient { Vec::new() } else { shortages(&needs, &moves, machines) };
        moves.extend(self.release(now, &left, spare_pools));
        Plan { moves, shortages }
    }

    /// Serves all pools completely, the largest shortfall first. Returns the moves, the machines that are left, and
    /// whether that covers each shortfall without a machine of a pool that is short itself.
    fn serve_all<'a>(
        &self,
        needs: &[Need<'_>],
        available: &[&'a Machine],
    ) -> (Vec<Move>, Vec<&'a Machine>, bool) {
        let mut left = available.to_vec();
        let (mut moves, mut sufficient) = (Vec::new(), true);
        let mut order: Vec<&Need<'_>> = needs.iter().collect();
        order.sort_by_key(|n| (Reverse(n.total), n.pool));
        for need in order {
            let mut shortfall = need.total;
            while shortfall > 0 {
                let Some(index) = left.iter().position(|m| self.may_move(m, need.pool)) else {
                    sufficient = false;
                    break;
                };
                let machine = left.remove(index);
                sufficient &= needs.iter().all(|n| n.pool != machine.pool);
                shortfall = shortfall.saturating_sub(machine.cpu.max(1));
                moves.push(move_to(machine, need.pool));
            }
        }
        (moves, left, sufficient)
    }

    /// Divides machines that do not suffice: spare ones first, then those of the pools with the least urgent work.
    /// Pools that are short give none away. Returns the moves and the machines that are left.
    fn divide<'a>(
        &self,
        needs: &[Need<'_>],
        available: Vec<&'a Machine>,
        loads: &[PoolLoad],
        spare_pools: &BTreeSet<String>,
    ) -> (Vec<Move>, Vec<&'a Machine>) {
        let mut left = available;
        left.retain(|m| needs.iter().all(|n| n.pool != m.pool));
        let priority = |m: &Machine| loads.iter().find(|l| l.name == m.pool).map(|l| l.priority);
        left.sort_by_key(|m| (!spare_pools.contains(&m.pool), Reverse(priority(m))));
        let mut needs = needs.to_vec();
        let mut moves = Vec::new();
        while let Next::Move { machine, need } =
            allocation::next(&needs, &left, |m, pool| self.may_move(m, pool))
        {
            let (machine, need) = (left.remove(machine), &mut needs[need]);
            need.grant(machine.cpu);
            moves.push(move_to(machine, need.pool));
        }
        (moves, left)
    }

    /// Whether a machine can move to a pool.
    fn may_move(&self, machine: &Machine, pool: &str) -> bool {
        machine.pool != pool && !self.is_rejected(&machine.name, pool)
    }

    /// Notes which pools are short of CPU and drops orders that are fulfilled or overdue.
    fn observe(&mut self, now: Ms, machines: &[Machine], loads: &[PoolLoad]) {
        for load in loads {
            let last = self.shortages.entry(load.name.clone()).or_insert(now);
            if load.pending_cpu > load.cpu_capacity.saturating_sub(load.used_cpu) {
                *last = now;
            }
        }
        let arrived = |name: &str, to: &str| machines.iter().any(|m| m.name == name && m.pool == to);
        let timeout = self.config.move_time * 2;
        self.in_flight.retain(|name, (to, at)| now < *at + timeout && !arrived(name, to));
    }

    /// CPU that a pool lacks beyond what is free there or arriving, or that of the machines that it lacks.
    fn need<'a>(&self, load: &'a PoolLoad, machines: &[Machine]) -> Need<'a> {
        let largest = machines.iter().map(|m| m.cpu).max().unwrap_or(0);
        let moving = machines.iter().filter(|m| m.pool == load.name && m.state == MachineState::Moving);
        let ordered = self.in_flight.values().filter(|(to, _)| *to == load.name).count() as u64;
        let arriving = moving.map(|m| m.cpu).sum::<u64>() + ordered * largest;
        let expected = load.expected_cpu * 100 / FILL_PERCENT;
        let lacking = |waiting: u64| {
            (load.used_cpu + waiting).max(expected).saturating_sub(load.cpu_capacity + arriving)
        };
        let short = lacking(load.pending_cpu);
        // Jobs at a standstill wait now, whatever their priority.
        let standing = (load.lacking_workers * largest).saturating_sub(arriving);
        let (urgent, total) = if short > 0 {
            (lacking(load.urgent_cpu.min(load.pending_cpu)), short)
        } else {
            (standing, standing)
        };
        Need { pool: &load.name, priority: load.priority, urgent, total }
    }

    /// Machines that may leave their pools; spare ones come first, as no service loses capacity by them.
    fn available_machines<'a>(
        &self,
        now: Ms,
        machines: &'a [Machine],
        loads: &[PoolLoad],
        spare_pools: &BTreeSet<String>,
        excluded: &BTreeSet<String>,
    ) -> Vec<&'a Machine> {
        let pools: BTreeSet<&str> = machines
            .iter()
            .map(|m| m.pool.as_str())
            .chain(spare_pools.iter().map(String::as_str))
            .chain(loads.iter().map(|l| l.name.as_str()))
            .collect();
        let min_size = (machines.len() * self.config.retain_percent).div_ceil(100 * pools.len().max(1));
        let mut remaining: BTreeMap<&str, (usize, u64)> = BTreeMap::new();
        for load in loads {
            let size = machines.iter().filter(|m| m.pool == load.name && m.state == MachineState::Up).count();
            remaining.insert(&load.name, (size, load.cpu_capacity));
        }
        let movable = |m: &&Machine| {
            m.state == MachineState::Up
                && !excluded.contains(&m.name)
                && !self.in_flight.contains_key(&m.name)
        };
        let mut available: Vec<&Machine> =
            machines.iter().filter(movable).filter(|m| spare_pools.contains(&m.pool)).collect();
        for machine in machines.iter().filter(movable) {
            let Some(load) = loads.iter().find(|l| l.name == machine.pool) else { continue };
            let may_lend = self.shortages.get(&load.name).is_some_and(|t| now >= *t + self.config.lend_delay);
            let Some((size, capacity)) = remaining.get_mut(load.name.as_str()) else { continue };
            let reduced = capacity.saturating_sub(machine.cpu);
            let has_headroom = reduced * (100 - self.config.headroom_percent) >= load.used_cpu * 100
                && reduced * FILL_PERCENT >= load.expected_cpu * 100;
            if may_lend && has_headroom && *size > min_size && load.idle_workers.contains(&machine.worker) {
                *size -= 1;
                *capacity = reduced;
                available.push(machine);
            }
        }
        available
    }

    /// Returns machines that no pool needs to a spare pool.
    fn release(&self, now: Ms, available: &[&Machine], spare_pools: &BTreeSet<String>) -> Vec<Move> {
        let Some(target) = spare_pools.first() else { return Vec::new() };
        available
            .iter()
            .filter(|m| !spare_pools.contains(&m.pool) && !self.is_rejected(&m.name, target))
            .filter(|m| self.shortages.get(&m.pool).is_some_and(|t| now >= *t + self.config.release_delay))
            .map(|m| move_to(m, target))
            .collect()
    }

    fn is_rejected(&self, machine: &str, to: &str) -> bool {
        self.rejected.contains(&(machine.to_owned(), to.to_owned()))
    }
}

/// What each short pool lacked, and what it gets by the planned moves.
fn shortages(needs: &[Need<'_>], moves: &[Move], machines: &[Machine]) -> Vec<Shortage> {
    let cpu = |m: &Move| machines.iter().find(|machine| machine.name == m.machine).map_or(0, |m| m.cpu);
    let shortage = |need: &Need<'_>| {
        let granted: Vec<u64> = moves.iter().filter(|m| m.to == need.pool).map(cpu).collect();
        Shortage {
            pool: need.pool.to_owned(),
            priority: need.priority,
            shortfall: need.total,
            unmet: need.total.saturating_sub(granted.iter().sum()),
            machines: granted.len(),
        }
    };
    needs.iter().map(shortage).collect()
}

fn move_to(machine: &Machine, pool: &str) -> Move {
    Move {
        machine: machine.name.clone(),
        worker: machine.worker.clone(),
        from: machine.pool.clone(),
        to: pool.to_owned(),
    }
}
