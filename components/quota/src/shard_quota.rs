//! Quotas of one shard, kept by its owner.

use std::collections::{BTreeMap, HashMap};

use shard::{Resources, Usage};

use crate::{Claim, Grant, Report};

/// Divisor of a limit that gives the headroom of an active shard: the quota that it holds beyond its needs,
/// so that a start does not wait for the broker.
const HEADROOM_DIVISOR: u64 = 16;

/// The customers' quotas that the owner of a shard holds.
#[derive(Debug)]
pub struct ShardQuota {
    shard: u32,
    epoch: u64,
    sequence: u64,
    limits: BTreeMap<String, Resources>,
    held: BTreeMap<String, Resources>,
}

impl ShardQuota {
    /// Creates the state of a new owner, which holds no quota.
    #[must_use]
    pub const fn new(shard: u32, epoch: u64) -> Self {
        Self { shard, epoch, sequence: 0, limits: BTreeMap::new(), held: BTreeMap::new() }
    }

    /// Sets the customers' limits. A quota of a lowered limit is lowered in proportion, so that all shards
    /// together stay within the limit before the broker has learned of it.
    pub fn configure(&mut self, limits: BTreeMap<String, Resources>) {
        for (customer, held) in &mut self.held {
            let old = self.limits.get(customer).copied().unwrap_or_default();
            let new = limits.get(customer).copied().unwrap_or_default();
            held.cpu = scale_down(held.cpu, old.cpu, new.cpu);
            held.mem = scale_down(held.mem, old.mem, new.mem);
            held.gpu = scale_down(held.gpu, old.gpu, new.gpu);
        }
        self.limits = limits;
    }

    /// The quota of each customer, which is what the shard may have running.
    #[must_use]
    pub fn quotas(&self) -> HashMap<String, Resources> {
        self.held.iter().map(|(c, r)| (c.clone(), *r)).collect()
    }

    /// Creates the next report, which gives back quota that is neither used nor needed.
    pub fn next_report(&mut self, usage: &HashMap<String, Usage>) -> Report {
        self.sequence += 1;
        let mut claims = Vec::new();
        for (customer, limit) in &self.limits {
            let usage = usage.get(customer).copied().unwrap_or_default();
            let idle = usage == Usage::default();
            let headroom = if idle { Resources::default() } else { headroom(limit) };
            let need = usage.used + usage.demand + headroom;
            let held = self.held.entry(customer.clone()).or_default();
            *held = held.min(&need).max(&usage.used);
            let requested = need.saturating_sub(held);
            if *held != Resources::default() || requested != Resources::default() {
                let left = held.saturating_sub(&usage.used);
                let (next, least) = (usage.next.saturating_sub(&left), usage.least.saturating_sub(&left));
                claims.push(Claim { customer: customer.clone(), held: *held, requested, next, least });
            }
        }
        // A customer that was removed from the configuration is reported until its tasks have ended.
        for (customer, usage) in
            usage.iter().filter(|(c, u)| !self.limits.contains_key(*c) && u.used != Resources::default())
        {
            claims.push(Claim { customer: customer.clone(), held: usage.used, ..Claim::default() });
        }
        Report { shard: self.shard, epoch: self.epoch, sequence: self.sequence, claims }
    }

    /// Applies the broker's reply to the report numbered `sequence`; replies to older reports are ignored.
    pub fn apply_grants(&mut self, sequence: u64, grants: Vec<Grant>) {
        if sequence != self.sequence {
            return;
        }
        for grant in grants {
            if self.limits.contains_key(&grant.customer) {
                self.held.insert(grant.customer, grant.quota);
            }
        }
    }
}

const fn headroom(limit: &Resources) -> Resources {
    Resources {
        cpu: limit.cpu / HEADROOM_DIVISOR,
        mem: limit.mem / HEADROOM_DIVISOR,
        gpu: limit.gpu / HEADROOM_DIVISOR,
    }
}

/// Scales a quota down when its limit is lowered from `old` to `new`.
fn scale_down(held: u64, old: u64, new: u64) -> u64 {
    if new >= old {
        return held;
    }
    u64::try_from(u128::from(held) * u128::from(new) / u128::from(old.max(1))).unwrap_or(held)
}
