//! Ownership of shards by this daemon, and the owners of all partitions.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use super::{Coordination, Node};
use crate::clock::monotonic_ms;
use crate::coordinator::Coordinator;
use crate::membership::Membership;
use crate::owner::{Context, ShardHandle};
use crate::standby::{self, StandbyPolicy};

/// Longest pause between two reconciliations of the owned shards, and shortest between two reads of the
/// owners.
const RECONCILE_INTERVAL: Duration = Duration::from_millis(250);
/// Epochs of a partition per generation of the group: a daemon can take over the same shard more than once in a
/// generation, and its owner raises its fencing token for workers that restart.
pub const EPOCHS_PER_GENERATION: u64 = 64;
/// Epochs of a generation that fencing tokens leave to later take-overs.
const EPOCHS_FOR_TAKEOVERS: u64 = 16;

/// Highest fencing token of an owner.
pub const fn token_limit(epoch: u64) -> u64 {
    (epoch / EPOCHS_PER_GENERATION + 1) * EPOCHS_PER_GENERATION - 1 - EPOCHS_FOR_TAKEOVERS
}

impl Node {
    /// Reconciles the owned shards with the assignment whenever it or the partitions of services change, and
    /// periodically.
    pub(super) async fn reconcile_shards(self: Arc<Self>) {
        let mut membership = self.membership.clone();
        let mut partitions = self.partitions().subscribe();
        loop {
            partitions.borrow_and_update();
            self.reconcile(&membership.borrow_and_update().clone());
            let interval = tokio::time::sleep(RECONCILE_INTERVAL);
            tokio::select! {
                changed = membership.changed() => if changed.is_err() { return },
                changed = partitions.changed() => if changed.is_err() { return },
                () = interval => {}
            }
        }
    }

    /// Takes over newly assigned shards and updates the coordinator.
    fn reconcile(self: &Arc<Self>, membership: &Membership) {
        if self.draining.load(Ordering::Relaxed) {
            return;
        }
        // Also those of services that the configuration no longer has: they hold jobs.
        let active = self.partitions().newest().partitions();
        self.owned.lock().retain(|_, owner| !owner.has_ended());
        if !membership.is_valid() {
            return;
        }
        self.workers_needed.send_if_modified(|needed| {
            let required = membership.assignment.partitions.iter().any(|p| active.contains(p));
            std::mem::replace(needed, required) != required
        });
        self.reconcile_coordinator(membership);
        let mut owned = self.owned.lock();
        for &partition in membership.assignment.partitions.iter().filter(|p| active.contains(p)) {
            owned.entry(partition).or_insert_with(|| {
                let epoch = self.next_epoch(partition, membership.assignment.generation);
                tracing::info!(part = partition, epoch, "node: shard assigned");
                ShardHandle::start(partition, epoch, self.owner_context())
            });
        }
    }

    /// Starts the coordinator if its partition is assigned to this daemon, and drops it otherwise.
    fn reconcile_coordinator(self: &Arc<Self>, membership: &Membership) {
        let partition = self.coordinator_partition();
        let assigned = membership.assignment.partitions.contains(&partition);
        let running = self.coordinator.lock().as_ref().is_some_and(|c| !c.task.is_finished());
        if !assigned {
            *self.coordinator.lock() = None;
        } else if !running {
            let epoch = self.next_epoch(partition, membership.assignment.generation);
            let coordinator = Coordinator {
                node: Arc::clone(self),
                store: Arc::clone(&self.options.store),
                machines: Arc::clone(&self.options.machines),
                partition,
                epoch,
                lease_ms: self.options.lease_ms,
                move_ms: self.options.move_ms,
                orders_per_s: self.options.orders_per_s,
            };
            let mut slot = self.coordinator.lock();
            let (started_at, task) = (monotonic_ms(), tokio::spawn(coordinator.run()));
            *slot = Some(Coordination { epoch, started_at, task });
        }
    }

    /// Returns a new epoch of a partition, above all epochs of earlier generations and this daemon's earlier ones.
    fn next_epoch(&self, partition: u32, generation: u64) -> u64 {
        let mut epochs = self.last_epochs.lock();
        let last = epochs.entry(partition).or_default();
        *last = (generation * EPOCHS_PER_GENERATION).max(*last + 1);
        *last
    }

    /// Takes the epochs of a partition up to `last`, which its owner's calls to restarted workers have as fencing
    /// tokens.
    pub(crate) fn use_epochs(&self, partition: u32, last: u64) {
        let mut epochs = self.last_epochs.lock();
        let used = epochs.entry(partition).or_default();
        *used = last.max(*used);
    }

    fn owner_context(self: &Arc<Self>) -> Context {
        Context {
            node: Arc::clone(self),
            store: Arc::clone(&self.options.store),
            workers: Arc::clone(&self.options.workers),
            timing: self.options.timing,
            membership: self.membership.clone(),
            worker_list: self.worker_list.clone(),
            desired: self.desired.clone(),
        }
    }

    /// Keeps the owners of partitions up to date: reads them when the group changed, when an owner could not
    /// be reached, and while this daemon is on standby and a shard has no owner.
    pub(super) async fn track_owners(self: Arc<Self>) {
        let mut membership = self.membership.clone();
        let mut standby = StandbyPolicy::default();
        let mut generation = 0;
        loop {
            tokio::select! {
                changed = membership.changed() => if changed.is_err() { return },
                () = self.owners_stale.notified() => generation = 0,
                () = tokio::time::sleep(RECONCILE_INTERVAL), if standby.is_waiting() => generation = 0,
            }
            let newest = membership.borrow_and_update().assignment.generation;
            if newest == generation {
                continue;
            }
            match self.options.store.owners().await {
                Ok(rows) => {
                    self.update_owners(&rows, &mut standby);
                    generation = newest;
                }
                Err(error) => tracing::debug!(%error, "node: cannot read the owners"),
            }
            tokio::time::sleep(RECONCILE_INTERVAL).await;
        }
    }

    /// Stores the owners and updates the role of a daemon that is not preferred.
    fn update_owners(&self, rows: &[(u32, Option<String>)], standby: &mut StandbyPolicy) {
        let parsed = |member: &Option<String>| member.as_deref().and_then(standby::parse_member);
        let owners: Vec<(u32, Option<(SocketAddr, bool)>)> =
            rows.iter().map(|(p, m)| (*p, parsed(m))).collect();
        let addresses = owners.iter().filter_map(|(p, owner)| Some((*p, (*owner)?.0))).collect();
        self.owners.send_replace(addresses);
        if self.options.preferred {
            return;
        }
        let preferred: Vec<Option<bool>> = owners.iter().map(|(_, owner)| Some((*owner)?.1)).collect();
        let previous = *self.role.borrow();
        let role = standby.choose(previous, &preferred, monotonic_ms());
        if role != previous {
            tracing::info!(?role, "node: role changed");
            self.role.send_replace(role);
        }
    }
}
