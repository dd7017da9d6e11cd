//! The tables and their rows. Their serde names are stored in checkpoints.

use std::collections::{BTreeMap, BTreeSet};

use escrow::TeamQuota;
use serde::{Deserialize, Serialize};

use crate::{Incarnation, JobOutcome, OrphanedTask, Place, PlanState};

/// State that results from applying the log up to one offset.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tables {
    /// Offset of the next entry to apply.
    #[serde(rename = "next")]
    pub next_offset: u64,
    /// Sequence number of the last applied entry of each incarnation.
    #[serde(rename = "seqs")]
    pub last_seqs: BTreeMap<Incarnation, u64>,
    /// Incarnations that have joined and are not yet reclaimed.
    pub members: BTreeMap<Incarnation, Member>,
    /// Pools by name.
    pub pools: BTreeMap<String, Pool>,
    /// Workers that are assigned to a pool, by name.
    pub hosts: BTreeMap<String, Host>,
    /// Teams by name.
    pub teams: BTreeMap<String, Team>,
    /// Queues by name.
    pub queues: BTreeMap<String, Queue>,
    /// API keys by name.
    pub keys: BTreeMap<String, Key>,
    /// Places taken out of service regardless of the budgets.
    pub outages: BTreeSet<Place>,
    /// Places being drained.
    pub drains: BTreeSet<Place>,
    /// Maintenance plans by name.
    pub plans: BTreeMap<String, Plan>,
    /// Jobs by id.
    pub jobs: BTreeMap<String, Job>,
    /// Running tasks of reclaimed incarnations, each of which holds a unit, by id.
    #[serde(rename = "kept")]
    pub orphaned_tasks: BTreeMap<String, OrphanedTask>,
    /// Offset of the last change of each object.
    pub versions: BTreeMap<String, u64>,
    /// Outcomes of recent commands by command id, for repeated commands.
    #[serde(rename = "commands")]
    pub command_outcomes: BTreeMap<String, Outcome>,
    /// Ids in `command_outcomes`, oldest first.
    #[serde(rename = "recent")]
    pub recent_commands: Vec<String>,
}

/// One incarnation of an entry host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Host name.
    pub host: String,
    /// Peer address as `ip:port`.
    pub peer: String,
    /// Admin address as `ip:port`.
    pub admin: String,
    /// Availability zone.
    pub zone: String,
    /// Offset of the entry with which it joined.
    #[serde(rename = "joined")]
    pub join_offset: u64,
    /// Membership state.
    pub state: MemberState,
    /// Offset of the entry that last changed the state.
    #[serde(rename = "since")]
    pub state_offset: u64,
    /// Incarnations that have settled their units with it since its fencing began.
    pub settled: BTreeSet<Incarnation>,
}

/// Membership state of an incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberState {
    /// Full member.
    Live,
    /// Being fenced; starts no work but counts for majorities.
    Fencing,
    /// Fenced or has left; does not count for majorities.
    Fenced,
}

/// A pool of workers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pool {
    /// Availability budget: maximum number of hosts out of service at once.
    pub budget: u32,
}

/// A worker that is assigned to a pool.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Pool name.
    pub pool: String,
    /// Rack within the zone.
    pub rack: String,
    /// Availability zone.
    pub zone: String,
    /// True while it is known to be down.
    pub down: bool,
}

/// A team, its weight and its quota.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Team {
    /// Weight in fair sharing.
    pub share: u32,
    /// Upper limit, and the units of it that each incarnation holds.
    #[serde(rename = "ledger")]
    pub quota: TeamQuota,
}

/// A queue to which callers send requests and jobs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Queue {
    /// Pool that serves it.
    pub pool: String,
    /// Team charged for requests without a key; `None` if a key is required.
    #[serde(rename = "open")]
    pub open_team: Option<String>,
}

/// An API key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Key {
    /// Keyed digest of the secret, as hex.
    pub digest: String,
    /// Team that is charged for its requests.
    pub team: String,
    /// True for an operator key, which may send commands.
    pub operator: bool,
    /// True once withdrawn; a withdrawn key cannot be granted again.
    pub withdrawn: bool,
}

/// A maintenance plan.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// Place whose workers are rebooted.
    pub place: Place,
    /// Current state.
    pub state: PlanState,
    /// Workers drained but not yet rebooted.
    pub drained: BTreeSet<String>,
    /// Workers being rebooted, with their boot ids before the reboot.
    pub rebooting: BTreeMap<String, u64>,
    /// Workers rebooted and returned to service.
    pub done: BTreeSet<String>,
}

/// A long-running job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    /// Team that is charged.
    pub team: String,
    /// Queue name.
    pub queue: String,
    /// Request path with query.
    pub path: String,
    /// Request body, as text.
    pub body: String,
    /// Number of the last attempt; 0 before the first.
    pub attempt: u32,
    /// Workers on which an attempt failed, avoided by later attempts.
    #[serde(rename = "tried")]
    pub failed_on: BTreeSet<String>,
    /// Current phase.
    pub phase: JobPhase,
    /// Checkpoint from which the next attempt resumes.
    #[serde(rename = "resume")]
    pub resume_from: Option<String>,
    /// True if the job may run again after its worker was lost.
    pub rerun: bool,
    /// True once its caller has cancelled it.
    pub cancelled: bool,
}

/// Phase of a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobPhase {
    /// Accepted and waiting for a worker.
    Accepted,
    /// Claimed by an incarnation for a worker.
    Claimed {
        /// Incarnation that claimed the job.
        by: Incarnation,
        /// Worker name.
        worker: String,
        /// Boot id of the worker.
        boot: u64,
    },
    /// Ended with a final outcome.
    Ended(JobOutcome),
}

/// Outcome of an operation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// Applied, at this offset.
    Applied(u64),
    /// Refused without effect.
    #[serde(rename = "Void")]
    Refused(Refusal),
}

/// Reason why an operation was refused.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum Refusal {
    /// The writer is not a live member.
    #[error("its writer is fenced")]
    Fenced,
    /// A named object does not exist.
    #[error("there is no {0}")]
    Missing(String),
    /// The object is not at the required version.
    #[error("{object} is at version {version}")]
    Outdated {
        /// Object name.
        object: String,
        /// Current version.
        version: u64,
    },
    /// An availability budget would be exceeded.
    #[error("pool {pool} allows {budget} hosts out and {out} would be")]
    Budget {
        /// Pool name.
        pool: String,
        /// Its budget.
        budget: u32,
        /// Number of hosts that would be out of service.
        out: u32,
    },
    /// A withdrawn key cannot be granted again.
    #[error("{0} has been withdrawn and cannot be granted again")]
    Withdrawn(String),
    /// The state of an object does not permit the operation.
    #[serde(rename = "State")]
    #[error("{0}")]
    InvalidState(String),
}

impl Tables {
    /// Members that count for majorities.
    pub fn voters(&self) -> impl Iterator<Item = (Incarnation, &Member)> {
        self.members.iter().filter(|(_, m)| m.state != MemberState::Fenced).map(|(inc, m)| (*inc, m))
    }

    /// Members that may start work.
    pub fn live_members(&self) -> impl Iterator<Item = (Incarnation, &Member)> {
        self.members.iter().filter(|(_, m)| m.state == MemberState::Live).map(|(inc, m)| (*inc, m))
    }

    /// Fenced incarnations, whose units are not yet reclaimed.
    #[must_use]
    pub fn fenced_members(&self) -> Vec<Incarnation> {
        self.members.iter().filter(|(_, m)| m.state == MemberState::Fenced).map(|(inc, _)| *inc).collect()
    }

    /// True if every voter has settled with every fenced incarnation.
    #[must_use]
    pub fn all_settled(&self) -> bool {
        let fenced = self.members.values().filter(|m| m.state == MemberState::Fenced);
        fenced.into_iter().all(|m| self.voter_incarnations().all(|inc| m.settled.contains(&inc)))
    }

    /// True if the host, its rack or its zone is out of service or draining.
    #[must_use]
    pub fn is_out_of_service(&self, name: &str, host: &Host) -> bool {
        places_of(name, host).iter().any(|p| self.outages.contains(p) || self.drains.contains(p))
    }

    /// Number of hosts of a pool that are out of service, draining or down.
    #[must_use]
    pub fn hosts_out(&self, pool: &str) -> u32 {
        let out = |(name, host): &(&String, &Host)| {
            host.pool == pool && (host.down || self.is_out_of_service(name, host))
        };
        u32::try_from(self.hosts.iter().filter(out).count()).unwrap_or(u32::MAX)
    }

    /// Version of an object: the offset of its last change, 0 if it was never changed.
    #[must_use]
    pub fn version(&self, object: &str) -> u64 {
        self.versions.get(object).copied().unwrap_or(0)
    }

    fn voter_incarnations(&self) -> impl Iterator<Item = Incarnation> {
        self.voters().map(|(inc, _)| inc)
    }
}

/// Places that contain a host: the host itself, its rack and its zone.
pub(crate) fn places_of(name: &str, host: &Host) -> [Place; 3] {
    [Place::Host(name.to_owned()), Place::Rack(host.rack.clone()), Place::Zone(host.zone.clone())]
}

impl Job {
    /// True once the job has ended.
    #[must_use]
    pub const fn has_ended(&self) -> bool {
        matches!(self.phase, JobPhase::Ended(_))
    }
}
