//! Workers and the runs on each.

use std::collections::HashMap;

use crate::Ms;
use crate::binding::LateStart;
use crate::held_ends::HeldEnd;
use crate::io::Timing;
use crate::job::TaskRef;
use crate::model::{Resources, TaskId};

/// Longest time after which the platform carries out a call to a worker that it left without an answer.
pub(crate) const LATE_CALL_MS: Ms = 12_000;

/// Number of start requests that counts for a run of an earlier owner that left one without an answer; there may be more.
pub(crate) const UNKNOWN_TRIES: u32 = 2;

/// Index of a worker in the shard's table.
pub(crate) type WorkerKey = u32;

/// A worker as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerInfo {
    /// Unique id.
    pub id: String,
    /// Address as `ip:port`.
    pub addr: String,
    /// Service that it serves.
    pub service: String,
    /// Availability zone.
    pub zone: String,
    /// Labels, among them the worker's kind and rack.
    pub labels: Vec<String>,
    /// Total capacity.
    pub capacity: Resources,
    /// The platform allows new work on it.
    pub ready: bool,
    /// Start time of its incarnation in milliseconds since the Unix epoch, as its entry says; 0 if unknown.
    pub incarnation: u64,
}

/// Phase of a run, as far as the owner knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunPhase {
    /// Waits for the log to record it; the start request follows.
    Planned,
    /// The start request is sent and not answered yet.
    Sent,
    /// Confirmed at this time, by a start reply or a poll.
    Running(Ms),
    /// The start request went unanswered at this time. A poll confirms the run, or the request is sent again.
    Unconfirmed(Ms),
    /// Recorded by an earlier owner; the worker has not been polled yet.
    Inherited,
    /// The worker confirmed a stop at this time: the run is ending, or never started.
    Stopped(Ms),
    /// To be stopped.
    Stopping,
}

/// A run that is, or may be, on a worker.
#[derive(Debug)]
pub(crate) struct Run {
    pub number: u32,
    /// Fencing token of its start request; 0 if this owner sent none.
    pub token: u64,
    pub phase: RunPhase,
    /// Start requests that this owner has sent for it.
    pub tries: u32,
    /// When the last of them went without an answer; 0 if each was answered.
    pub unanswered_at: Ms,
    /// The log holds that one of them went without an answer.
    pub late_noted: bool,
    pub planned_at: Ms,
    /// Capacity that it reserves on the worker.
    pub reserved: Resources,
    /// Amount that it counts against the customer's quota.
    pub charge: Resources,
    pub tenant: String,
    pub best_effort: bool,
    pub long_running: bool,
    /// The task may have a second run at the same time.
    pub copies_allowed: bool,
    /// Highest acceptable tail latency in milliseconds; 0 if it serves no users.
    pub latency_target: u64,
    pub progress_percent: u32,
    /// When `progress_percent` last changed.
    pub progressed_at: Ms,
    /// When a poll last reported it; when it was planned, before the first one.
    pub reported_at: Ms,
    /// Progress in percent and time from which its pace is measured; none before the first report of a run of an
    /// earlier owner.
    pub basis: Option<(u32, Ms)>,
    /// Measured tail latency in milliseconds if it serves users, else processor use.
    pub metric: u64,
    /// Speed that it is set to, in percent of full speed.
    pub speed_percent: u32,
    /// This owner has started it or set its speed; an earlier one may have paused it otherwise.
    pub speed_known: bool,
    pub speed_changed: Ms,
    /// When a report did not list it though a stop for it was due again.
    pub absent_at: Ms,
    /// When the last stop request was sent; 0 if none was.
    pub stop_sent_at: Ms,
    pub stop_cause: StopCause,
}

/// Why a run is stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopCause {
    /// It is not to be stopped.
    None,
    /// Its job has ended.
    JobEnded,
    /// Its start request was not answered.
    Unanswered,
    /// The task is done, or another run has replaced this one.
    Superseded,
    /// It makes no progress.
    Stalled,
    /// Its worker is drained for maintenance.
    Maintenance,
    /// It belongs to no task of this shard.
    Stranger,
}

impl Run {
    /// Reservation in thousandths of a core, if it does not end by itself.
    const fn lasting_cpu(&self) -> u64 {
        if self.long_running { self.reserved.cpu } else { 0 }
    }

    /// Marks the run to be stopped.
    pub const fn stop(&mut self, cause: StopCause) {
        self.phase = RunPhase::Stopping;
        self.stop_cause = cause;
    }
}

/// Whether calls for an earlier incarnation of a worker can still act on the present one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fence {
    /// The present incarnation has seen the worker's token, which no such call has.
    Up,
    /// The token has been raised; the next answer to a poll confirms it.
    Raised,
    /// The token has been raised while the worker is silent, so whichever incarnation answers next has seen it.
    Renewed,
    /// The owner has no higher token left.
    Missing,
}

/// Whether a worker answers this owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reachability {
    /// It has not answered this owner yet.
    Unknown,
    /// The last request was answered.
    Reachable,
    /// The last request failed.
    Unreachable,
}

/// A worker and its runs, as far as the owner knows.
#[derive(Debug)]
pub(crate) struct Worker {
    pub info: WorkerInfo,
    pub rack: String,
    /// It is on the platform's current list.
    pub listed: bool,
    /// The log may hold a record of it.
    pub recorded: bool,
    pub reachability: Reachability,
    /// When it first answered this owner. From then on it rejects requests of earlier owners.
    pub first_contact: Option<Ms>,
    /// Start time of its incarnation, as it reports it; 0 if unknown.
    pub incarnation: u64,
    /// Incarnation that its entry may still show though polls have been answered by a later one; 0 for none.
    pub outdated: u64,
    /// When the incarnation in its entry last changed.
    pub listed_at: Ms,
    /// Fencing token of the calls to it.
    pub token: u64,
    pub fence: Fence,
    /// Until when a start that it left without an answer may be carried out.
    pub late_until: Ms,
    /// Runs that have left its table while a start of theirs may be on its way.
    pub late_starts: Vec<LateStart>,
    /// Highest sequence number among the ends reported by this incarnation.
    pub ends_seen: u64,
    /// The number of its next end is known: this owner has met its predecessor, or seen an end of it.
    pub ends_known: bool,
    /// Highest sequence number among the ends whose effects are stored.
    pub ends_stored: u64,
    /// Ends that are not to be acknowledged yet.
    pub held_ends: Vec<HeldEnd>,
    /// Highest sequence number that a poll has acknowledged to this incarnation.
    pub ends_acked: u64,
    /// Sequence number that the last poll acknowledges; 0 for none.
    pub poll_acked: u64,
    /// Last reading of its clock, and when it was received.
    pub clock: Option<(u64, Ms)>,
    /// When the leases have expired that this owner granted this incarnation, unless it is reached again; 0 if it
    /// granted none.
    pub lease_end: Ms,
    /// When the leases have expired that other calls may have granted this incarnation: those of earlier owners, and
    /// those for an earlier incarnation, whose clock may be far ahead. 0 if unknown.
    pub stray_lease_end: Ms,
    /// The log may hold the rest of its leases, so none may be granted until the log has stored another
    /// record.
    pub lease_noted: bool,
    /// When the rest of its leases was last noted, or when it last answered.
    pub lease_noted_at: Ms,
    /// Sum of the reservations of its runs.
    pub used: Resources,
    /// Part of `used` that long-running tasks hold, in thousandths of a core.
    pub lasting_cpu: u64,
    pub runs: HashMap<TaskRef, Run>,
    /// Reported runs that belong to no task of this shard. They block new starts until they are gone.
    pub unknown_runs: Vec<(TaskId, u32)>,
    /// A poll is in progress.
    pub polling: bool,
    /// When the last poll was sent.
    pub polled_at: Ms,
    /// Longest wait of its last poll in milliseconds.
    pub poll_wait: Ms,
    /// When the next poll is due.
    pub poll_at: Ms,
    /// Consecutive failures that are attributed to the worker.
    pub failure_streak: u32,
    /// No starts before this time.
    pub backoff_until: Ms,
    /// Until when it gets no new tasks and is drained; 0 if it is not cordoned.
    pub cordoned_until: Ms,
    /// Its machine is due for maintenance.
    pub maintenance_due: bool,
    /// Holds no runs of this shard any more: no longer listed, or replaced by another incarnation.
    pub removed: bool,
}

impl Worker {
    pub fn new(info: WorkerInfo, token: u64, now: Ms) -> Self {
        let rack = rack_label(&info.labels);
        Self {
            info,
            rack,
            listed: true,
            recorded: false,
            reachability: Reachability::Unknown,
            first_contact: None,
            incarnation: 0,
            outdated: 0,
            listed_at: now,
            token,
            fence: Fence::Up,
            late_until: 0,
            late_starts: Vec::new(),
            ends_seen: 0,
            ends_known: false,
            ends_stored: 0,
            held_ends: Vec::new(),
            ends_acked: 0,
            poll_acked: 0,
            clock: None,
            lease_end: 0,
            stray_lease_end: 0,
            lease_noted: false,
            lease_noted_at: now,
            used: Resources::default(),
            lasting_cpu: 0,
            runs: HashMap::new(),
            unknown_runs: Vec::new(),
            polling: false,
            polled_at: 0,
            poll_wait: 0,
            poll_at: now,
            failure_streak: 0,
            backoff_until: 0,
            cordoned_until: 0,
            maintenance_due: false,
            removed: false,
        }
    }

    /// Whether it gets no new tasks and is drained.
    pub const fn cordoned(&self, now: Ms) -> bool {
        now < self.cordoned_until
    }

    /// Capacity that is not reserved.
    pub const fn available(&self) -> Resources {
        self.info.capacity.saturating_sub(&self.used)
    }

    /// Capacity that is free once the runs that end by themselves have ended.
    pub fn capacity_in_time(&self) -> Resources {
        let lasting = self.runs.values().filter(|r| r.long_running);
        lasting.fold(self.info.capacity, |free, run| free.saturating_sub(&run.reserved))
    }

    /// Whether it may get new tasks now.
    pub fn schedulable(&self, now: Ms) -> bool {
        self.listed
            && self.info.ready
            && !self.removed
            && !self.cordoned(now)
            && self.reachability == Reachability::Reachable
            && self.fence == Fence::Up
            && !self.restart_listed()
            && self.unknown_runs.is_empty()
            && self.clock.is_some()
            && now >= self.backoff_until
    }

    /// Whether calls for an earlier incarnation can still act on the one that has answered.
    pub const fn is_unfenced(&self) -> bool {
        matches!(self.fence, Fence::Raised | Fence::Missing)
    }

    /// Whether its entry shows an incarnation that has not answered a poll yet.
    pub const fn restart_listed(&self) -> bool {
        let listed = self.info.incarnation;
        self.incarnation != 0 && listed != 0 && listed != self.incarnation && listed != self.outdated
    }

    /// When all its leases have expired unless it is reached again; 0 if it holds none. Calls for an earlier incarnation
    /// may grant leases by its clock, and may do so late while the worker is there to take them.
    pub fn leases_end(&self, timing: &Timing) -> Ms {
        let excess = if self.lease_end != 0 && self.restart_listed() { timing.clock_excess() } else { 0 };
        let end = (self.lease_end + excess).max(self.stray_lease_end);
        let unfenced = self.restart_listed() || self.is_unfenced();
        if end != 0 && self.listed && unfenced { end + LATE_CALL_MS } else { end }
    }

    /// Milliseconds until the leases of a silent worker have expired; 0 if it answers or holds none.
    pub fn lease_left(&self, timing: &Timing, now: Ms) -> Ms {
        let silent = self.reachability != Reachability::Reachable;
        if silent { self.leases_end(timing).saturating_sub(now) } else { 0 }
    }

    /// Whether a start has gone without an answer since the last poll was sent.
    pub fn start_unanswered(&self) -> bool {
        self.runs.values().any(|r| matches!(r.phase, RunPhase::Unconfirmed(at) if at >= self.polled_at))
    }

    /// When it last answered a poll; 0 if it has answered none since it was last lost.
    pub fn answered_at(&self) -> Ms {
        self.clock.map_or(0, |(_, read)| read)
    }

    /// Estimate of its clock; behind by the time that the last reading was in transit.
    pub fn estimated_clock(&self, now: Ms) -> Option<u64> {
        self.clock.map(|(clock, read)| clock + now.saturating_sub(read))
    }

    pub fn insert_run(&mut self, task: TaskRef, run: Run) {
        self.used += run.reserved;
        self.lasting_cpu += run.lasting_cpu();
        if let Some(old) = self.runs.insert(task, run) {
            self.used -= old.reserved;
            self.lasting_cpu -= old.lasting_cpu();
        }
    }

    pub fn remove_run(&mut self, task: &TaskRef) -> Option<Run> {
        let run = self.runs.remove(task)?;
        self.used -= run.reserved;
        self.lasting_cpu -= run.lasting_cpu();
        Some(run)
    }
}

/// The rack label is the one that contains a dash.
fn rack_label(labels: &[String]) -> String {
    labels.iter().find(|l| l.contains('-')).cloned().unwrap_or_default()
}
