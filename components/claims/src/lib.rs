//! At-most-once claims on request ids, stored in the memory of a majority of entry hosts.
//!
//! Before a host starts a request with an idempotency key, it writes a claim that names the worker to a
//! majority of the members. Any two majorities share a member, so a host that handles a repeat of the request
//! learns of the claim and asks the named worker. A member stores a claim only if its round is higher than
//! those of all stored claims on the id, and reports those claims. The claimant starts the request only after
//! the worker of each reported claim has barred it.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

/// Identifies one run of one entry host.
pub type Incarnation = u64;

/// Maximum number of claims, one per round, that a member stores for one request id.
pub const MAX_ROUNDS: usize = 16;

/// Claim of one host to start a request on a worker.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Claim {
    /// Request id.
    pub id: String,
    /// Round number; increases with each attempt to start the request.
    pub round: u32,
    /// Incarnation that makes the claim.
    pub owner: Incarnation,
    /// Worker on which the request is to be started.
    pub worker: String,
    /// Boot id of the worker, so that a restarted worker rejects the start.
    pub boot: u64,
}

/// Vote of one member on a claim.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Vote {
    /// True if the member has stored the claim.
    pub granted: bool,
    /// Other claims on the id that the member stores.
    pub others: Vec<Claim>,
}

/// Next step of a claimant.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NextStep {
    /// A majority stores the claim: resolve these earlier claims, then start the request.
    Start(Vec<Claim>),
    /// A majority has voted and not all granted: resolve these claims, then retry in a higher round.
    Retry(Vec<Claim>),
    /// More votes are needed.
    Wait,
}

/// Claims stored by one member.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ClaimTable {
    claims: BTreeMap<String, Vec<Claim>>,
    id_order: VecDeque<String>,
}

impl ClaimTable {
    /// Stores a claim if its round is higher than that of every stored claim on the id; returns the vote.
    pub fn try_store(&mut self, claim: &Claim) -> Vote {
        let stored = self.claims.entry(claim.id.clone()).or_default();
        if stored.is_empty() {
            self.id_order.push_back(claim.id.clone());
        }
        let is_higher = stored.last().is_none_or(|last| last.round < claim.round);
        if is_higher && stored.len() < MAX_ROUNDS {
            stored.push(claim.clone());
        }
        let granted = stored.last() == Some(claim);
        Vote { granted, others: stored.iter().filter(|c| *c != claim).cloned().collect() }
    }

    /// Stored claim on an id with the highest round.
    #[must_use]
    pub fn latest(&self, id: &str) -> Option<&Claim> {
        self.claims.get(id).and_then(|c| c.last())
    }

    /// All stored claims; ids in the order in which they were first stored.
    pub fn iter(&self) -> impl Iterator<Item = &Claim> {
        self.id_order.iter().filter_map(|id| self.claims.get(id)).flatten()
    }

    /// Adds a claim copied from another member, regardless of its round.
    pub fn merge(&mut self, claim: &Claim) {
        let stored = self.claims.entry(claim.id.clone()).or_default();
        if stored.is_empty() {
            self.id_order.push_back(claim.id.clone());
        }
        if !stored.contains(claim) {
            stored.push(claim.clone());
            stored.sort_by_key(|c| c.round);
        }
    }

    /// Number of ids with stored claims.
    #[must_use]
    pub fn len(&self) -> usize {
        self.id_order.len()
    }

    /// True if no claim is stored.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.id_order.is_empty()
    }

    /// Evicts the oldest ids until at most `max_ids` remain.
    pub fn evict_oldest(&mut self, max_ids: usize) {
        while self.id_order.len() > max_ids {
            if let Some(id) = self.id_order.pop_front() {
                self.claims.remove(&id);
            }
        }
    }
}

/// Tally of the votes on one claim.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct VoteTally {
    granted: usize,
    refused: usize,
    others: Vec<Claim>,
}

impl VoteTally {
    /// Counts the vote of one member.
    pub fn add(&mut self, vote: Vote) {
        if vote.granted {
            self.granted += 1;
        } else {
            self.refused += 1;
        }
        for other in vote.others {
            if !self.others.contains(&other) {
                self.others.push(other);
            }
        }
    }

    /// Decides the next step from the votes so far; `members` is the number of voting members.
    #[must_use]
    pub fn next_step(&self, members: usize) -> NextStep {
        let majority = members / 2 + 1;
        if self.granted >= majority {
            return NextStep::Start(self.others.clone());
        }
        if self.refused > 0 && self.granted + self.refused >= majority {
            return NextStep::Retry(self.others.clone());
        }
        NextStep::Wait
    }

    /// Round after that of every reported claim and after `own`, the claimant's round.
    #[must_use]
    pub fn next_round(&self, own: u32) -> u32 {
        self.others.iter().map(|c| c.round).max().unwrap_or(0).max(own) + 1
    }
}
