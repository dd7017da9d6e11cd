//! Messages between daemons: requests and replies, encoded with Protocol Buffers.
//!
//! The tags and types of the fields are the wire format.

use capacity::PoolLoad;
use shard::{JobSpec, JobState, Resources, ServiceLoad};

/// A request to the owner of a partition.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Request {
    /// Identifies the request on its connection; the reply carries the same id.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// Partition that the request is for.
    #[prost(uint32, tag = "2")]
    pub partition: u32,
    /// Mesh address of the requesting daemon.
    #[prost(string, tag = "12")]
    pub sender: String,
    /// Operation with its arguments.
    #[prost(oneof = "RequestBody", tags = "3, 4, 5, 6, 7, 8, 9, 10, 11, 13, 14")]
    pub body: Option<RequestBody>,
}

/// An operation with its arguments.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum RequestBody {
    /// Accept a job.
    #[prost(message, tag = "3")]
    Submit(JobSpec),
    /// Cancel a job.
    #[prost(string, tag = "4")]
    Cancel(String),
    /// Return the state of a job.
    #[prost(string, tag = "5")]
    JobState(String),
    /// Count the waiting jobs of a queue.
    #[prost(string, tag = "6")]
    CountWaiting(String),
    /// Cordon a worker, so that its runs move away, and count the remaining ones.
    #[prost(string, tag = "7")]
    CordonWorker(String),
    /// Take a shard's quota report and return its new quotas.
    #[prost(message, tag = "8")]
    Quota(QuotaReport),
    /// Return the load of a service's workers.
    #[prost(message, tag = "9")]
    Load(LoadRequest),
    /// Return the operators' documents if they are newer than this offset.
    #[prost(uint64, tag = "11")]
    Documents(u64),
    /// Uncordon a worker, so that it gets runs again.
    #[prost(string, tag = "10")]
    UncordonWorker(String),
    /// Accept a job, which no shard has to which jobs of its queue were referred.
    #[prost(message, tag = "13")]
    SubmitSearched(JobSpec),
    /// Refer a job to another service.
    #[prost(message, tag = "14")]
    Refer(ReferRequest),
}

/// Arguments of a request to refer a job to another service.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ReferRequest {
    /// Job id.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Queue of the job.
    #[prost(string, tag = "2")]
    pub queue: String,
    /// Service that is to accept it.
    #[prost(string, tag = "3")]
    pub service: String,
    /// No other shard has the job to which jobs of its queue were referred.
    #[prost(bool, tag = "4")]
    pub searched: bool,
}

/// Arguments of a request for the load of a service's workers.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct LoadRequest {
    /// Name of the service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Ids of its workers whose machines still await maintenance.
    #[prost(string, repeated, tag = "2")]
    pub due_workers: Vec<String>,
    /// Milliseconds until a machine that is ordered now can help.
    #[prost(uint64, tag = "3")]
    pub lead_ms: u64,
    /// CPU of the fleet's largest machine, in thousandths of a core; 0 from coordinators that do not tell it.
    #[prost(uint64, tag = "4")]
    pub largest_cpu: u64,
}

/// Amounts of resources.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct Amounts {
    /// Thousandths of a core.
    #[prost(uint64, tag = "1")]
    pub cpu: u64,
    /// Memory in MiB.
    #[prost(uint64, tag = "2")]
    pub mem: u64,
    /// Accelerators.
    #[prost(uint64, tag = "3")]
    pub gpu: u64,
}

impl From<Resources> for Amounts {
    fn from(resources: Resources) -> Self {
        Self { cpu: resources.cpu, mem: resources.mem, gpu: resources.gpu }
    }
}

impl From<Amounts> for Resources {
    fn from(amounts: Amounts) -> Self {
        Self { cpu: amounts.cpu, mem: amounts.mem, gpu: amounts.gpu }
    }
}

/// One customer's quota, in a report or in the reply to it.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct QuotaRow {
    /// Name of the customer.
    #[prost(string, tag = "1")]
    pub customer: String,
    /// Quota that the shard holds.
    #[prost(message, required, tag = "2")]
    pub held: Amounts,
    /// Additional quota that the shard could use.
    #[prost(message, required, tag = "3")]
    pub requested: Amounts,
    /// Part of `requested` that the shard's next task needs.
    #[prost(message, optional, tag = "4")]
    pub next: Option<Amounts>,
    /// Part of `requested` that its smallest waiting task needs.
    #[prost(message, optional, tag = "5")]
    pub least: Option<Amounts>,
}

/// Quotas that a shard's owner holds.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct QuotaReport {
    /// Partition of the shard.
    #[prost(uint32, tag = "1")]
    pub partition: u32,
    /// Epoch of the shard's owner.
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
    /// Sequence number; rises with each report of an owner.
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
    /// Quota of each customer.
    #[prost(message, repeated, tag = "4")]
    pub rows: Vec<QuotaRow>,
}

impl From<quota::Report> for QuotaReport {
    fn from(report: quota::Report) -> Self {
        let row = |c: quota::Claim| QuotaRow {
            customer: c.customer,
            held: c.held.into(),
            requested: c.requested.into(),
            next: Some(c.next.into()),
            least: Some(c.least.into()),
        };
        let rows = report.claims.into_iter().map(row).collect();
        Self { partition: report.shard, epoch: report.epoch, sequence: report.sequence, rows }
    }
}

impl From<QuotaReport> for quota::Report {
    fn from(report: QuotaReport) -> Self {
        let claim = |r: QuotaRow| quota::Claim {
            customer: r.customer,
            held: r.held.into(),
            requested: r.requested.into(),
            next: r.next.unwrap_or_default().into(),
            least: r.least.unwrap_or_default().into(),
        };
        let claims = report.rows.into_iter().map(claim).collect();
        Self { shard: report.partition, epoch: report.epoch, sequence: report.sequence, claims }
    }
}

/// Load of a service's workers, in thousandths of a core.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct LoadReply {
    /// Demand of tasks that are ready to start.
    #[prost(uint64, tag = "1")]
    pub demand: u64,
    /// Use by runs.
    #[prost(uint64, tag = "2")]
    pub used: u64,
    /// Capacity of usable workers.
    #[prost(uint64, tag = "3")]
    pub capacity: u64,
    /// Ids of workers without runs.
    #[prost(string, repeated, tag = "4")]
    pub idle: Vec<String>,
    /// Capacity that running and arriving work is expected to need after the lead.
    #[prost(uint64, tag = "5")]
    pub expected: u64,
    /// Workers that jobs at a standstill lack.
    #[prost(uint64, tag = "6")]
    pub lacking: u64,
    /// Part of the demand with the highest priority present; older owners omit it.
    #[prost(uint64, optional, tag = "7")]
    pub urgent: Option<u64>,
    /// Priority of the most urgent job that waits or arrives; older owners omit it.
    #[prost(uint32, optional, tag = "8")]
    pub priority: Option<u32>,
}

impl From<ServiceLoad> for LoadReply {
    fn from(load: ServiceLoad) -> Self {
        let ServiceLoad { demand, urgent, priority, used, capacity, expected, lacking, idle } = load;
        let (urgent, priority) = (Some(urgent), Some(priority));
        Self { demand, used, capacity, idle, expected, lacking, urgent, priority }
    }
}

impl LoadReply {
    /// The load of a pool. Without their priority, all waiting tasks count as the most urgent ones.
    #[must_use]
    pub fn into_pool_load(self, name: String) -> PoolLoad {
        let Self { demand, used, capacity, idle, expected, lacking, urgent, priority } = self;
        PoolLoad {
            name,
            pending_cpu: demand,
            urgent_cpu: urgent.unwrap_or(demand),
            priority: priority.unwrap_or(0),
            used_cpu: used,
            expected_cpu: expected,
            cpu_capacity: capacity,
            lacking_workers: lacking,
            idle_workers: idle,
        }
    }
}

/// Kinds of replies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum ReplyKind {
    /// The request was not understood, or its result is not known.
    Unspecified = 0,
    /// Done; changes of jobs are stored.
    Done = 1,
    /// Not done; it will never take effect. `value` is the milliseconds until the caller may return; 0 for the
    /// usual second.
    Refused = 2,
    /// There is no such job, or there are no newer documents.
    NotFound = 3,
    /// This daemon does not own the shard; nothing was done.
    NotOwner = 4,
    /// It is unknown whether it was done.
    Uncertain = 5,
    /// State of a job: see `value`.
    State = 6,
    /// Count: see `value`; `services` are those to which further jobs of the queue were referred.
    Count = 7,
    /// Quotas: see `rows`.
    Quota = 8,
    /// Load of a service's workers: see `load`.
    Load = 9,
    /// Operators' documents: see `json`.
    Documents = 10,
    /// The shard of another service accepts the job: see `services`.
    Referred = 11,
    /// The job may be in the shards of these services: see `services`.
    Search = 12,
}

/// The reply to a request.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Reply {
    /// Id of the request.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// Kind of reply, which tells the fields that apply.
    #[prost(enumeration = "ReplyKind", tag = "2")]
    pub kind: i32,
    /// State, count, or time of a refusal.
    #[prost(uint64, tag = "3")]
    pub value: u64,
    /// Quota of each customer.
    #[prost(message, repeated, tag = "4")]
    pub rows: Vec<QuotaRow>,
    /// Load of a service's workers.
    #[prost(message, optional, tag = "5")]
    pub load: Option<LoadReply>,
    /// Operators' documents as JSON.
    #[prost(string, tag = "6")]
    pub json: String,
    /// Names of services.
    #[prost(string, repeated, tag = "7")]
    pub services: Vec<String>,
}

impl Reply {
    /// A reply without a value.
    #[must_use]
    pub const fn of(kind: ReplyKind) -> Self {
        Self {
            id: 0,
            kind: kind as i32,
            value: 0,
            rows: Vec::new(),
            load: None,
            json: String::new(),
            services: Vec::new(),
        }
    }

    /// A reply with a count.
    #[must_use]
    pub fn count(count: usize) -> Self {
        Self { value: count as u64, ..Self::of(ReplyKind::Count) }
    }

    /// A reply with names of services.
    #[must_use]
    pub fn services(kind: ReplyKind, services: Vec<String>) -> Self {
        Self { services, ..Self::of(kind) }
    }

    /// A refusal, after which the caller may return in `retry_ms`.
    #[must_use]
    pub fn refused(retry_ms: u64) -> Self {
        Self { value: retry_ms, ..Self::of(ReplyKind::Refused) }
    }

    /// A reply with a job's state.
    #[must_use]
    pub fn state(state: JobState) -> Self {
        let value = match state {
            JobState::Queued => 0,
            JobState::Running => 1,
            JobState::Completed => 2,
            JobState::Failed => 3,
            JobState::Cancelled => 4,
        };
        Self { value, ..Self::of(ReplyKind::State) }
    }

    /// A reply with new quotas.
    #[must_use]
    pub fn quota(grants: Vec<quota::Grant>) -> Self {
        let row = |g: quota::Grant| QuotaRow {
            customer: g.customer,
            held: g.quota.into(),
            requested: Amounts::default(),
            next: None,
            least: None,
        };
        Self { rows: grants.into_iter().map(row).collect(), ..Self::of(ReplyKind::Quota) }
    }

    /// The new quotas of a reply.
    #[must_use]
    pub fn into_grants(self) -> Vec<quota::Grant> {
        let grant = |r: QuotaRow| quota::Grant { customer: r.customer, quota: r.held.into() };
        self.rows.into_iter().map(grant).collect()
    }

    /// The job's state of a reply; `None` if the value is not known.
    #[must_use]
    pub const fn as_job_state(&self) -> Option<JobState> {
        Some(match self.value {
            0 => JobState::Queued,
            1 => JobState::Running,
            2 => JobState::Completed,
            3 => JobState::Failed,
            4 => JobState::Cancelled,
            _ => return None,
        })
    }
}
