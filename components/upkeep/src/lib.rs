//! Which machines of a maintenance wave to empty and which to take down next.
//!
//! The planner sees the platform's list of machines, what each still runs, and which of the wave are done. It
//! never lets more machines be down than the wave allows: a machine counts as down from the moment that its
//! maintenance is ordered until it is listed with a new worker.

use std::collections::{BTreeMap, BTreeSet};

/// Milliseconds on a steady clock.
pub type Ms = u64;

/// What the platform says of a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MachineState {
    /// Works.
    Up,
    /// On its way to another pool.
    Moving,
    /// Down for maintenance.
    Maintenance,
    /// Down for another cause.
    Down,
}

/// A machine as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Machine {
    /// Name.
    pub name: String,
    /// Service whose pool it belongs to.
    pub pool: String,
    /// State.
    pub state: MachineState,
    /// Availability zone.
    pub zone: String,
    /// Id of its worker; empty if it has none.
    pub worker: String,
    /// Thousandths of a core that it has.
    pub cpu: u64,
}

/// Where a machine of a wave stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Not begun.
    Pending,
    /// Being emptied since.
    Emptying(Ms),
    /// Maintenance was ordered for this worker; the answer may be lost.
    Ordered(String),
    /// Begun, and not back.
    Begun(String),
    /// Back.
    Done,
}

/// What to do with a machine next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Next {
    /// Keep new tasks off it and move its tasks away.
    Empty(String),
    /// Order its maintenance.
    Order(String),
}

/// Progress of one wave.
#[derive(Clone, Debug)]
pub struct Wave {
    stages: BTreeMap<String, Stage>,
    at_once: usize,
    began: Ms,
    span: Ms,
}

impl Wave {
    /// A wave that was asked for now; `done` machines have begun before.
    #[must_use]
    pub fn new(machines: &[String], at_once: usize, now: Ms, span: Ms, done: &BTreeSet<String>) -> Self {
        let first = |m: &String| if done.contains(m) { Stage::Done } else { Stage::Pending };
        let stages = machines.iter().map(|m| (m.clone(), first(m))).collect();
        Self { stages, at_once: at_once.max(1), began: now, span }
    }

    /// Takes the platform's list: machines that are back are done, machines that left are not owed.
    pub fn see(&mut self, list: &[Machine]) {
        let listed: BTreeMap<&str, &Machine> = list.iter().map(|m| (m.name.as_str(), m)).collect();
        self.stages.retain(|name, _| listed.contains_key(name.as_str()));
        for (name, stage) in &mut self.stages {
            let Some(machine) = listed.get(name.as_str()) else { continue };
            let back = |before: &str| machine.state == MachineState::Up && machine.worker != before;
            match stage {
                Stage::Begun(before) if back(before) => *stage = Stage::Done,
                Stage::Ordered(before) if back(before) => *stage = Stage::Done,
                Stage::Ordered(before) if machine.state == MachineState::Maintenance => {
                    *stage = Stage::Begun(std::mem::take(before));
                }
                _ => {}
            }
        }
    }

    /// All machines that stay have been begun.
    #[must_use]
    pub fn complete(&self) -> bool {
        self.stages.values().all(|s| matches!(s, Stage::Done | Stage::Begun(_)))
    }

    /// Machines that have begun.
    #[must_use]
    pub fn begun(&self) -> BTreeSet<String> {
        let begun = |s: &Stage| matches!(s, Stage::Done | Stage::Begun(_));
        self.stages.iter().filter(|(_, s)| begun(s)).map(|(n, _)| n.clone()).collect()
    }

    /// Machines that are being emptied or are down.
    pub fn active(&self) -> impl Iterator<Item = &String> {
        let active = |s: &Stage| !matches!(s, Stage::Pending | Stage::Done);
        self.stages.iter().filter(move |(_, s)| active(s)).map(|(n, _)| n)
    }

    /// Machines that are being emptied.
    pub fn emptying(&self) -> impl Iterator<Item = &String> {
        self.stages.iter().filter(|(_, s)| matches!(s, Stage::Emptying(_))).map(|(n, _)| n)
    }

    /// The platform has answered an order.
    pub fn ordered(&mut self, machine: &str, outcome: Outcome) {
        let Some(stage) = self.stages.get_mut(machine) else { return };
        let Stage::Ordered(worker) = stage else { return };
        let worker = std::mem::take(worker);
        *stage = match outcome {
            Outcome::Begun => Stage::Begun(worker),
            Outcome::Unknown => Stage::Ordered(worker),
            Outcome::NotDone => Stage::Pending,
        };
    }

    /// What to do next. `left` gives the runs on a machine, if that is known.
    pub fn plan(&mut self, now: Ms, list: &[Machine], left: &BTreeMap<String, usize>) -> Vec<Next> {
        let mut steps = self.orders(list, left);
        steps.extend(self.openings(now, list));
        steps
    }

    fn down(&self) -> usize {
        self.stages.values().filter(|s| matches!(s, Stage::Ordered(_) | Stage::Begun(_))).count()
    }

    fn orders(&mut self, list: &[Machine], left: &BTreeMap<String, usize>) -> Vec<Next> {
        let mut steps = Vec::new();
        for machine in list {
            let empty = machine.worker.is_empty() || left.get(&machine.name) == Some(&0);
            if self.down() >= self.at_once || !empty || machine.state != MachineState::Up {
                continue;
            }
            if let Some(stage @ Stage::Emptying(_)) = self.stages.get_mut(&machine.name) {
                *stage = Stage::Ordered(machine.worker.clone());
                steps.push(Next::Order(machine.name.clone()));
            }
        }
        steps
    }

    /// Opens as many machines as keep the wave in time, spread over the pools.
    fn openings(&mut self, now: Ms, list: &[Machine]) -> Vec<Next> {
        let total = self.stages.len().max(1);
        let elapsed = now.saturating_sub(self.began);
        // In time with a fifth of the span to spare.
        let span = (self.span * 4 / 5).max(1);
        let due = usize::try_from(elapsed * total as u64 / span).unwrap_or(total) + 1;
        let opened = self.stages.values().filter(|s| **s != Stage::Pending).count();
        let active = opened - self.stages.values().filter(|s| **s == Stage::Done).count();
        let mut free = due.min(total).saturating_sub(opened).min(self.at_once.saturating_sub(active));
        let mut busy: BTreeMap<&str, usize> = BTreeMap::new();
        for machine in list {
            let stage = self.stages.get(&machine.name);
            let away = machine.state != MachineState::Up || matches!(stage, Some(Stage::Emptying(_)));
            *busy.entry(&machine.pool).or_default() += usize::from(away);
        }
        let mut steps = Vec::new();
        while free > 0 {
            let candidate = list
                .iter()
                .filter(|m| m.state == MachineState::Up && self.stages.get(&m.name) == Some(&Stage::Pending))
                .min_by_key(|m| (busy.get(m.pool.as_str()).copied().unwrap_or(0), &m.name));
            let Some(machine) = candidate else { break };
            *busy.entry(&machine.pool).or_default() += 1;
            self.stages.insert(machine.name.clone(), Stage::Emptying(now));
            steps.push(Next::Empty(machine.name.clone()));
            free -= 1;
        }
        steps
    }
}

/// Answer to an order of maintenance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It has begun, or was done before.
    Begun,
    /// It has surely not begun.
    NotDone,
    /// No answer.
    Unknown,
}
