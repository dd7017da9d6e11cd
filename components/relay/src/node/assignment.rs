//! Keeps the partitions of services up to date, and proposes partitions for new services.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use super::Node;
use crate::clock::monotonic_ms;

/// Time in milliseconds that the coordinator's daemon has for a proposal before any other daemon makes one. It keeps
/// hundreds of daemons from proposing at once, and is half the time within which a configuration is to be in force.
const PROPOSAL_DELAY_MS: u64 = 1_000;
/// Pause between two reads while a service has no partition.
const MISSING_INTERVAL: Duration = Duration::from_millis(250);
/// Pause after a call that the store has not answered.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Milliseconds between reads by a daemon that owns shards. It may have missed a short-lived version of the configuration
/// whose services have jobs in a partition that it owns. It looks whenever its membership is renewed.
const READ_INTERVAL_MS: u64 = 10_000;

/// What this daemon's view of the partitions needs.
#[derive(Debug)]
struct View {
    /// Monotonic time of the oldest read that is new enough.
    since: u64,
    /// When a service without a partition was first seen.
    missing_since: Option<u64>,
    /// Partitions that the group has assigned to this daemon.
    owned: BTreeSet<u32>,
    /// Monotonic time at which an owner reads again.
    read_due: u64,
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Next {
    /// Wait for a change.
    Rest,
    /// Wait for the proposal of another daemon.
    Await,
    /// Propose partitions.
    Propose,
}

impl Node {
    /// Reads the partitions of services when a service or a partition is new to this daemon, and proposes partitions for
    /// services that have none.
    pub(super) async fn keep_partitions(self: Arc<Self>) {
        let (mut membership, mut desired) = (self.membership.clone(), self.desired.clone());
        let mut view = View { since: 0, missing_since: None, owned: BTreeSet::new(), read_due: 0 };
        loop {
            membership.borrow_and_update();
            desired.borrow_and_update();
            self.update_view(&mut view);
            if let Err(error) = self.partitions().read_since(view.since).await {
                tracing::info!(%error, "node: cannot read the partitions of services");
                tokio::time::sleep(RETRY_PAUSE).await;
                continue;
            }
            match self.next_proposal(&mut view) {
                Next::Propose => self.propose_partitions().await,
                Next::Await => tokio::time::sleep(MISSING_INTERVAL).await,
                Next::Rest => {
                    tokio::select! {
                        changed = membership.changed() => if changed.is_err() { return },
                        changed = desired.changed() => if changed.is_err() { return },
                        () = self.partitions_stale.notified() => view.since = monotonic_ms(),
                    }
                }
            }
        }
    }

    /// Asks for a new read if a partition was assigned to this daemon, or if a service has no partition.
    fn update_view(&self, view: &mut View) {
        let owned: BTreeSet<u32> = self.membership.borrow().assignment.partitions.iter().copied().collect();
        let lacks = self.config().is_some_and(|c| self.partitions().newest().lacks(&c));
        let now = monotonic_ms();
        let overdue = !owned.is_empty() && now >= view.read_due;
        if lacks || overdue || !owned.is_subset(&view.owned) {
            view.since = now;
            view.read_due = now + READ_INTERVAL_MS;
        }
        view.owned = owned;
    }

    fn next_proposal(&self, view: &mut View) -> Next {
        if !self.config().is_some_and(|c| self.partitions().newest().lacks(&c)) {
            view.missing_since = None;
            return Next::Rest;
        }
        let now = monotonic_ms();
        let since = *view.missing_since.get_or_insert(now);
        let coordinates = view.owned.contains(&self.coordinator_partition());
        if coordinates || now >= since + PROPOSAL_DELAY_MS { Next::Propose } else { Next::Await }
    }

    async fn propose_partitions(&self) {
        let Some(config) = self.config() else { return };
        let daemon = self.options.mesh_addr.to_string();
        if let Err(error) = self.partitions().assign(&daemon, &config).await {
            tracing::info!(%error, "node: cannot propose partitions of services");
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }
}
