//! Decides which pool gets the next machine when machines do not suffice for all pools that are short.
//!
//! Answers a load in which several queues peak together. Serving the largest shortfall completely leaves callers of
//! urgent queues waiting while a pool with less urgent work gets the machines. So machines go one by one to the pool
//! whose most urgent uncovered work has the highest priority, and among equal priorities to the pool with the most
//! uncovered work, which levels what remains uncovered.
//!
//! A pool reports its waiting work of one priority only. What it lacks beyond that has a later priority, which is
//! taken as the next one. Arriving work counts at the reported priority, as it waits by the time a machine joins.

use std::cmp::Reverse;

use maintenance::Machine;

/// What a pool lacks; CPU is in thousandths of a core.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Need<'a> {
    /// Name of the pool.
    pub pool: &'a str,
    /// Priority of its most urgent work; 0 is the highest.
    pub priority: u32,
    /// CPU lacking for work of that priority.
    pub urgent: u64,
    /// CPU lacking for all work, at least `urgent`.
    pub total: u64,
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Move a machine to a pool; both are indices into the arguments of [`next`].
    Move {
        /// Index of the machine.
        machine: usize,
        /// Index of the pool's need.
        need: usize,
    },
    /// No pool lacks CPU, or no machine that is left can move to one that does.
    Done,
}

impl Need<'_> {
    /// Priority of the work that the next machine would serve.
    const fn next_priority(&self) -> u32 {
        if self.urgent > 0 { self.priority } else { self.priority.saturating_add(1) }
    }

    /// CPU lacking for work of [`Self::next_priority`].
    const fn next_loss(&self) -> u64 {
        if self.urgent > 0 { self.urgent } else { self.total }
    }

    /// Counts a machine with `cpu` as granted.
    pub const fn grant(&mut self, cpu: u64) {
        // A machine without known CPU counts as something, so that a pool does not get all of them.
        let cpu = if cpu == 0 { 1 } else { cpu };
        self.urgent = self.urgent.saturating_sub(cpu);
        self.total = self.total.saturating_sub(cpu);
    }
}

/// Chooses the next machine and its pool: the first of `machines` that `may_move` to the pool that loses most without
/// it. Equal losses go in the order of the pools' names.
#[must_use]
pub fn next(needs: &[Need<'_>], machines: &[&Machine], may_move: impl Fn(&Machine, &str) -> bool) -> Next {
    let mut short: Vec<(usize, &Need<'_>)> = needs.iter().enumerate().filter(|(_, n)| n.total > 0).collect();
    short.sort_by_key(|(_, n)| (n.next_priority(), Reverse(n.next_loss()), n.pool));
    let to_pool = |&(need, n): &(usize, &Need<'_>)| {
        let machine = machines.iter().position(|m| may_move(m, n.pool))?;
        Some(Next::Move { machine, need })
    };
    short.iter().find_map(to_pool).unwrap_or(Next::Done)
}
