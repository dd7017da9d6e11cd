//! Membership: fencing of silent hosts, settlement of their units, and reclaiming of these units.
//!
//! A silent host is fenced in two steps. First the fence is written to the log. Once a majority of the members
//! has applied it for longer than a confirmation is valid, the host can no longer confirm its offset and starts
//! nothing. Only then does it stop counting for majorities. Its units are reclaimed after every live member has
//! settled with it and every worker has revoked its lease.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use events::Event;
use fold::{Incarnation, MemberState, Operation, OrphanedTask, TeamUnits, split_checkpoint};

use crate::append::CommitResult;
use crate::node::Node;
use crate::state::State;

const CHECK_PERIOD: Duration = Duration::from_millis(100);
const LOG_TIMEOUT: Duration = Duration::from_secs(5);
const CHECKPOINT_PART_BYTES: usize = 256 * 1024;
/// Added to the validity of a confirmation before a fence takes effect.
const FENCE_MARGIN: Duration = Duration::from_millis(200);

/// Times at which fences were first seen to be applied by a majority.
#[derive(Debug, Default)]
struct FenceTracker {
    applied_since: BTreeMap<Incarnation, Instant>,
}

/// Maintains the membership until the node stops.
pub async fn run(node: Arc<Node>) {
    let ticks = node.timer.every(CHECK_PERIOD);
    let mut fences = FenceTracker::default();
    loop {
        ticks.tick().await;
        for operation in fences.next_operations(&node, Instant::now()) {
            node.propose(operation, LOG_TIMEOUT).await;
        }
        if node.is_coordinator("reclaim") {
            reclaim(&node).await;
            release_ended_tasks(&node).await;
        }
    }
}

impl FenceTracker {
    /// Operations that this host has to propose now about silent and fenced members.
    fn next_operations(&mut self, node: &Node, now: Instant) -> Vec<Operation> {
        let silence_limit = Duration::from_millis(node.settings.timing.dead_ms);
        let state = node.state.lock();
        if !state.is_live() || state.leaving {
            return Vec::new();
        }
        let mut operations = state.settlements();
        operations
            .extend(state.silent_members(now, silence_limit).into_iter().map(|inc| Operation::Fence { inc }));
        operations.extend(
            self.effective(&state, now, node.confirmation_ttl())
                .into_iter()
                .map(|inc| Operation::Fenced { inc }),
        );
        operations
    }

    /// Members whose fence has been applied by a majority for longer than a confirmation is valid.
    fn effective(&mut self, state: &State, now: Instant, ttl: Duration) -> Vec<Incarnation> {
        let fencing: Vec<(Incarnation, u64)> = state
            .tables
            .members
            .iter()
            .filter(|(_, m)| m.state == MemberState::Fencing)
            .map(|(inc, m)| (*inc, m.state_offset))
            .collect();
        self.applied_since.retain(|inc, _| fencing.iter().any(|(f, _)| f == inc));
        let mut effective = Vec::new();
        for (inc, offset) in fencing {
            if !state.applied_by_majority(offset) {
                continue;
            }
            let since = *self.applied_since.entry(inc).or_insert(now);
            if now - since > ttl + FENCE_MARGIN {
                effective.push(inc);
            }
        }
        effective
    }
}

impl State {
    /// True if a majority of the members is known to have applied an offset.
    #[must_use]
    pub fn applied_by_majority(&self, offset: u64) -> bool {
        let peers = self.tables.voters().map(|(inc, _)| inc).filter(|inc| *inc != self.incarnation);
        let applied = peers.filter(|inc| self.freshness.applied_by(*inc).is_some_and(|a| a > offset)).count();
        let own = usize::from(self.tables.next_offset > offset);
        applied + own > self.voter_count() / 2
    }

    /// Live members that neither this host nor any reachable peer has heard from within a time limit.
    fn silent_members(&self, now: Instant, silence_limit: Duration) -> Vec<Incarnation> {
        let direct: BTreeSet<Incarnation> = self.recently_heard(now, silence_limit).into_iter().collect();
        if direct.len() < self.voter_count() / 2 {
            return Vec::new();
        }
        let indirect: BTreeSet<Incarnation> = direct
            .iter()
            .filter_map(|p| self.peers.get(p))
            .flat_map(|p| p.reachable.iter().copied())
            .collect();
        let silent =
            |inc: &Incarnation| *inc != self.incarnation && !direct.contains(inc) && !indirect.contains(inc);
        let long_known =
            |inc: &Incarnation| self.peers.get(inc).is_some_and(|p| now - p.known_since > silence_limit);
        self.tables.live_members().map(|(inc, _)| inc).filter(|inc| silent(inc) && long_known(inc)).collect()
    }

    /// Settlements that this host still has to make about members that are being or have been fenced.
    fn settlements(&self) -> Vec<Operation> {
        let is_owed = |(inc, m): &(&Incarnation, &fold::Member)| {
            **inc != self.incarnation
                && m.state != MemberState::Live
                && !m.settled.contains(&self.incarnation)
        };
        self.tables.members.iter().filter(is_owed).map(|(inc, _)| self.settlement(*inc)).collect()
    }

    /// Settlement with a fenced member: the units received from it less the units given to it, by team.
    fn settlement(&self, about: Incarnation) -> Operation {
        let net = self
            .quotas
            .iter()
            .map(|(team, q)| TeamUnits { team: team.clone(), units: q.net_received(about) });
        Operation::Settle { about, net: net.filter(|n| n.units != 0).collect() }
    }
}

/// Reclaims the units of fenced members once all workers have revoked their leases.
async fn reclaim(node: &Node) {
    let (dead, workers) = {
        let state = node.state.lock();
        let dead = state.tables.fenced_members();
        let ready = state.tables.all_settled() && state.knows_all_workers(Instant::now());
        if dead.is_empty() || !ready {
            return;
        }
        let workers: Vec<_> = state.workers.iter().map(|(n, w)| (n.clone(), w.info.addr.clone())).collect();
        (dead, workers)
    };
    let mut running = Vec::new();
    for (worker, addr) in &workers {
        for inc in &dead {
            let Ok(tasks) = node.clients.workers.revoke(addr, *inc).await else {
                tracing::warn!("members: worker {worker} has not revoked a lease yet");
                return;
            };
            running.extend(tasks.into_iter().map(|t| OrphanedTask {
                id: t.id,
                team: t.team,
                worker: worker.clone(),
            }));
        }
    }
    let count = dead.len();
    if matches!(
        node.propose(Operation::Reclaim { fenced: dead, running }, LOG_TIMEOUT).await,
        CommitResult::Done(_)
    ) {
        node.record_event(Event {
            kind: "reclaim".into(),
            note: format!("{count} members"),
            ..Event::default()
        });
    }
}

/// Frees the units of tasks of reclaimed members once the tasks have ended.
async fn release_ended_tasks(node: &Node) {
    let kept: Vec<(OrphanedTask, Option<String>)> = {
        let state = node.state.lock();
        let now = Instant::now();
        let addr = |worker: &str| state.workers.get(worker).filter(|w| w.listed).map(|w| w.info.addr.clone());
        let tasks = state.tables.orphaned_tasks.values();
        // The tasks of a worker that is missing from the host list may still run.
        let decidable = tasks.filter(|t| addr(&t.worker).is_some() || state.is_gone(&t.worker, now));
        decidable.map(|t| (t.clone(), addr(&t.worker))).collect()
    };
    let mut ended_tasks = Vec::new();
    for (task, addr) in kept {
        let ended = match addr {
            None => true,
            Some(addr) => {
                let status = node.clients.workers.status(&addr, &task.id).await;
                status.is_ok_and(|s| s != edge::TaskState::Running)
            }
        };
        if ended {
            ended_tasks.push(task.id);
        }
    }
    if !ended_tasks.is_empty() {
        node.propose(Operation::ReleaseOrphans { tasks: ended_tasks }, LOG_TIMEOUT).await;
    }
}

/// Writes checkpoints of the tables, so that a new host does not have to read the whole log.
pub async fn run_checkpoints(node: Arc<Node>) {
    let ticks = node.timer.every(Duration::from_secs(1));
    let mut last_offset = node.state.lock().tables.next_offset;
    loop {
        ticks.tick().await;
        let tables = {
            let state = node.state.lock();
            let due = state.tables.next_offset >= last_offset + node.settings.limits.checkpoint_entries;
            if !due { continue } else { state.tables.clone() }
        };
        last_offset = tables.next_offset;
        if !node.is_coordinator("checkpoint") {
            continue;
        }
        let Ok(parts) = split_checkpoint(&tables, CHECKPOINT_PART_BYTES) else {
            continue;
        };
        for part in parts {
            node.propose(part, LOG_TIMEOUT).await;
        }
    }
}
