//! Decides whether a daemon owns shards or is on standby.
//!
//! Daemons on hosts that are large enough are preferred owners of shards. The others forward requests and own
//! shards only while no preferred daemon does. The name of such a daemon in the group carries a suffix, by
//! which every daemon recognizes it.

use std::net::SocketAddr;

/// Time in milliseconds for which a shard has to be without an owner before a standby daemon takes it. A
/// daemon that has just started has joined the group by then.
pub const STANDBY_WAIT_MS: u64 = crate::membership::MEMBER_TTL_MS;
/// Suffix of the member name of a daemon that is not preferred.
const STANDBY_SUFFIX: &str = "/standby";

/// Role of a daemon in the group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Gets a part of the shards.
    Owner,
    /// Gets no shards, only notice of changes in the group.
    Standby,
}

/// Member name of a daemon.
#[must_use]
pub fn member_name(addr: SocketAddr, preferred: bool) -> String {
    let suffix = if preferred { "" } else { STANDBY_SUFFIX };
    format!("{addr}{suffix}")
}

/// Mesh address of a member, and whether it is preferred.
#[must_use]
pub fn parse_member(name: &str) -> Option<(SocketAddr, bool)> {
    match name.strip_suffix(STANDBY_SUFFIX) {
        Some(addr) => Some((addr.parse().ok()?, false)),
        None => Some((name.parse().ok()?, true)),
    }
}

/// Chooses the role of a daemon that is not preferred.
#[derive(Debug, Default)]
pub struct StandbyPolicy {
    /// Time since which a shard is without an owner.
    vacant_since: Option<u64>,
}

impl StandbyPolicy {
    /// Chooses the next role. `owners` tells for each shard whether its owner is preferred; `None` without an
    /// owner.
    pub fn choose(&mut self, role: Role, owners: &[Option<bool>], now: u64) -> Role {
        let vacant = owners.is_empty() || owners.contains(&None);
        if !vacant {
            self.vacant_since = None;
            return if owners.contains(&Some(true)) { Role::Standby } else { role };
        }
        let since = *self.vacant_since.get_or_insert(now);
        if now >= since + STANDBY_WAIT_MS { Role::Owner } else { role }
    }

    /// True while a shard is without an owner, so that the owners have to be read again soon.
    #[must_use]
    pub const fn is_waiting(&self) -> bool {
        self.vacant_since.is_some()
    }
}
