//! Membership in the group of daemons: the assigned partitions and how long the assignment is valid.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;

use crate::clock::monotonic_ms;
use crate::platform::{Assignment, Store};
use crate::repeat;
use crate::standby::Role;

/// Time in milliseconds after which the store removes a member that has not joined again.
pub const MEMBER_TTL_MS: u64 = 1_500;
/// Pause between joins; three fit into [`MEMBER_TTL_MS`].
const JOIN_INTERVAL: Duration = Duration::from_millis(400);
/// Pause between attempts to leave; a start waits for them.
const LEAVE_INTERVAL: Duration = Duration::from_millis(150);
/// Time in milliseconds by which ownership ends before the store can reassign the partitions.
const EXPIRY_MARGIN_MS: u64 = 150;

/// Membership of this daemon.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Membership {
    /// Newest assignment.
    pub assignment: Assignment,
    /// Monotonic time until which the assignment is valid.
    pub valid_until: u64,
    /// Number of times that the membership had expired before it was renewed.
    pub lapses: u64,
}

impl Membership {
    /// True if the assignment is valid now.
    #[must_use]
    pub fn is_valid(&self) -> bool {
        self.valid_at(monotonic_ms())
    }

    /// True if the assignment is valid at a monotonic time.
    #[must_use]
    pub const fn valid_at(&self, now: u64) -> bool {
        now < self.valid_until
    }
}

/// Renews the membership until `stop` is set, then leaves the group.
pub async fn run(
    store: Arc<dyn Store>,
    member: String,
    role: watch::Receiver<Role>,
    membership: watch::Sender<Membership>,
    mut stop: watch::Receiver<bool>,
) {
    leave_as_predecessor(&*store, &member, &mut stop).await;
    let mut disconnected = false;
    while !*stop.borrow() {
        let sent_at = monotonic_ms();
        let generation = membership.borrow().assignment.generation;
        let requested = *role.borrow();
        match repeat::join(&*store, &member, generation, requested).await {
            Ok(assignment) => {
                if disconnected || assignment != membership.borrow().assignment {
                    tracing::info!(
                        generation = assignment.generation,
                        parts = ?assignment.partitions,
                        "member: assignment"
                    );
                }
                disconnected = false;
                membership.send_modify(|m| {
                    if m.valid_until != 0 && monotonic_ms() >= m.valid_until {
                        m.lapses += 1;
                    }
                    m.assignment = assignment;
                    m.valid_until = sent_at + MEMBER_TTL_MS - EXPIRY_MARGIN_MS;
                });
            }
            Err(error) => {
                if !disconnected {
                    tracing::warn!(%error, "member: cannot join the group");
                }
                disconnected = true;
            }
        }
        tokio::select! {
            () = tokio::time::sleep(JOIN_INTERVAL) => {}
            _ = stop.changed() => {}
        }
    }
    membership.send_modify(|m| m.valid_until = 0);
    if let Err(error) = store.leave(&member).await {
        tracing::warn!(%error, "member: cannot leave the group");
    }
    // The daemon still forwards requests, so the tasks that watch the membership run until the process ends.
    membership.closed().await;
}

/// Leaves the group until the store confirms it. An earlier incarnation of this daemon may still be a member, and
/// its successor would join in the same generation and so use the same epochs.
async fn leave_as_predecessor(store: &dyn Store, member: &str, stop: &mut watch::Receiver<bool>) {
    let mut disconnected = false;
    while !*stop.borrow() {
        match store.leave(member).await {
            Ok(()) => return,
            Err(error) if !disconnected => tracing::warn!(%error, "member: cannot leave the group"),
            Err(_) => {}
        }
        disconnected = true;
        tokio::select! {
            () = tokio::time::sleep(LEAVE_INTERVAL) => {}
            _ = stop.changed() => {}
        }
    }
}
