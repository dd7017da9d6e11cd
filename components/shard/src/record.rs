//! Records in a shard's partition of the log, which keeps the newest record of each key.

use prost::Message;

use crate::job::Job;
use crate::model::{JobSpec, Verdict};
use crate::ranges::{Range, Ranges};

const JOB_PREFIX: &str = "j:";
const PROGRESS_PREFIX: &str = "p:";
const WORKER_PREFIX: &str = "w:";
const REFERRAL_PREFIX: &str = "r:";
const QUEUE_PREFIX: &str = "q:";

/// A record to append.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Key: a prefix for the kind of record, then the id of the job or worker.
    pub key: String,
    /// New value; none deletes the key.
    pub value: Option<Vec<u8>>,
}

/// A worker that this shard may have started tasks on.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct WorkerRecord {
    /// Worker's id.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Address as `ip:port`.
    #[prost(string, tag = "2")]
    pub addr: String,
    /// Runs that were planned there. Some may have ended since.
    #[prost(message, repeated, tag = "3")]
    pub runs: Vec<RunRecord>,
    /// Milliseconds after which all leases granted there have expired, counted from when this was written; 0
    /// if unknown. An owner that writes it grants no lease there before it has written 0.
    #[prost(uint64, tag = "4")]
    pub lease_left: u64,
    /// Milliseconds after which the leases granted by calls for earlier incarnations or of earlier owners have
    /// expired, counted from when this was written.
    #[prost(uint64, tag = "5")]
    pub stray_lease_left: u64,
    /// Start time of its incarnation; 0 if unknown.
    #[prost(uint64, tag = "6")]
    pub incarnation: u64,
    /// Calls for earlier incarnations could still act on it.
    #[prost(bool, tag = "7")]
    pub unfenced: bool,
}

/// A run that may be on a worker.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct RunRecord {
    /// Task id, in the form that workers use.
    #[prost(string, tag = "1")]
    pub task_id: String,
    /// Run number.
    #[prost(uint32, tag = "2")]
    pub run: u32,
    /// A start request for it went without an answer and may still be carried out.
    #[prost(bool, tag = "3")]
    pub unanswered: bool,
}

/// Failed runs of one task.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct TaskFailures {
    /// Task within the step.
    #[prost(uint32, tag = "1")]
    pub index: u32,
    /// Number of failed runs.
    #[prost(uint32, tag = "2")]
    pub count: u32,
    /// Highest run number that failed; the worker may report that end again.
    #[prost(uint32, tag = "3")]
    pub last_failed_run: u32,
    /// Lower run numbers that failed; a worker's record may still name them.
    #[prost(uint32, repeated, tag = "4")]
    pub lower_failed_runs: Vec<u32>,
}

/// Progress of a step.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct StepProgress {
    /// Completed tasks: one bit for each, lowest bit first.
    #[prost(bytes = "vec", tag = "1")]
    pub done: Vec<u8>,
    /// Tasks with failed runs.
    #[prost(message, repeated, tag = "2")]
    pub failures: Vec<TaskFailures>,
}

/// Progress of an occurrence.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct OccurrenceProgress {
    /// Number of the occurrence.
    #[prost(uint32, tag = "1")]
    pub occurrence: u32,
    /// All its tasks are done; `steps` is empty then.
    #[prost(bool, tag = "2")]
    pub complete: bool,
    /// Progress of its steps.
    #[prost(message, repeated, tag = "3")]
    pub steps: Vec<StepProgress>,
}

impl OccurrenceProgress {
    /// Whether a run of one of its tasks has ended.
    pub(crate) fn has_begun(&self) -> bool {
        let ended = |s: &StepProgress| !s.failures.is_empty() || s.done.iter().any(|bits| *bits != 0);
        self.complete || self.steps.iter().any(ended)
    }
}

/// Progress of a job.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Progress {
    /// Outcome.
    #[prost(enumeration = "Verdict", tag = "1")]
    pub verdict: i32,
    /// Wall clock at its end, in milliseconds since the Unix epoch; 0 if it has not ended.
    #[prost(uint64, tag = "2")]
    pub ended_at: u64,
    /// Occurrences that have become due and are in progress, and completed ones if they are not in `completed`.
    #[prost(message, repeated, tag = "3")]
    pub occurrences: Vec<OccurrenceProgress>,
    /// Completed occurrences of a job that has more of them than are listed one by one.
    #[prost(message, repeated, tag = "4")]
    pub completed: Vec<Range>,
}

impl Progress {
    /// Numbers of all completed occurrences.
    pub(crate) fn completed(&self) -> Ranges {
        let listed = self.occurrences.iter().filter(|o| o.complete).map(|o| o.occurrence);
        let mut all: Ranges = listed.collect();
        self.completed.iter().for_each(|range| all.insert_range(*range));
        all
    }
}

/// A job that another service's shard accepts.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub(crate) struct ReferralRecord {
    /// Queue of the job.
    #[prost(string, tag = "1")]
    pub queue: String,
    /// Service.
    #[prost(string, tag = "2")]
    pub service: String,
    /// Wall clock at the referral, in milliseconds since the Unix epoch.
    #[prost(uint64, tag = "3")]
    pub referred_at: u64,
}

/// Services to which jobs of a queue were referred.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub(crate) struct QueueRecord {
    /// Names of the services.
    #[prost(string, repeated, tag = "1")]
    pub services: Vec<String>,
}

/// A record read back from the log.
pub(crate) enum StoredRecord {
    Job(JobSpec),
    Progress(String, Progress),
    Worker(WorkerRecord),
    Referral(String, ReferralRecord),
    Queue(String, QueueRecord),
}

/// Parses a record; `None` if it is malformed or of an unknown kind.
pub(crate) fn parse(key: &str, value: &[u8]) -> Option<StoredRecord> {
    if key.starts_with(JOB_PREFIX) {
        return Some(StoredRecord::Job(JobSpec::decode(value).ok()?));
    }
    if let Some(id) = key.strip_prefix(PROGRESS_PREFIX) {
        return Some(StoredRecord::Progress(id.to_owned(), Progress::decode(value).ok()?));
    }
    if let Some(id) = key.strip_prefix(REFERRAL_PREFIX) {
        return Some(StoredRecord::Referral(id.to_owned(), ReferralRecord::decode(value).ok()?));
    }
    if let Some(queue) = key.strip_prefix(QUEUE_PREFIX) {
        return Some(StoredRecord::Queue(queue.to_owned(), QueueRecord::decode(value).ok()?));
    }
    key.starts_with(WORKER_PREFIX)
        .then(|| WorkerRecord::decode(value).ok().map(StoredRecord::Worker))
        .flatten()
}

/// The job in a record of a shard's partition; `None` for records of other kinds.
#[must_use]
pub fn stored_job(key: &str, value: &[u8]) -> Option<JobSpec> {
    match parse(key, value) {
        Some(StoredRecord::Job(spec)) => Some(spec),
        _ => None,
    }
}

pub(crate) fn job(spec: &JobSpec) -> Record {
    Record { key: format!("{JOB_PREFIX}{}", spec.id), value: Some(spec.encode_to_vec()) }
}

pub(crate) fn progress(job: &Job) -> Record {
    Record { key: format!("{PROGRESS_PREFIX}{}", job.spec.id), value: Some(job.progress().encode_to_vec()) }
}

/// Deletes the records of a job.
pub(crate) fn deletions(id: &str) -> [Record; 2] {
    [JOB_PREFIX, PROGRESS_PREFIX].map(|prefix| Record { key: format!("{prefix}{id}"), value: None })
}

pub(crate) fn referral(id: &str, referral: &ReferralRecord) -> Record {
    Record { key: format!("{REFERRAL_PREFIX}{id}"), value: Some(referral.encode_to_vec()) }
}

pub(crate) fn referral_deletion(id: &str) -> Record {
    Record { key: format!("{REFERRAL_PREFIX}{id}"), value: None }
}

pub(crate) fn queue_services<'a>(queue: &str, services: impl Iterator<Item = &'a String>) -> Record {
    let record = QueueRecord { services: services.cloned().collect() };
    Record { key: format!("{QUEUE_PREFIX}{queue}"), value: Some(record.encode_to_vec()) }
}

/// Records the runs of a worker; the record is deleted once there are none.
pub(crate) fn worker(record: &WorkerRecord) -> Record {
    let value = (!record.runs.is_empty()).then(|| record.encode_to_vec());
    Record { key: format!("{WORKER_PREFIX}{}", record.id), value }
}
