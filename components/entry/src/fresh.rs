//! Self-fencing: how long this host may go on starting work.
//!
//! A host confirms that it has applied everything in force either at the log or through a majority of the
//! members. A confirmation counts from before the question was sent, on this host's monotonic clock, so a
//! pause between question and answer uses it up.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use fold::Incarnation;

/// What a peer last said about its offset.
#[derive(Debug, Clone, Copy)]
struct Said {
    asked: Instant,
    applied: u64,
}

/// Confirmations so far.
#[derive(Debug, Clone, Default)]
pub struct Freshness {
    log: Option<Instant>,
    peers: BTreeMap<Incarnation, Said>,
}

impl Freshness {
    /// The log's tail, asked for at `asked`, is applied.
    pub fn confirm_log(&mut self, asked: Instant) {
        self.log = self.log.max(Some(asked));
    }

    /// A peer, asked at `asked`, has applied everything before `applied`.
    pub fn confirm_peer(&mut self, peer: Incarnation, asked: Instant, applied: u64) {
        self.peers.insert(peer, Said { asked, applied });
    }

    /// Forgets peers that are no longer members.
    pub fn retain(&mut self, keep: impl Fn(Incarnation) -> bool) {
        self.peers.retain(|inc, _| keep(*inc));
    }

    /// Offset that a peer has applied, as last heard.
    #[must_use]
    pub fn applied_by(&self, peer: Incarnation) -> Option<u64> {
        self.peers.get(&peer).map(|said| said.applied)
    }

    /// Time since the log was last confirmed.
    #[must_use]
    pub fn log_age(&self, now: Instant) -> Option<Duration> {
        self.log.map(|at| now.saturating_duration_since(at))
    }

    /// Latest time at which all that was in force is known to have been applied.
    ///
    /// `next` is this host's own next offset; `members` counts it too.
    #[must_use]
    pub fn confirmed(&self, now: Instant, next: u64, members: usize) -> Option<Instant> {
        self.log.max(self.through_majority(now, next, members))
    }

    fn through_majority(&self, now: Instant, next: u64, members: usize) -> Option<Instant> {
        let behind = self.peers.values().filter(|said| said.applied <= next);
        let mut asked: Vec<Instant> = behind.map(|said| said.asked).collect();
        asked.push(now);
        asked.sort_unstable_by(|a, b| b.cmp(a));
        asked.get(members / 2).copied()
    }
}
