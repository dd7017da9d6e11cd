//! Jobs as callers submit them: steps of tasks, and the resources that each task needs.

use std::fmt;
use std::ops::{Add, AddAssign, Sub, SubAssign};

/// Amounts of processor time, memory and accelerators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Resources {
    /// Thousandths of a core.
    pub cpu: u64,
    /// Memory in MiB.
    pub mem: u64,
    /// Accelerators.
    pub gpu: u64,
}

impl Resources {
    /// True if each amount of `self` is at most that of `available`.
    #[must_use]
    pub const fn fits(&self, available: &Self) -> bool {
        self.cpu <= available.cpu && self.mem <= available.mem && self.gpu <= available.gpu
    }

    /// Largest amount of each kind.
    #[must_use]
    pub fn max(&self, other: &Self) -> Self {
        Self { cpu: self.cpu.max(other.cpu), mem: self.mem.max(other.mem), gpu: self.gpu.max(other.gpu) }
    }

    /// Smallest amount of each kind.
    #[must_use]
    pub fn min(&self, other: &Self) -> Self {
        Self { cpu: self.cpu.min(other.cpu), mem: self.mem.min(other.mem), gpu: self.gpu.min(other.gpu) }
    }

    /// Subtracts each amount of `other`, stopping at zero.
    #[must_use]
    pub const fn saturating_sub(&self, other: &Self) -> Self {
        Self {
            cpu: self.cpu.saturating_sub(other.cpu),
            mem: self.mem.saturating_sub(other.mem),
            gpu: self.gpu.saturating_sub(other.gpu),
        }
    }
}

impl Resources {
    /// Each amount times `count`, up to the largest number.
    #[must_use]
    pub const fn times(&self, count: u64) -> Self {
        Self {
            cpu: self.cpu.saturating_mul(count),
            mem: self.mem.saturating_mul(count),
            gpu: self.gpu.saturating_mul(count),
        }
    }
}

/// Sums stop at the largest number, as callers may ask for any amount.
impl Add for Resources {
    type Output = Self;
    fn add(self, other: Self) -> Self {
        Self {
            cpu: self.cpu.saturating_add(other.cpu),
            mem: self.mem.saturating_add(other.mem),
            gpu: self.gpu.saturating_add(other.gpu),
        }
    }
}

impl AddAssign for Resources {
    fn add_assign(&mut self, other: Self) {
        *self = *self + other;
    }
}

impl Sub for Resources {
    type Output = Self;
    fn sub(self, other: Self) -> Self {
        self.saturating_sub(&other)
    }
}

impl SubAssign for Resources {
    fn sub_assign(&mut self, other: Self) {
        *self = self.saturating_sub(&other);
    }
}

/// A step of a job: identical tasks.
#[derive(Clone, PartialEq, prost::Message)]
pub struct StepSpec {
    /// Number of tasks.
    #[prost(uint32, tag = "1")]
    pub count: u32,
    /// Thousandths of a core, for each task.
    #[prost(uint64, tag = "2")]
    pub cpu: u64,
    /// Memory in MiB, for each task.
    #[prost(uint64, tag = "3")]
    pub mem: u64,
    /// Accelerators, for each task.
    #[prost(uint64, tag = "4")]
    pub gpu: u64,
    /// Caller's estimate of a task's duration in milliseconds.
    #[prost(uint64, tag = "5")]
    pub estimate: u64,
    /// Indices of earlier steps that must complete first.
    #[prost(uint32, repeated, tag = "6")]
    pub depends_on: Vec<u32>,
    /// Tasks write checkpoints and can resume from them.
    #[prost(bool, tag = "7")]
    pub checkpointing: bool,
    /// Gang scheduling: tasks make progress only while all of them run.
    #[prost(bool, tag = "8")]
    pub gang: bool,
    /// Tasks run faster on a single rack.
    #[prost(bool, tag = "9")]
    pub same_rack: bool,
    /// Label that the worker must have; empty for any.
    #[prost(string, tag = "10")]
    pub label: String,
    /// Rack that holds the data; empty for none.
    #[prost(string, tag = "11")]
    pub preferred_rack: String,
    /// Most tasks of the step on one worker; 0 for no limit.
    #[prost(uint32, tag = "12")]
    pub max_colocated: u32,
    /// Speculative copies of a task are allowed.
    #[prost(bool, tag = "13")]
    pub speculative: bool,
    /// Tasks run until the job is cancelled.
    #[prost(bool, tag = "14")]
    pub long_running: bool,
    /// Image that the tasks run; tasks of one image behave alike.
    #[prost(string, tag = "15")]
    pub image: String,
    /// Highest acceptable tail latency in milliseconds; 0 if the tasks serve no users.
    #[prost(uint64, tag = "16")]
    pub latency_target: u64,
    /// Tasks use only spare processor time, so their `cpu` reserves no capacity.
    #[prost(bool, tag = "17")]
    pub best_effort: bool,
    /// Long-running tasks that maintenance may make unavailable at once.
    #[prost(uint32, tag = "18")]
    pub disruption_budget: u32,
}

impl StepSpec {
    /// Capacity that one task reserves on its worker.
    #[must_use]
    pub const fn reservation(&self) -> Resources {
        Resources { cpu: if self.best_effort { 0 } else { self.cpu }, mem: self.mem, gpu: self.gpu }
    }

    /// Amount that one task counts against its customer's quota.
    #[must_use]
    pub const fn charge(&self) -> Resources {
        Resources { cpu: self.cpu, mem: self.mem, gpu: self.gpu }
    }
}

/// Schedule of a repeated job.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct Repeat {
    /// First occurrence, in milliseconds since the Unix epoch.
    #[prost(uint64, tag = "1")]
    pub first: u64,
    /// Milliseconds between two occurrences.
    #[prost(uint64, tag = "2")]
    pub interval: u64,
    /// Number of occurrences.
    #[prost(uint32, tag = "3")]
    pub count: u32,
}

impl Repeat {
    /// When an occurrence is due, in milliseconds since the Unix epoch.
    #[must_use]
    pub const fn due_at(&self, number: u32) -> u64 {
        self.first.saturating_add((number as u64).saturating_mul(self.interval))
    }
}

/// A job and the terms under which it was accepted.
#[derive(Clone, PartialEq, prost::Message)]
pub struct JobSpec {
    /// Id that the caller chose.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Queue that it was submitted to.
    #[prost(string, tag = "2")]
    pub queue: String,
    /// Service whose workers run it.
    #[prost(string, tag = "3")]
    pub service: String,
    /// Customer that is charged; empty on a public queue.
    #[prost(string, tag = "4")]
    pub tenant: String,
    /// Payload that each task receives.
    #[prost(string, tag = "5")]
    pub payload: String,
    /// Steps, in the caller's order.
    #[prost(message, repeated, tag = "6")]
    pub steps: Vec<StepSpec>,
    /// Priority of the queue; 0 is the highest.
    #[prost(uint32, tag = "7")]
    pub priority: u32,
    /// Failed runs of a task after which the job fails.
    #[prost(uint32, tag = "8")]
    pub max_attempts: u32,
    /// Completion objective: this many times the critical path, plus `target`.
    #[prost(double, tag = "9")]
    pub stretch: f64,
    /// Constant part of the completion objective in milliseconds.
    #[prost(uint64, tag = "10")]
    pub target: u64,
    /// Wall clock at acceptance, in milliseconds since the Unix epoch.
    #[prost(uint64, tag = "11")]
    pub accepted_at: u64,
    /// Owner's epoch at acceptance; run numbers of later owners are derived from their distance to it.
    #[prost(uint64, tag = "12")]
    pub epoch: u64,
    /// Schedule; none for a job that runs once, at once.
    #[prost(message, optional, tag = "13")]
    pub repeat: Option<Repeat>,
}

/// Outcome of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum Verdict {
    /// The job has not ended.
    Open = 0,
    /// All tasks are done.
    Completed = 1,
    /// A task has used up its attempts.
    Failed = 2,
    /// Cancelled by its caller.
    Cancelled = 3,
}

/// Id of a task, in the form that workers use.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct TaskId {
    /// Job id.
    pub job: String,
    /// Occurrence, from 0; 0 for a job that is not repeated.
    pub occurrence: u32,
    /// Step of the job, from 0.
    pub step: u32,
    /// Task within the step, from 0.
    pub index: u32,
}

impl TaskId {
    /// Parses the form that [`fmt::Display`] writes.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let mut parts = text.rsplitn(4, '.');
        let index = parts.next()?.parse().ok()?;
        let step = parts.next()?.parse().ok()?;
        let occurrence = parts.next()?.parse().ok()?;
        Some(Self { job: parts.next()?.to_owned(), occurrence, step, index })
    }
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}.{}", self.job, self.occurrence, self.step, self.index)
    }
}
