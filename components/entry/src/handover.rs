//! Handing a free slot to another host, where a team waits that is further below its share.
//!
//! The giver treats the worker as full for as long as a report counts; the receiver forgets what it knows of the
//! worker's load and tries it at once. A lost message costs the slot that time and nothing else.

use std::sync::Arc;
use std::time::Instant;

use fold::Incarnation;
use policy::is_needier;
use wire::{Body, Slot};

use crate::node::Node;
use crate::state::{Handed, Line, REPORT_TIME, State};

/// A slot on its way to a peer.
#[derive(Debug)]
pub struct HandOver {
    peer: Incarnation,
    worker: String,
}

impl State {
    /// The peer where the neediest team waits for a pool, if it is well below a team that waits here.
    #[must_use]
    pub fn needier_peer(&self, pool: &str, team: &str, now: Instant) -> Option<Incarnation> {
        let here = self.claimant(team);
        let mut best: Option<(Incarnation, &Line, i64)> = None;
        for (inc, peer) in self.peers.iter().filter(|(_, p)| !p.leaving) {
            let spare =
                |waiting: i64| waiting - if peer.handed.is_recent(now) { peer.handed.slots } else { 0 };
            let lines = peer.load.iter().filter(|(line, load)| line.pool == pool && spare(load.waiting) > 0);
            for (line, load) in lines.filter(|(line, _)| line.team != team && self.may_grow(&line.team)) {
                if best.is_none_or(|(_, _, most)| load.waiting > most)
                    && is_needier(&self.claimant(&line.team), &here)
                {
                    best = Some((*inc, line, load.waiting));
                }
            }
        }
        best.map(|(inc, _, _)| inc)
    }

    /// True if a team is below its upper limit.
    fn may_grow(&self, team: &str) -> bool {
        self.tables.teams.get(team).is_some_and(|t| self.running(team) < t.ledger.limit)
    }

    /// Leaves a worker's slot to a peer.
    pub fn hand_over(&mut self, peer: Incarnation, worker: String, now: Instant) -> HandOver {
        if let Some(view) = self.workers.get_mut(&worker) {
            view.reported = Some((view.info.slots, now));
        }
        if let Some(view) = self.peers.get_mut(&peer) {
            view.handed.count(now);
        }
        HandOver { peer, worker }
    }
}

impl Handed {
    fn is_recent(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.since) < REPORT_TIME
    }

    fn count(&mut self, now: Instant) {
        if !self.is_recent(now) {
            *self = Self { since: now, slots: 0 };
        }
        self.slots += 1;
    }
}

impl Node {
    /// Tells a peer of a free slot.
    pub(crate) fn send_slot(self: &Arc<Self>, slot: HandOver) {
        metrics::counter!("lagoonrelay_slots_handed_total").increment(1);
        let node = Arc::clone(self);
        tokio::spawn(async move {
            node.ask_peer(slot.peer, Body::Slot(Slot { worker: slot.worker })).await;
        });
    }

    /// Takes a slot that a peer has handed over, if anything waits for it here.
    pub(crate) fn answer_slot(&self, slot: Slot) -> Slot {
        let mut state = self.state.lock();
        let pool = state.tables.hosts.get(&slot.worker).map(|h| h.pool.clone()).unwrap_or_default();
        if state.queues.waits_for(&pool) {
            if let Some(view) = state.workers.get_mut(&slot.worker) {
                view.reported = None;
            }
            self.dispatch_kick.notify_one();
        }
        slot
    }
}
