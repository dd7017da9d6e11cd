//! Records on the log. Their serde names are stored, so a renamed field or variant keeps its stored name.

use serde::{Deserialize, Serialize};

use crate::Incarnation;

/// One record on the log: a batch of operations by one incarnation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Writer: the incarnation that appended the entry.
    pub by: Incarnation,
    /// Sequence number of the entry, from 1 for each incarnation; a repeated append has the same number.
    pub seq: u64,
    /// Writer's wall-clock time, in ms since the Unix epoch.
    #[serde(rename = "at")]
    pub written_ms: u64,
    /// Operations, in order.
    #[serde(rename = "acts")]
    pub operations: Vec<Operation>,
}

/// A number of units of one team.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamUnits {
    /// Team name.
    pub team: String,
    /// Number of units.
    pub units: i64,
}

/// Task of a reclaimed incarnation that still runs and holds a unit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrphanedTask {
    /// Task id.
    pub id: String,
    /// Team that is charged.
    pub team: String,
    /// Worker name.
    pub worker: String,
}

/// Final outcome of a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobOutcome {
    /// The job ran to completion.
    Done {
        /// HTTP status of the worker's answer.
        status: u16,
        /// Body of the answer, as text.
        body: String,
    },
    /// The job failed.
    Failed {
        /// Cause, as text.
        reason: String,
    },
    /// Its caller cancelled it before it completed.
    Cancelled,
    /// The job was started, and whether it ran to completion is unknown.
    Unknown {
        /// Cause, as text.
        reason: String,
    },
}

/// Operation on the tables; its writer is the incarnation that appended it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Operation {
    /// An entry host joins.
    Join {
        /// Host name.
        host: String,
        /// Peer address as `ip:port`.
        peer: String,
        /// Admin address as `ip:port`.
        admin: String,
        /// Availability zone.
        zone: String,
    },
    /// Begins the fencing of an incarnation, which still counts for majorities.
    Fence {
        /// Incarnation to fence.
        inc: Incarnation,
    },
    /// Completes the fencing of an incarnation, which no longer counts for majorities.
    Fenced {
        /// Incarnation that is fenced.
        inc: Incarnation,
    },
    /// The writer leaves; it has stopped taking new work and has nothing in flight.
    Leave,
    /// Settles the units that the writer has exchanged with a fenced incarnation.
    Settle {
        /// Fenced incarnation.
        about: Incarnation,
        /// Units received minus units transferred, for each team.
        net: Vec<TeamUnits>,
    },
    /// Reclaims the units of fenced incarnations after every worker has revoked their leases.
    Reclaim {
        /// All incarnations that are fenced and not yet reclaimed.
        #[serde(rename = "dead")]
        fenced: Vec<Incarnation>,
        /// Tasks of these incarnations that still run.
        running: Vec<OrphanedTask>,
    },
    /// Frees the units of orphaned tasks that have ended.
    #[serde(rename = "Release")]
    ReleaseOrphans {
        /// Ids of these tasks.
        tasks: Vec<String>,
    },
    /// Allots up to this number of unallotted units of a team to the writer.
    #[serde(rename = "Take")]
    RequestUnits(TeamUnits),
    /// Returns units of a team from the writer's allotment.
    #[serde(rename = "GiveBack")]
    ReturnUnits(TeamUnits),
    /// Changes the configuration on an operator's command.
    Configure {
        /// Name of the operator key that the command was sent with.
        #[serde(rename = "who")]
        operator_key: String,
        /// Id of the command; a repeated command has the same id.
        #[serde(rename = "id")]
        command_id: String,
        /// Version of the object that the change requires, if any.
        version: Option<u64>,
        /// Change to apply.
        change: ConfigChange,
    },
    /// Accepts a job.
    JobAccept {
        /// Job id.
        job: String,
        /// Team that is charged.
        team: String,
        /// Queue name.
        queue: String,
        /// Request path with query.
        path: String,
        /// Request body, as text.
        body: String,
        /// True if the job may run again after its worker was lost.
        rerun: bool,
    },
    /// Claims a job for a worker, before the writer starts it there.
    JobClaim {
        /// Job id.
        job: String,
        /// Attempt number, from 1.
        attempt: u32,
        /// Worker name.
        worker: String,
        /// Boot id of the worker.
        boot: u64,
    },
    /// Releases a job after an attempt that ended without a final outcome.
    JobRelease {
        /// Job id.
        job: String,
        /// Number of that attempt.
        attempt: u32,
        /// True if the worker rather than the job is the likely cause; later attempts avoid it.
        #[serde(rename = "bad")]
        worker_fault: bool,
        /// Checkpoint to resume from, if the attempt left one.
        #[serde(rename = "resume")]
        resume_from: Option<String>,
    },
    /// Ends a job.
    JobEnd {
        /// Job id.
        job: String,
        /// Final outcome.
        outcome: JobOutcome,
    },
    /// Records that a worker went down or came back up.
    Health {
        /// Worker name.
        host: String,
        /// True if it is down.
        down: bool,
    },
    /// Drains a worker for a plan, within the availability budgets.
    PlanDrain {
        /// Plan name.
        plan: String,
        /// Worker name.
        host: String,
    },
    /// Marks a worker that a plan has drained as rebooting, before the reboot is ordered.
    PlanReboot {
        /// Plan name.
        plan: String,
        /// Worker name.
        host: String,
        /// Boot id of the worker before the reboot.
        boot: u64,
    },
    /// Returns a rebooted worker to service.
    PlanDone {
        /// Plan name.
        plan: String,
        /// Worker name.
        host: String,
    },
    /// Cancels jobs on request of their caller.
    JobCancel {
        /// Job ids.
        jobs: Vec<String>,
    },
    /// One part of a checkpoint of the tables.
    Checkpoint {
        /// Offset of the first entry that the checkpoint does not cover.
        #[serde(rename = "upto")]
        next_offset: u64,
        /// Index of this part, from 0.
        part: u32,
        /// Number of parts.
        parts: u32,
        /// JSON text of this part.
        text: String,
    },
}

/// Failure domain that an outage, drain or plan covers.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Place {
    /// One worker.
    Host(String),
    /// All workers of a rack.
    Rack(String),
    /// All workers of an availability zone.
    Zone(String),
}

/// Change of the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigChange {
    /// Creates or updates a pool.
    Pool {
        /// Pool name.
        name: String,
        /// Availability budget: maximum number of hosts out of service at once.
        budget: u32,
    },
    /// Assigns a worker to a pool and removes it from any other.
    Assign {
        /// Worker name.
        host: String,
        /// Pool name.
        pool: String,
        /// Worker's rack.
        rack: String,
        /// Worker's availability zone.
        zone: String,
    },
    /// Creates or updates a team.
    Team {
        /// Team name.
        name: String,
        /// Weight of the team in fair sharing.
        share: u32,
        /// Maximum number of tasks running at once.
        limit: i64,
    },
    /// Creates or updates a queue.
    Queue {
        /// Queue name.
        name: String,
        /// Pool that serves it.
        pool: String,
        /// Team charged for requests without a key; `None` if a key is required.
        #[serde(rename = "open")]
        open_team: Option<String>,
    },
    /// Grants an API key.
    Grant {
        /// Key name.
        name: String,
        /// Keyed digest of the secret, as hex.
        digest: String,
        /// Team that is charged for its requests.
        team: String,
        /// True for an operator key, which may send commands.
        operator: bool,
    },
    /// Withdraws a key permanently.
    Withdraw {
        /// Key name.
        name: String,
    },
    /// Takes a place out of service at once, regardless of the budgets.
    TakeOut(Place),
    /// Drains a place, within the budgets.
    Drain(Place),
    /// Ends the outage or drain of a place.
    BringBack(Place),
    /// Starts a maintenance plan that reboots every worker of a place, within the budgets.
    Plan {
        /// Plan name.
        name: String,
        /// Place whose workers are rebooted.
        place: Place,
    },
    /// Pauses, resumes or aborts a plan.
    SetPlan {
        /// Plan name.
        name: String,
        /// New state.
        state: PlanState,
    },
}

/// State of a maintenance plan.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum PlanState {
    /// Drains and reboots workers.
    Running,
    /// Drains no more workers; workers already drained are still rebooted.
    Paused,
    /// Ended early; drained workers were returned to service.
    Aborted,
    /// Every worker has been rebooted.
    Done,
}

impl ConfigChange {
    /// Name of the changed object, under which its version is stored.
    #[must_use]
    pub fn object(&self) -> String {
        match self {
            Self::Pool { name, .. } => format!("pool {name}"),
            Self::Assign { host, .. } => format!("host {host}"),
            Self::Team { name, .. } => format!("team {name}"),
            Self::Queue { name, .. } => format!("queue {name}"),
            Self::Grant { name, .. } | Self::Withdraw { name } => format!("key {name}"),
            Self::Plan { name, .. } | Self::SetPlan { name, .. } => format!("plan {name}"),
            Self::TakeOut(place) | Self::Drain(place) | Self::BringBack(place) => place.to_string(),
        }
    }
}

impl std::fmt::Display for Place {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Host(name) => write!(f, "host {name}"),
            Self::Rack(name) => write!(f, "rack {name}"),
            Self::Zone(name) => write!(f, "zone {name}"),
        }
    }
}
