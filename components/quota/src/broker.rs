//! The broker, which divides limits between shards.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::ops::Div;

use shard::Resources;

use crate::{Grant, Report};

/// Milliseconds for which a limit is kept free for one shard's next task, and then not, before the next shard's
/// turn. Half of it serves the others, as what keeps the task waiting may never end.
const RESERVATION_MS: u64 = 2_000;

/// Divides customers' limits between shards.
#[derive(Debug, Default)]
pub struct Broker {
    limits: BTreeMap<String, Resources>,
    shards: BTreeSet<u32>,
    /// Epoch and sequence number of each shard's latest report.
    latest: BTreeMap<u32, (u64, u64)>,
    /// Allocations of each customer's limit.
    allocations: BTreeMap<String, Allocations>,
}

/// Allocations of one customer's limit.
#[derive(Debug, Default)]
struct Allocations {
    by_shard: BTreeMap<u32, Allocation>,
    /// Shards whose next task needs more than was free, in the order of their turns.
    waiting: VecDeque<u32>,
    /// Start of the first one's turn.
    turn_since: u64,
}

/// What a shard holds and requests of a customer's limit.
#[derive(Clone, Copy, Debug, Default)]
struct Allocation {
    held: Resources,
    requested: Resources,
    /// Parts of `requested` that the next and the smallest waiting task need.
    next: Resources,
    least: Resources,
}

impl Broker {
    /// Sets each customer's limit and the shards that have to report.
    pub fn configure(&mut self, limits: BTreeMap<String, Resources>, shards: BTreeSet<u32>) {
        self.limits = limits;
        self.shards = shards;
    }

    /// True if every shard has reported to this broker.
    #[must_use]
    pub fn all_reported(&self) -> bool {
        self.shards.iter().all(|s| self.latest.contains_key(s))
    }

    /// Handles a report at monotonic time `now` and returns the shard's new quotas, or `None` if the report is
    /// repeated or outdated.
    pub fn handle_report(&mut self, now: u64, report: &Report) -> Option<Vec<Grant>> {
        let version = (report.epoch, report.sequence);
        if self.latest.get(&report.shard).is_some_and(|latest| *latest >= version) {
            return None;
        }
        self.latest.insert(report.shard, version);
        for allocations in self.allocations.values_mut() {
            allocations.by_shard.remove(&report.shard);
        }
        for claim in &report.claims {
            let allocation = Allocation {
                held: claim.held,
                requested: claim.requested,
                next: claim.next,
                least: claim.least,
            };
            let allocations = self.allocations.entry(claim.customer.clone()).or_default();
            allocations.by_shard.insert(report.shard, allocation);
        }
        for allocations in self.allocations.values_mut() {
            allocations.update_turns(now);
        }
        Some(report.claims.iter().map(|c| self.grant(now, report.shard, &c.customer)).collect())
    }

    fn grant(&mut self, now: u64, shard: u32, customer: &str) -> Grant {
        let all_reported = self.all_reported();
        let limit = self.limits.get(customer).copied();
        let quota = match (self.allocations.get_mut(customer), limit) {
            (Some(allocations), Some(limit)) => allocations.grant(now, shard, &limit, all_reported),
            _ => Resources::default(),
        };
        Grant { customer: customer.to_owned(), quota }
    }
}

impl Allocations {
    /// Drops shards that no longer wait, and ends the first one's turn when its time is over.
    fn update_turns(&mut self, now: u64) {
        let first = self.waiting.front().copied();
        let by_shard = &self.by_shard;
        self.waiting.retain(|s| by_shard.get(s).is_some_and(|a| a.next != Resources::default()));
        if self.waiting.front().copied() != first {
            self.turn_since = now;
        } else if now >= self.turn_since + 2 * RESERVATION_MS {
            self.waiting.rotate_left(usize::from(self.waiting.len() > 1));
            self.turn_since = now;
        }
    }

    /// Shard for whose next task the limit is kept free.
    fn turn(&self, now: u64) -> Option<u32> {
        self.waiting.front().copied().filter(|_| now < self.turn_since + RESERVATION_MS)
    }

    /// A shard's quota. Excess over the limit is withdrawn in proportion to what each shard holds, and free quota
    /// is granted in proportion to what each shard requests, but no less than a waiting task needs.
    fn grant(&mut self, now: u64, shard: u32, limit: &Resources, all_reported: bool) -> Resources {
        let own = self.by_shard.get(&shard).copied().unwrap_or_default();
        if !all_reported {
            return own.held;
        }
        let sum = |amount: fn(&Allocation) -> Resources| {
            self.by_shard.values().fold(Resources::default(), |sum, a| sum + amount(a))
        };
        let (held, requested) = (sum(|a| a.held), sum(|a| a.requested));
        let turn = self.turn(now);
        let preferred =
            turn.filter(|s| *s != shard).and_then(|s| self.by_shard.get(&s)).copied().unwrap_or_default();
        let excess = (held + preferred.next).saturating_sub(limit);
        let free = limit.saturating_sub(&(held + preferred.next));
        let kept = own.held - share(&excess, &own.held, &(held - preferred.held), u128::div_ceil);
        let part = share(&free, &own.requested, &requested, u128::div).min(&own.requested);
        let added = if own.next.fits(&part) {
            part
        } else if own.next.fits(&free) {
            own.next.max(&part)
        } else if turn != Some(shard) && own.least.fits(&free) {
            own.least.max(&part)
        } else {
            Resources::default()
        };
        if own.next.fits(&added) {
            self.waiting.retain(|s| *s != shard);
        } else if !self.waiting.contains(&shard) {
            if self.waiting.is_empty() {
                self.turn_since = now;
            }
            self.waiting.push_back(shard);
        }
        let quota = kept + added;
        if let Some(allocation) = self.by_shard.get_mut(&shard) {
            // A quota that is reduced counts as held until the owner reports that it has given it up.
            allocation.held = allocation.held.max(&quota);
        }
        quota
    }
}

/// For each amount, `amount * own / all`, divided by `divide`.
fn share(amount: &Resources, own: &Resources, all: &Resources, divide: fn(u128, u128) -> u128) -> Resources {
    let prorate = |amount: u64, own: u64, all: u64| {
        let part = divide(u128::from(amount) * u128::from(own), u128::from(all.max(1)));
        u64::try_from(part).unwrap_or(u64::MAX)
    };
    Resources {
        cpu: prorate(amount.cpu, own.cpu, all.cpu),
        mem: prorate(amount.mem, own.mem, all.mem),
        gpu: prorate(amount.gpu, own.gpu, all.gpu),
    }
}
