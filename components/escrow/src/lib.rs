//! Escrow of a team's upper limit: it is split into units that entry hosts hold and transfer to each other.
//!
//! One unit is the right to run one task, and a host starts a task only with a free unit. The log allots
//! units to incarnations. Live hosts transfer units by cumulative counters: the sender first raises its
//! counter for the receiver, then sends the counter, and the receiver keeps the highest value seen. Lost,
//! repeated and reordered messages therefore never create units. Once an incarnation is fenced, a settlement
//! on the log adds each live host's counters for it to the allotments.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Identifies one run of one entry host.
pub type Incarnation = u64;

/// Units of one team that one host holds.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct HostQuota {
    allotted: i64,
    #[serde(rename = "given")]
    transferred: BTreeMap<Incarnation, i64>,
    received: BTreeMap<Incarnation, i64>,
    used: i64,
    returning: i64,
}

impl HostQuota {
    /// Units that this host holds, whether in use, free or being returned.
    #[must_use]
    pub fn held(&self) -> i64 {
        self.allotted + self.received.values().sum::<i64>() - self.transferred.values().sum::<i64>()
    }

    /// Units available for new tasks.
    #[must_use]
    pub fn free(&self) -> i64 {
        self.held() - self.used - self.returning
    }

    /// Units in use by tasks.
    #[must_use]
    pub const fn used(&self) -> i64 {
        self.used
    }

    /// Sets the number of units that the log allots to this host.
    pub const fn set_allotment(&mut self, units: i64) {
        self.allotted = units;
    }

    /// Acquires one unit for a task; returns false if none is free.
    pub fn acquire(&mut self) -> bool {
        let acquired = self.free() > 0;
        self.used += i64::from(acquired);
        acquired
    }

    /// Releases the unit of a task.
    pub const fn release(&mut self) {
        self.used -= 1;
    }

    /// Transfers up to `units` free units to a peer and returns the cumulative counter to send.
    pub fn transfer(&mut self, to: Incarnation, units: i64) -> i64 {
        let units = units.min(self.free()).max(0);
        let counter = self.transferred.entry(to).or_default();
        *counter += units;
        *counter
    }

    /// Cumulative number of units transferred to a peer.
    #[must_use]
    pub fn transferred_to(&self, to: Incarnation) -> i64 {
        self.transferred.get(&to).copied().unwrap_or(0)
    }

    /// Merges a cumulative counter received from a peer; repeated and outdated values have no effect.
    pub fn receive(&mut self, from: Incarnation, counter: i64) {
        let highest = self.received.entry(from).or_default();
        *highest = counter.max(*highest);
    }

    /// Units received from a peer minus units transferred to it.
    #[must_use]
    pub fn net_received(&self, peer: Incarnation) -> i64 {
        self.received.get(&peer).copied().unwrap_or(0) - self.transferred_to(peer)
    }

    /// Removes the counters of a fenced peer after their settlement on the log.
    pub fn remove_peer(&mut self, peer: Incarnation) {
        self.transferred.remove(&peer);
        self.received.remove(&peer);
    }

    /// Reserves up to `units` free units for a return through the log; returns how many.
    pub fn begin_return(&mut self, units: i64) -> i64 {
        let units = units.min(self.free()).max(0);
        self.returning += units;
        units
    }

    /// Ends a return that was applied, refused or withdrawn.
    pub const fn end_return(&mut self, units: i64) {
        self.returning -= units;
    }
}

/// Limit and allotments of one team according to the log, the same on every host.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TeamQuota {
    /// Maximum number of tasks running at once.
    pub limit: i64,
    /// Units allotted to each incarnation, until they are reclaimed.
    pub allotted: BTreeMap<Incarnation, i64>,
    /// Units of orphaned tasks: tasks of reclaimed incarnations that still run.
    #[serde(rename = "kept")]
    pub orphaned: i64,
}

impl TeamQuota {
    /// Units not allotted; negative while more units are allotted than a lowered limit permits.
    #[must_use]
    pub fn unallotted(&self) -> i64 {
        self.limit - self.orphaned - self.allotted.values().sum::<i64>()
    }

    /// Allots up to `units` unallotted units and returns how many.
    pub fn allot(&mut self, to: Incarnation, units: i64) -> i64 {
        let units = units.min(self.unallotted()).max(0);
        *self.allotted.entry(to).or_default() += units;
        units
    }

    /// Removes units that an incarnation returns from its allotment.
    pub fn return_units(&mut self, from: Incarnation, units: i64) {
        *self.allotted.entry(from).or_default() -= units.max(0);
    }

    /// Moves `net` units, which the live incarnation received from the fenced one, between their allotments.
    pub fn settle(&mut self, live: Incarnation, fenced: Incarnation, net: i64) {
        *self.allotted.entry(live).or_default() += net;
        *self.allotted.entry(fenced).or_default() -= net;
    }

    /// Removes the allotments of fenced incarnations; the caller adds their running tasks to `orphaned`.
    pub fn reclaim(&mut self, fenced: &[Incarnation]) {
        for inc in fenced {
            self.allotted.remove(inc);
        }
    }
}
