//! Self-fencing of a host whose configuration may be outdated.
//!
//! A host may start work only for a limited time after it last confirmed that it has applied everything in
//! force. The log confirms this once the host has read it to its tail, and a majority of the members does by
//! their replies. A confirmation dates from the time at which the request for it was sent, on this host's
//! monotonic clock, so a pause between request and reply shortens its validity. The type of time is a
//! parameter: the daemon uses its clock and the model checker its steps.

use std::collections::BTreeMap;

/// Identifies one run of one entry host.
pub type Incarnation = u64;

/// Offset that a peer last reported.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct PeerReport<T> {
    sent_at: T,
    applied: u64,
}

/// Latest confirmations by the log and by peers.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Freshness<T> {
    log: Option<T>,
    peers: BTreeMap<Incarnation, PeerReport<T>>,
}

impl<T> Default for Freshness<T> {
    fn default() -> Self {
        Self { log: None, peers: BTreeMap::new() }
    }
}

impl<T: Copy + Ord> Freshness<T> {
    /// Records that everything up to the log's tail, requested at `sent_at`, is applied here.
    pub fn confirm_log(&mut self, sent_at: T) {
        self.log = self.log.max(Some(sent_at));
    }

    /// Records that a peer, in reply to a request sent at `sent_at`, has applied everything before `applied`.
    pub fn confirm_peer(&mut self, peer: Incarnation, sent_at: T, applied: u64) {
        match self.peers.get(&peer) {
            Some(report) if report.sent_at > sent_at => {}
            _ => {
                self.peers.insert(peer, PeerReport { sent_at, applied });
            }
        }
    }

    /// Removes the peers for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(Incarnation) -> bool) {
        self.peers.retain(|inc, _| keep(*inc));
    }

    /// Offset before which a peer has applied everything, as last reported.
    #[must_use]
    pub fn applied_by(&self, peer: Incarnation) -> Option<u64> {
        self.peers.get(&peer).map(|report| report.applied)
    }

    /// Time of the last confirmation by the log.
    #[must_use]
    pub const fn log_confirmed_at(&self) -> Option<T> {
        self.log
    }

    /// Latest time for which everything then in force is known to be applied here.
    ///
    /// `next_offset` is the offset of the next entry that this host applies; `members` includes this host.
    #[must_use]
    pub fn confirmed_at(&self, now: T, next_offset: u64, members: usize) -> Option<T> {
        self.log.max(self.majority_confirmed_at(now, next_offset, members))
    }

    fn majority_confirmed_at(&self, now: T, next_offset: u64, members: usize) -> Option<T> {
        let not_ahead = self.peers.values().filter(|report| report.applied <= next_offset);
        let mut times: Vec<T> = not_ahead.map(|report| report.sent_at).collect();
        times.push(now);
        times.sort_unstable_by(|a, b| b.cmp(a));
        times.get(members / 2).copied()
    }
}
