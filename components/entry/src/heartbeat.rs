//! Heartbeats between members: applied offsets, loads, transfers of units, and reachable members.
//!
//! A heartbeat carries only what has changed since the last answered one. The reply confirms the peer's offset
//! and may transfer units that the sender needs.

use std::sync::Arc;
use std::time::{Duration, Instant};

use fold::{Incarnation, MemberState};
use wire::{Body, FetchEntries, Heartbeat, LoadChange, ReachablePeers, UnitCounter, UnitNeed};

use crate::log_reader;
use crate::node::Node;
use crate::peers;
use crate::state::{LoadKey, PeerView, State, TeamLoad};

/// Delay that merges wake-ups in quick succession into one heartbeat.
const COALESCE_TIME: Duration = Duration::from_millis(10);

/// Maintains the links to all members and sends heartbeats over them until the node stops.
pub async fn run(node: Arc<Node>) {
    let ticks = node.timer.every(Duration::from_millis(node.settings.timing.beat_ms));
    loop {
        peers::update_links(&node);
        send_heartbeats(&node);
        tokio::select! {
        () = ticks.tick() => {}
        () = node.heartbeat_wake.notified() => tokio::time::sleep(COALESCE_TIME).await,
        }
    }
}

impl Node {
    /// Records a peer's heartbeat and builds the reply.
    pub(crate) fn answer_heartbeat(&self, peer: Incarnation, heartbeat: &Heartbeat) -> Heartbeat {
        let mut state = self.state.lock();
        state.record_heartbeat(peer, heartbeat);
        let unit_counters = state.give_units(peer, &heartbeat.unit_needs);
        Heartbeat {
            incarnation: self.incarnation,
            applied: state.tables.next_offset,
            unit_counters,
            ..Heartbeat::default()
        }
    }
}

impl PeerView {
    /// Clears the record of sent values if the peer needs the full state; returns whether it does.
    fn reset_sent(&mut self) -> bool {
        let is_reset = std::mem::take(&mut self.needs_full);
        if is_reset {
            self.sent_loads.clear();
            self.sent_reachable.clear();
        }
        is_reset
    }

    /// Merges changed loads; loads that have become zero are removed.
    fn merge_loads(&mut self, changes: &[LoadChange]) {
        for change in changes {
            let key = LoadKey { team: change.team.clone(), pool: change.pool.clone() };
            let load = TeamLoad { running: change.tasks, waiting: change.waiting };
            if load == TeamLoad::default() {
                self.loads.remove(&key);
            } else {
                self.loads.insert(key, load);
            }
        }
    }

    /// Adds a load to `changes` if it differs from the value last sent.
    fn push_change(&mut self, key: LoadKey, load: TeamLoad, changes: &mut Vec<LoadChange>) {
        if self.sent_loads.get(&key).copied().unwrap_or_default() != load {
            let (team, pool) = (key.team.clone(), key.pool.clone());
            changes.push(LoadChange { team, pool, tasks: load.running, waiting: load.waiting });
            self.sent_loads.insert(key, load);
        }
    }
}

impl State {
    /// Records the contents of a peer's heartbeat.
    fn record_heartbeat(&mut self, peer: Incarnation, heartbeat: &Heartbeat) {
        let live = self.tables.members.get(&peer).is_some_and(|m| m.state == MemberState::Live);
        let Some(view) = self.peers.get_mut(&peer) else {
            return;
        };
        view.last_heard = Some(Instant::now());
        if let Some(reachable) = &heartbeat.reachable {
            view.reachable.clone_from(&reachable.incarnations);
        }
        view.leaving = heartbeat.leaving;
        if heartbeat.full {
            view.loads.clear();
        }
        view.merge_loads(&heartbeat.load_changes);
        if live {
            self.receive_units(peer, &heartbeat.unit_counters);
        }
    }

    /// Merges the counters of units given by a live peer.
    fn receive_units(&mut self, peer: Incarnation, unit_counters: &[UnitCounter]) {
        for units in unit_counters {
            self.quotas.entry(units.team.clone()).or_default().receive(peer, units.counter);
        }
    }

    /// Gives a live peer units that it needs; returns all counters for it.
    fn give_units(&mut self, peer: Incarnation, unit_needs: &[UnitNeed]) -> Vec<UnitCounter> {
        if self.tables.members.get(&peer).is_none_or(|m| m.state != MemberState::Live) {
            return Vec::new();
        }
        for need in unit_needs {
            self.give_spare_units(peer, need);
        }
        self.unit_counters_for(peer)
    }

    /// Gives a peer spare units: this host keeps what its own queue needs and, unless it leaves, half the rest.
    fn give_spare_units(&mut self, peer: Incarnation, need: &UnitNeed) {
        let waiting = self.queues.waiting(&need.team);
        let leaving = self.leaving;
        let Some(quota) = self.quotas.get_mut(&need.team) else {
            return;
        };
        let spare = (quota.free() - waiting).max(0);
        let max_units = if leaving { spare } else { (spare + 1) / 2 };
        quota.transfer(peer, need.units.min(max_units));
    }

    fn unit_counters_for(&self, peer: Incarnation) -> Vec<UnitCounter> {
        let unit_counters = self
            .quotas
            .iter()
            .map(|(team, q)| UnitCounter { team: team.clone(), counter: q.transferred_to(peer) });
        unit_counters.filter(|c| c.counter > 0).collect()
    }

    fn heartbeat_for(&mut self, peer: Incarnation, reachable: &[Incarnation]) -> Heartbeat {
        let live = self.tables.members.get(&peer).is_some_and(|m| m.state == MemberState::Live);
        let full = self.peers.get_mut(&peer).is_some_and(PeerView::reset_sent);
        Heartbeat {
            full,
            incarnation: self.incarnation,
            applied: self.tables.next_offset,
            unit_counters: if live { self.unit_counters_for(peer) } else { Vec::new() },
            unit_needs: self.unit_needs(),
            load_changes: self.load_changes(peer),
            leaving: self.leaving,
            reachable: self.reachable_change(peer, reachable),
        }
    }

    /// Reachable members, if they differ from the list last sent to the peer.
    fn reachable_change(&mut self, peer: Incarnation, reachable: &[Incarnation]) -> Option<ReachablePeers> {
        let view = self.peers.get_mut(&peer)?;
        if view.sent_reachable == reachable {
            return None;
        }
        reachable.clone_into(&mut view.sent_reachable);
        Some(ReachablePeers { incarnations: reachable.to_vec() })
    }

    /// Loads that differ from the values last sent to the peer.
    fn load_changes(&mut self, peer: Incarnation) -> Vec<LoadChange> {
        let mut changes = Vec::new();
        let Some(view) = self.peers.get_mut(&peer) else { return changes };
        for (team, quota) in &self.quotas {
            let key = LoadKey { team: team.clone(), pool: String::new() };
            view.push_change(key, TeamLoad { running: quota.used(), waiting: 0 }, &mut changes);
        }
        for queue in self.queues.lengths() {
            view.push_change(queue.key, TeamLoad { running: 0, waiting: queue.length }, &mut changes);
        }
        changes
    }

    /// Peers heard from within a time window.
    #[must_use]
    pub fn recently_heard(&self, now: Instant, window: Duration) -> Vec<Incarnation> {
        let is_recent = |at: Option<Instant>| at.is_some_and(|at| now.saturating_duration_since(at) < window);
        self.peers.iter().filter(|(_, p)| is_recent(p.last_heard)).map(|(inc, _)| *inc).collect()
    }
}

/// Sends a heartbeat to every other member.
fn send_heartbeats(node: &Arc<Node>) {
    let silence_limit = Duration::from_millis(node.settings.timing.dead_ms);
    for peer in node.links.peers() {
        let heartbeat = {
            let mut state = node.state.lock();
            let reachable = state.recently_heard(Instant::now(), silence_limit);
            state.heartbeat_for(peer, &reachable)
        };
        tokio::spawn(send_heartbeat(Arc::clone(node), peer, heartbeat));
    }
}

async fn send_heartbeat(node: Arc<Node>, peer: Incarnation, heartbeat: Heartbeat) {
    let requested_at = Instant::now();
    let Some(Body::Heartbeat(reply)) = node.call_peer(peer, Body::Heartbeat(heartbeat)).await else {
        if let Some(view) = node.state.lock().peers.get_mut(&peer) {
            view.needs_full = true;
        }
        return;
    };
    let behind = {
        let mut state = node.state.lock();
        state.record_reply(peer, requested_at, &reply);
        reply.applied > state.tables.next_offset
    };
    node.entries_applied.notify_waiters();
    node.dispatch_wake.notify_one();
    if behind {
        fetch_missing_entries(&node, peer).await;
    }
}

impl State {
    fn record_reply(&mut self, peer: Incarnation, requested_at: Instant, reply: &Heartbeat) {
        let Some(member) = self.tables.members.get(&peer) else {
            return;
        };
        if member.state == MemberState::Fenced {
            return;
        }
        let live = member.state == MemberState::Live;
        self.freshness.confirm_peer(peer, requested_at, reply.applied);
        if let Some(view) = self.peers.get_mut(&peer) {
            view.last_heard = Some(Instant::now());
        }
        if live {
            self.receive_units(peer, &reply.unit_counters);
        }
    }
}

/// Fetches log entries that a peer has applied and this host has not.
async fn fetch_missing_entries(node: &Node, peer: Incarnation) {
    node.tail_wake.notify_one();
    let from = node.state.lock().tables.next_offset;
    let fetch = Body::FetchEntries(FetchEntries { from });
    if let Some(Body::LogEntries(page)) = node.call_peer(peer, fetch).await {
        log_reader::apply_from_peer(node, page.entries);
    }
}
