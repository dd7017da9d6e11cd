//! Plans maintenance waves: which machines to drain next, and on which of them to start maintenance.
//!
//! The planner works from the platform's machine list, the number of runs left on each machine, and the
//! machines of the wave whose maintenance has already started. It never lets more machines be unavailable
//! than the wave allows: a machine counts as unavailable from the moment its maintenance is ordered until the
//! platform lists it as up again.
//!
//! The list does not say for which wave a machine is down. If only one wave has the machine, its own order must have
//! brought that about, even an order that went without an answer. A machine that several waves share has its maintenance
//! once for each of them, so there only the platform's answer to a wave's order tells that the maintenance has begun. An
//! unanswered order is sent again once the machine is up: the platform answers success if the first one took effect.
//!
//! The crate does no I/O and reads no clock.

use std::collections::{BTreeMap, BTreeSet};

/// Milliseconds on a monotonic clock.
pub type Ms = u64;

/// Maximum age of the platform's machine list; well under the time that maintenance takes.
const MAX_LIST_AGE: Ms = 500;
/// Time after which an unanswered order is retried.
const RETRY_DELAY: Ms = 3_000;

/// State of a machine as reported by the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MachineState {
    /// In service.
    Up,
    /// Moving to another pool.
    Moving,
    /// Down for maintenance.
    Maintenance,
    /// Down for another reason.
    Down,
}

/// An entry of the platform's machine list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Machine {
    /// Name.
    pub name: String,
    /// Pool that it belongs to, identified by its service.
    pub pool: String,
    /// State.
    pub state: MachineState,
    /// Availability zone.
    pub zone: String,
    /// Id of the worker that it runs; empty if there is none.
    pub worker: String,
    /// CPU capacity in thousandths of a core.
    pub cpu: u64,
}

/// Progress of one machine through a wave.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Not yet drained.
    Pending,
    /// Being drained since this time.
    Draining(Ms),
    /// Maintenance was ordered at this time; the answer may have been lost.
    Ordered(Ms),
    /// Maintenance started at this time and has not ended.
    Started(Ms),
    /// Back in service.
    Done,
}

/// Next action on a machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Start no new tasks on it and move its running tasks elsewhere.
    Drain(String),
    /// Order the start of its maintenance.
    Start(String),
}

/// Progress of one wave.
#[derive(Clone, Debug)]
pub struct Wave {
    stages: BTreeMap<String, Stage>,
    max_unavailable: usize,
    began: Ms,
    duration: Ms,
    /// Machines of the wave that are down or moving without an order from this planner, such as those that an
    /// earlier coordinator ordered.
    already_down: usize,
    /// Machines of the wave that other waves have, too.
    shared: BTreeSet<String>,
}

/// Machines that are in several of the waves, each given by its machines.
#[must_use]
pub fn shared_machines<'a>(waves: impl Iterator<Item = &'a [String]>) -> BTreeSet<String> {
    let (mut seen, mut shared) = (BTreeSet::new(), BTreeSet::new());
    for machines in waves {
        let distinct: BTreeSet<&String> = machines.iter().collect();
        shared.extend(distinct.iter().filter(|m| seen.contains(*m)).map(|m| (*m).clone()));
        seen.extend(distinct);
    }
    shared
}

impl Wave {
    /// Creates a wave that began at `began` and is due within `duration`. Maintenance of the machines in
    /// `started` was started by an earlier coordinator.
    #[must_use]
    pub fn new(
        machines: &[String],
        max_unavailable: usize,
        began: Ms,
        duration: Ms,
        started: &BTreeSet<String>,
    ) -> Self {
        let initial = |m: &String| if started.contains(m) { Stage::Done } else { Stage::Pending };
        let stages = machines.iter().map(|m| (m.clone(), initial(m))).collect();
        Self {
            stages,
            max_unavailable: max_unavailable.max(1),
            began,
            duration,
            already_down: 0,
            shared: BTreeSet::new(),
        }
    }

    /// Sets which machines other waves have, too.
    pub fn set_shared(&mut self, shared: &BTreeSet<String>) {
        self.shared = shared.iter().filter(|m| self.stages.contains_key(*m)).cloned().collect();
    }

    /// Updates the stages from the platform's machine list; machines that are not listed leave the wave.
    pub fn observe(&mut self, now: Ms, machines: &[Machine]) {
        let listed: BTreeMap<&str, MachineState> =
            machines.iter().map(|m| (m.name.as_str(), m.state)).collect();
        self.stages.retain(|name, _| listed.contains_key(name.as_str()));
        self.already_down = 0;
        for (name, stage) in &mut self.stages {
            let Some(state) = listed.get(name.as_str()) else { continue };
            match (&stage, state) {
                // An earlier coordinator started its maintenance, which has not ended.
                (Stage::Done, MachineState::Maintenance) => *stage = Stage::Started(now),
                (Stage::Pending | Stage::Draining(_), MachineState::Maintenance | MachineState::Moving) => {
                    self.already_down += 1;
                }
                // A list from before the start may still show the machine as up.
                (Stage::Started(at), MachineState::Up) if now >= *at + MAX_LIST_AGE => *stage = Stage::Done,
                // A shared machine may be down for another wave.
                (Stage::Ordered(_), MachineState::Maintenance) if !self.shared.contains(name) => {
                    *stage = Stage::Started(now);
                }
                // Retrying is safe: the platform answers success if the first order took effect late.
                (Stage::Ordered(at), MachineState::Up) if now >= *at + RETRY_DELAY => *stage = Stage::Pending,
                _ => {}
            }
        }
    }

    /// True if maintenance has started on every machine of the wave that is still listed.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.stages.values().all(|s| matches!(s, Stage::Done | Stage::Started(_)))
    }

    /// Machines whose maintenance has started or ended.
    #[must_use]
    pub fn started(&self) -> BTreeSet<String> {
        let started = |s: &Stage| matches!(s, Stage::Done | Stage::Started(_));
        self.stages.iter().filter(|(_, s)| started(s)).map(|(n, _)| n.clone()).collect()
    }

    /// Machines that are being drained or are down for maintenance.
    pub fn active(&self) -> impl Iterator<Item = &String> {
        let active = |s: &Stage| !matches!(s, Stage::Pending | Stage::Done);
        self.stages.iter().filter(move |(_, s)| active(s)).map(|(n, _)| n)
    }

    /// Machines whose maintenance has not been ordered.
    pub fn remaining(&self) -> impl Iterator<Item = &String> {
        let remaining = |s: &Stage| matches!(s, Stage::Pending | Stage::Draining(_));
        self.stages.iter().filter(move |(_, s)| remaining(s)).map(|(n, _)| n)
    }

    /// Machines that are being drained.
    pub fn draining(&self) -> impl Iterator<Item = &String> {
        self.stages.iter().filter(|(_, s)| matches!(s, Stage::Draining(_))).map(|(n, _)| n)
    }

    /// Records the platform's answer to an order.
    pub fn record_outcome(&mut self, now: Ms, machine: &str, outcome: Outcome) {
        let Some(stage) = self.stages.get_mut(machine) else { return };
        match outcome {
            Outcome::Started => *stage = Stage::Started(now),
            Outcome::Unknown => {}
            Outcome::NotStarted => *stage = Stage::Pending,
        }
    }

    /// Plans the next actions, with at most `max_orders` starts of maintenance.
    ///
    /// `runs` holds the number of runs left on each machine, where it is known. The machines in `idle` run
    /// nothing, and no task waits for a machine of their pools.
    pub fn plan(
        &mut self,
        now: Ms,
        machines: &[Machine],
        runs: &BTreeMap<String, usize>,
        idle: &BTreeSet<String>,
        max_orders: usize,
    ) -> Vec<Action> {
        let mut actions = self.start_drained(now, machines, runs, max_orders);
        actions.extend(self.drain_idle(now, machines, idle));
        actions.extend(self.drain_due(now, machines));
        actions
    }

    fn unavailable(&self) -> usize {
        self.already_down
            + self.stages.values().filter(|s| matches!(s, Stage::Ordered(_) | Stage::Started(_))).count()
    }

    /// Starts maintenance on drained machines.
    fn start_drained(
        &mut self,
        now: Ms,
        machines: &[Machine],
        runs: &BTreeMap<String, usize>,
        max_orders: usize,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        for machine in machines {
            let drained = machine.worker.is_empty() || runs.get(&machine.name) == Some(&0);
            if actions.len() >= max_orders
                || self.unavailable() >= self.max_unavailable
                || !drained
                || machine.state != MachineState::Up
            {
                continue;
            }
            if let Some(stage @ Stage::Draining(_)) = self.stages.get_mut(&machine.name) {
                *stage = Stage::Ordered(now);
                actions.push(Action::Start(machine.name.clone()));
            }
        }
        actions
    }

    /// Drains idle machines ahead of schedule, since no task has to move for their maintenance.
    fn drain_idle(&mut self, now: Ms, machines: &[Machine], idle: &BTreeSet<String>) -> Vec<Action> {
        let free = self.max_unavailable.saturating_sub(self.active().count());
        let ready = |m: &&Machine| idle.contains(&m.name) && self.is_pending(m);
        let names: Vec<String> = machines.iter().filter(ready).take(free).map(|m| m.name.clone()).collect();
        names.into_iter().map(|name| self.drain(now, name)).collect()
    }

    /// Drains as many machines as the schedule of the wave requires by now, spread over the pools.
    fn drain_due(&mut self, now: Ms, machines: &[Machine]) -> Vec<Action> {
        let total = self.stages.len().max(1);
        let elapsed = now.saturating_sub(self.began);
        // Plans for three fifths of the duration, since a change of coordinator costs several seconds.
        let span = (self.duration * 3 / 5).max(1);
        let due = usize::try_from(elapsed * total as u64 / span).unwrap_or(total) + 1;
        let begun = self.stages.values().filter(|s| **s != Stage::Pending).count();
        let free = self.max_unavailable.saturating_sub(self.active().count());
        let mut unavailable: BTreeMap<&str, usize> = BTreeMap::new();
        for machine in machines {
            let stage = self.stages.get(&machine.name);
            let away = machine.state != MachineState::Up || matches!(stage, Some(Stage::Draining(_)));
            *unavailable.entry(&machine.pool).or_default() += usize::from(away);
        }
        let mut actions = Vec::new();
        for _ in 0..due.min(total).saturating_sub(begun).min(free) {
            let candidate = machines
                .iter()
                .filter(|m| self.is_pending(m))
                .min_by_key(|m| (unavailable.get(m.pool.as_str()).copied().unwrap_or(0), &m.name));
            let Some(machine) = candidate else { break };
            *unavailable.entry(&machine.pool).or_default() += 1;
            actions.push(self.drain(now, machine.name.clone()));
        }
        actions
    }

    fn is_pending(&self, machine: &Machine) -> bool {
        machine.state == MachineState::Up && self.stages.get(&machine.name) == Some(&Stage::Pending)
    }

    fn drain(&mut self, now: Ms, name: String) -> Action {
        self.stages.insert(name.clone(), Stage::Draining(now));
        Action::Drain(name)
    }
}

/// Outcome of an order to start maintenance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Maintenance has started, by this or an earlier order.
    Started,
    /// Maintenance has definitely not started.
    NotStarted,
    /// The order was not answered.
    Unknown,
}
