//! Inputs and actions of the state machine.

use std::collections::HashMap;

use crate::Ms;
use crate::model::{JobSpec, Resources, TaskId};
use crate::record::Record;
use crate::report::WorkerReport;
use crate::worker::{StopCause, WorkerInfo};

/// Durations that govern a shard, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Lease that each poll and each start grants.
    pub lease: Ms,
    /// Longest lease that a worker takes, whatever a request asks for.
    pub lease_limit: Ms,
    /// Longest time that an earlier owner may keep renewing leases after this one took over.
    pub overlap: Ms,
    /// Longest time that a poll waits for a run to end.
    pub poll_wait: Ms,
    /// Timeout of a request to a worker.
    pub request_timeout: Ms,
    /// Time between two stop requests for the same run.
    pub stop_interval: Ms,
    /// Time without an answer after which an append counts as stalled.
    pub stall_after: Ms,
    /// Time that an ended job is kept for queries.
    pub retention: Ms,
}

impl Timing {
    /// Longest duration of a lease on the owner's clock, for a worker whose clock runs 2% slow.
    #[must_use]
    pub const fn max_lease(&self) -> Ms {
        self.lease + self.lease / 50 + self.request_timeout
    }

    /// Time by which a lease can last longer than this owner reckons if the clock of an earlier incarnation granted it.
    #[must_use]
    pub const fn clock_excess(&self) -> Ms {
        self.longest_lease() + self.request_timeout - self.max_lease()
    }

    /// Longest time from now on that a worker can hold a lease which an earlier request granted.
    #[must_use]
    pub const fn longest_lease(&self) -> Ms {
        self.lease_limit + self.lease_limit / 50
    }
}

/// Answer of a worker to a start request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartReply {
    /// The run has started.
    Running,
    /// The worker has seen a higher fencing token.
    Fenced,
    /// The run number is not above one that ended there, the lease had expired, or capacity was short.
    Refused,
    /// The worker is unhealthy and did not start the run.
    Unwell,
    /// Another incarnation answers at the address.
    OtherLife,
    /// The request was not sent.
    NotSent,
    /// No answer: the run may have started.
    NoAnswer,
}

/// Why a job is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The log has not stored it, or does not answer.
    Log,
    /// The pool is short, and the job would end without value.
    Overload,
    /// Large jobs hold the memory that is set aside for them.
    Memory,
}

impl Refusal {
    /// Name in metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Log => "log",
            Self::Overload => "overload",
            Self::Memory => "memory",
        }
    }
}

/// An event for the state machine.
#[derive(Clone, Debug)]
pub enum Input {
    /// A caller submits a job.
    Submit {
        /// Id that the answering action carries.
        request_id: u64,
        /// The job; the shard sets its epoch and acceptance time.
        spec: JobSpec,
        /// The job is in no shard to which jobs of its queue were referred.
        searched: bool,
    },
    /// A caller submits a job of a queue that is registered here and sent to another service.
    Refer {
        /// Id that the answering action carries.
        request_id: u64,
        /// Job id.
        id: String,
        /// Queue of the job.
        queue: String,
        /// Service that is to accept it.
        service: String,
        /// The job is in no other shard to which jobs of its queue were referred.
        searched: bool,
    },
    /// A caller cancels a job.
    Cancel {
        /// Id that the answering action carries.
        request_id: u64,
        /// Job id.
        id: String,
    },
    /// The platform's current list of the shard's workers.
    Workers(Vec<WorkerInfo>),
    /// A listed worker is commanded by another shard. Its runs here are dropped.
    Foreign {
        /// Worker's id.
        worker: String,
    },
    /// Availability zones that operators have taken out of service.
    ZonesOut(Vec<String>),
    /// Quota of each customer on this shard.
    Quotas(HashMap<String, Resources>),
    /// Upper limit of each customer on all shards together.
    Limits(HashMap<String, Resources>),
    /// Weight of each customer when its pool is short; turns overload control on.
    Weights(Option<HashMap<String, u64>>),
    /// A worker answered a poll.
    Polled {
        /// Worker's id.
        worker: String,
        /// When the poll was sent.
        sent: Ms,
        /// The answer.
        report: WorkerReport,
    },
    /// A poll failed, or a worker has seen a higher fencing token.
    PollFailed {
        /// Worker's id.
        worker: String,
        /// Another incarnation answers at the address.
        replaced: bool,
        /// The worker has seen a higher fencing token.
        fenced: bool,
    },
    /// A start request was answered or failed.
    StartResult {
        /// Worker's id.
        worker: String,
        /// Task.
        task_id: TaskId,
        /// Run number.
        run: u32,
        /// The answer.
        reply: StartReply,
    },
    /// A worker has seen a higher fencing token than that of a stop request.
    StopFenced {
        /// Worker's id.
        worker: String,
        /// Fencing token of the request.
        token: u64,
    },
    /// A worker confirmed a stop.
    StopConfirmed {
        /// Worker's id.
        worker: String,
        /// Task.
        task_id: TaskId,
        /// Run number.
        run: u32,
    },
    /// The batch in flight is stored in the log.
    Stored,
    /// The batch in flight is certain not to be in the log.
    NotStored,
    /// Workers of a service whose machines are due for maintenance.
    MaintenanceDue {
        /// Service.
        service: String,
        /// Worker ids.
        workers: Vec<String>,
    },
    /// Cordons a worker for [`CORDON_MS`](crate::CORDON_MS), or makes it schedulable again.
    Cordon {
        /// Worker's id.
        worker: String,
        /// Whether to cordon it.
        cordoned: bool,
    },
}

/// An action for the driver.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Append records as one batch; the result comes back as [`Input::Stored`] or [`Input::NotStored`].
    Append(Vec<Record>),
    /// Answer a submission: the job is stored.
    Accepted(u64),
    /// Answer a submission: the job is not stored and will not run.
    Refused {
        /// Id of the submission.
        request_id: u64,
        /// Milliseconds until the caller may return; 0 for the usual time.
        retry_ms: Ms,
        /// Cause.
        why: Refusal,
    },
    /// Answer a submission: the shard of this service accepts the job.
    Referred {
        /// Id of the submission.
        request_id: u64,
        /// Service.
        service: String,
    },
    /// Answer a submission: the job may be in the shards of these services.
    Search {
        /// Id of the submission.
        request_id: u64,
        /// Services.
        services: Vec<String>,
    },
    /// Answer a cancellation: it is stored.
    Cancelled(u64),
    /// Answer a cancellation: there is no such job.
    Unknown(u64),
    /// Start a run.
    Start(StartRequest),
    /// Stop a run, or prevent it from starting.
    Stop {
        /// Worker's id.
        worker: String,
        /// Worker's address as `ip:port`.
        addr: String,
        /// Task.
        task_id: TaskId,
        /// Run number.
        run: u32,
        /// Cause, for the logs.
        cause: StopCause,
        /// Fencing token.
        token: u64,
    },
    /// Set the speed of a best-effort run.
    Throttle {
        /// Worker's id.
        worker: String,
        /// Worker's address as `ip:port`.
        addr: String,
        /// Task.
        task_id: TaskId,
        /// Run number.
        run: u32,
        /// Speed in percent of full speed.
        percent: u32,
        /// Fencing token.
        token: u64,
    },
    /// Poll a worker: renew its lease, acknowledge ends and fetch its runs.
    Poll {
        /// Worker's id.
        worker: String,
        /// Worker's address as `ip:port`.
        addr: String,
        /// New end of the lease on the worker's clock; none while that clock is unknown.
        lease_until: Option<u64>,
        /// Sequence number up to which ends are stored; 0 to acknowledge none.
        acked: u64,
        /// Longest time to wait for a run to end.
        wait: Ms,
        /// Fencing token.
        token: u64,
    },
    /// Stop: another owner has taken over.
    OwnershipLost,
}

/// A run to start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartRequest {
    /// Worker's id.
    pub worker: String,
    /// Worker's address as `ip:port`.
    pub addr: String,
    /// Task.
    pub task_id: TaskId,
    /// Run number.
    pub run: u32,
    /// Payload for the task.
    pub payload: String,
    /// Checkpoint to resume from; empty for none.
    pub checkpoint: String,
    /// End of the lease on the worker's clock.
    pub lease_until: u64,
    /// Fencing token.
    pub token: u64,
}
