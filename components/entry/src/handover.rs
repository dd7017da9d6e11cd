//! Handover of free slots to other hosts at which a team further below its share waits.
//!
//! The sender treats the worker as full for as long as a load report is valid. The receiver discards the load
//! that it knows of the worker and uses it at once. A lost message leaves the slot unused for that time only.

use std::sync::Arc;
use std::time::Instant;

use fold::Incarnation;
use policy::should_hand_over;
use wire::{Body, FreeSlot};

use crate::node::Node;
use crate::state::{HandedSlots, PeerView, REPORT_TTL, State};

/// A slot to be handed over to a peer.
#[derive(Debug)]
pub struct SlotHandover {
    peer: Incarnation,
    worker: String,
}

/// Queue of a team at a peer.
#[derive(Debug, Clone, Copy)]
struct PeerQueue<'a> {
    peer: Incarnation,
    team: &'a str,
    waiting: i64,
}

impl State {
    /// Peer with the longest queue for a pool, among the teams that are well below `team` in the fair order.
    #[must_use]
    pub fn underserved_peer(&self, pool: &str, team: &str, now: Instant) -> Option<Incarnation> {
        let local = self.claimant(team);
        let queues = self.peers.iter().flat_map(|(inc, peer)| peer.unserved_queues(*inc, pool, now));
        let candidates = queues.filter(|queue| queue.team != team && self.is_below_limit(queue.team));
        let underserved = candidates.filter(|queue| should_hand_over(&self.claimant(queue.team), &local));
        underserved.max_by_key(|queue| queue.waiting).map(|queue| queue.peer)
    }

    /// True if a team is below its upper limit.
    fn is_below_limit(&self, team: &str) -> bool {
        self.tables.teams.get(team).is_some_and(|t| self.running(team) < t.quota.limit)
    }

    /// Marks a worker's slot as handed over to a peer.
    pub fn hand_over(&mut self, peer: Incarnation, worker: String, now: Instant) -> SlotHandover {
        if let Some(view) = self.workers.get_mut(&worker) {
            view.reported_load = Some((view.info.slots, now));
        }
        if let Some(view) = self.peers.get_mut(&peer) {
            view.handed_slots.add_slot(now);
        }
        SlotHandover { peer, worker }
    }
}

impl PeerView {
    /// Queues for a pool at this peer that are longer than the number of slots recently handed over to it.
    fn unserved_queues<'a>(
        &'a self,
        peer: Incarnation,
        pool: &'a str,
        now: Instant,
    ) -> impl Iterator<Item = PeerQueue<'a>> {
        let handed_over = if self.handed_slots.is_recent(now) { self.handed_slots.count } else { 0 };
        let loads = self.loads.iter().filter(move |(key, _)| key.pool == pool && !self.leaving);
        let queues = loads.map(move |(key, load)| PeerQueue { peer, team: &key.team, waiting: load.waiting });
        queues.filter(move |queue| queue.waiting > handed_over)
    }
}

impl HandedSlots {
    fn is_recent(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.since) < REPORT_TTL
    }

    fn add_slot(&mut self, now: Instant) {
        if !self.is_recent(now) {
            *self = Self { since: now, count: 0 };
        }
        self.count += 1;
    }
}

impl Node {
    /// Sends a handover to the peer.
    pub(crate) fn send_handover(self: &Arc<Self>, slot: SlotHandover) {
        metrics::counter!("lagoonrelay_slots_handed_total").increment(1);
        let node = Arc::clone(self);
        tokio::spawn(async move {
            node.call_peer(slot.peer, Body::FreeSlot(FreeSlot { worker: slot.worker })).await;
        });
    }

    /// Accepts a slot that a peer has handed over, if a request waits for it here.
    pub(crate) fn answer_handover(&self, slot: FreeSlot) -> FreeSlot {
        let mut state = self.state.lock();
        let pool = state.tables.hosts.get(&slot.worker).map(|h| h.pool.clone()).unwrap_or_default();
        if state.queues.has_waiting(&pool) {
            if let Some(view) = state.workers.get_mut(&slot.worker) {
                view.reported_load = None;
            }
            self.dispatch_wake.notify_one();
        }
        slot
    }
}
