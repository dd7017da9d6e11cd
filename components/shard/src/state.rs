//! State of a shard, and the step that advances it.

use std::collections::{BTreeSet, HashMap, HashSet};

use crate::Ms;
use crate::arrivals::Arrivals;
use crate::batch::Batch;
use crate::copies::COPY_POLL_MS;
use crate::copy_odds::CopyOdds;
use crate::io::{Action, Input, Timing};
use crate::job::{Job, JobKey, StepRef, TaskRef};
use crate::kept::LargeJobs;
use crate::model::Resources;
use crate::overload::Control;
use crate::record::Record;
use crate::referral::Referrals;
use crate::second_run::CopyOutcome;
use crate::worker::{Fence, Reachability, WorkerKey};
use crate::worker_table::WorkerTable;

/// Waiting steps above which a shard is backlogged; more than the tasks that current pools run at once.
const BACKLOG_STEPS: usize = 256;
/// Pause before a worker is polled again whose ends are not stored yet, in milliseconds. The usual answer of the log
/// takes 4 ms, so such polls happen only while the log is slow, at most ten a second for each worker.
const PENDING_POLL_PAUSE_MS: Ms = 100;

/// What tasks of a customer need that only its quota keeps from starting.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QuotaShortage {
    /// Need of the first one in scheduling order.
    pub first: Resources,
    /// Need of the smallest one.
    pub least: Resources,
}

/// Fencing tokens of an owner. They begin with its epoch.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Tokens {
    /// Highest one in use.
    pub last: u64,
    /// Highest one that may be used.
    pub limit: u64,
}

/// State of one shard under one owner.
#[derive(Debug)]
pub struct Shard {
    pub(crate) timing: Timing,
    pub(crate) epoch: u64,
    pub(crate) tokens: Tokens,
    pub(crate) now: Ms,
    /// Wall clock in milliseconds since the Unix epoch.
    pub(crate) wall_ms: u64,
    pub(crate) jobs: HashMap<JobKey, Job>,
    /// Keys of the jobs by id.
    pub(crate) job_keys: HashMap<String, JobKey>,
    pub(crate) next_job_key: JobKey,
    /// Memory of the large jobs.
    pub(crate) large_jobs: LargeJobs,
    pub(crate) workers: WorkerTable,
    pub(crate) zones_out: HashSet<String>,
    /// Quotas by customer.
    pub(crate) quotas: HashMap<String, Resources>,
    /// Upper limits by customer, of all shards together.
    pub(crate) limits: HashMap<String, Resources>,
    /// Amounts charged to customers for their runs.
    pub(crate) quota_used: HashMap<String, Resources>,
    /// Repeated jobs that have not ended.
    pub(crate) repeated_jobs: BTreeSet<JobKey>,
    /// When expired jobs are next looked for.
    pub(crate) expiry_due: Ms,
    /// Steps with tasks to start.
    pub(crate) ready_steps: BTreeSet<StepRef>,
    /// Jobs with changes that are not stored.
    pub(crate) dirty_jobs: HashSet<JobKey>,
    /// Workers with changes that are not stored.
    pub(crate) dirty_workers: HashSet<WorkerKey>,
    /// Recorded runs whose start requests can be sent.
    pub(crate) pending_starts: Vec<(WorkerKey, TaskRef, u32)>,
    /// Deletions of expired jobs, for the next batch.
    pub(crate) deletions: Vec<Record>,
    /// Batch that the log has not answered yet.
    pub(crate) in_flight: Option<Batch>,
    /// Actions to return from the current step.
    pub(crate) actions: Vec<Action>,
    /// A worker has seen a higher fencing token.
    pub(crate) fenced: bool,
    /// Shortages of quota in the last step, by customer.
    pub(crate) quota_shortages: HashMap<String, QuotaShortage>,
    /// Moving average of task durations by queue, in milliseconds.
    pub(crate) average_durations: HashMap<String, f64>,
    /// Recent arrivals by service.
    pub(crate) arrivals: HashMap<String, Arrivals>,
    /// When slow runs are next looked for.
    pub(crate) copies_due: Ms,
    /// What became of earlier copies of this owner, by queue.
    pub(crate) copy_odds: CopyOdds,
    /// What became of copies, until the driver takes it.
    pub(crate) copy_outcomes: Vec<CopyOutcome>,
    /// Jobs at a standstill, and since when.
    pub(crate) standing_since: HashMap<JobKey, Ms>,
    pub(crate) overload: Control,
    pub(crate) referrals: Referrals,
}

impl Shard {
    /// Creates an empty shard, owned under `epoch`.
    #[must_use]
    pub fn new(timing: Timing, epoch: u64, now: Ms, wall_ms: u64) -> Self {
        Self {
            timing,
            epoch,
            tokens: Tokens { last: epoch, limit: u64::MAX },
            now,
            wall_ms,
            jobs: HashMap::new(),
            job_keys: HashMap::new(),
            next_job_key: 0,
            large_jobs: LargeJobs::default(),
            workers: WorkerTable::default(),
            zones_out: HashSet::new(),
            quotas: HashMap::new(),
            limits: HashMap::new(),
            quota_used: HashMap::new(),
            repeated_jobs: BTreeSet::new(),
            expiry_due: 0,
            ready_steps: BTreeSet::new(),
            dirty_jobs: HashSet::new(),
            dirty_workers: HashSet::new(),
            pending_starts: Vec::new(),
            deletions: Vec::new(),
            in_flight: None,
            actions: Vec::new(),
            fenced: false,
            quota_shortages: HashMap::new(),
            average_durations: HashMap::new(),
            arrivals: HashMap::new(),
            copies_due: 0,
            copy_odds: CopyOdds::default(),
            copy_outcomes: Vec::new(),
            standing_since: HashMap::new(),
            overload: Control::default(),
            referrals: Referrals::default(),
        }
    }

    /// Whether only a quota kept some task from starting in the last step.
    #[must_use]
    pub fn quota_limited(&self) -> bool {
        !self.quota_shortages.is_empty()
    }

    /// Whether so many steps wait that each pass is expensive. A few milliseconds of delay do not matter
    /// then.
    #[must_use]
    pub fn backlogged(&self) -> bool {
        self.ready_steps.len() > BACKLOG_STEPS
    }

    /// Owner's epoch, which is the fencing token of its requests to workers that have not restarted.
    #[must_use]
    pub const fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Sets the highest fencing token that is below those of all later owners.
    pub const fn limit_tokens(&mut self, limit: u64) {
        self.tokens.limit = limit;
    }

    /// Highest fencing token of its requests.
    #[must_use]
    pub const fn last_token(&self) -> u64 {
        self.tokens.last
    }

    /// Applies one input. The actions that follow come from the next [`Self::step`].
    pub fn apply(&mut self, now: Ms, wall_ms: u64, input: Input) {
        self.now = self.now.max(now);
        self.wall_ms = wall_ms;
        match input {
            Input::Submit { request_id, spec, searched } => self.submit(request_id, spec, searched),
            Input::Refer { request_id, id, queue, service, searched } => {
                self.refer(request_id, id, (queue, service), searched);
            }
            Input::Cancel { request_id, id } => self.cancel(request_id, &id),
            Input::Workers(list) => self.update_workers(list),
            Input::Foreign { worker } => self.drop_foreign_worker(&worker),
            Input::ZonesOut(zones) => self.zones_out = zones.into_iter().collect(),
            Input::Quotas(quotas) => self.quotas = quotas,
            Input::Limits(limits) => self.limits = limits,
            Input::Weights(weights) => self.overload.set_weights(weights),
            Input::Polled { worker, sent, report } => self.poll_answered(&worker, sent, &report),
            Input::PollFailed { worker, replaced, fenced } => self.poll_failed(&worker, replaced, fenced),
            Input::StartResult { worker, task_id, run, reply } => {
                self.start_answered(&worker, &task_id, run, reply);
            }
            Input::StopFenced { worker, token } => self.stop_fenced(&worker, token),
            Input::StopConfirmed { worker, task_id, run } => self.stop_confirmed(&worker, &task_id, run),
            Input::Stored => self.batch_stored(),
            Input::NotStored => self.batch_failed(),
            Input::Cordon { worker, cordoned } => self.set_cordoned(&worker, cordoned),
            Input::MaintenanceDue { service, workers } => self.set_maintenance_due(&service, &workers),
        }
    }

    /// Advances the shard and returns the actions to take. `may_start` is false while the ownership is not
    /// confirmed; then no run is started or stopped and no worker is polled.
    pub fn step(&mut self, now: Ms, wall_ms: u64, may_start: bool) -> Vec<Action> {
        self.now = self.now.max(now);
        self.wall_ms = wall_ms;
        if self.fenced {
            return vec![Action::OwnershipLost];
        }
        self.quota_shortages.clear();
        self.activate_due_occurrences();
        self.expire_leases();
        self.note_leases();
        self.delete_expired_jobs();
        self.refuse_unsent();
        if may_start {
            self.send_starts();
            self.drain_workers();
            let pass = self.place_tasks();
            self.start_copies(pass);
            self.send_stops();
        }
        self.flush();
        if may_start {
            self.send_polls();
        }
        std::mem::take(&mut self.actions)
    }

    /// Polls each worker that is due.
    fn send_polls(&mut self) {
        // Without a log that answers, polls would only list the same ends again.
        let stalled = self.log_stalled();
        let held_pause = self.held_poll_pause();
        for worker in self.workers.values_mut() {
            if worker.removed || worker.polling || self.now < worker.poll_at {
                continue;
            }
            let final_ends = worker.final_ends(self.now);
            let pending = worker.ends_seen > final_ends;
            let pause = if final_ends < worker.ends_stored { held_pause } else { PENDING_POLL_PAUSE_MS };
            // The worker would report an unacknowledged end again at once, so wait for the log; but while that is
            // slow, or an end is held, later ends must be in its next batch. Renew the lease in time.
            let urgent = worker.lease_end < self.now + self.timing.max_lease() - self.timing.poll_wait;
            if pending && !urgent && (stalled || self.now < worker.poll_at + pause) {
                continue;
            }
            worker.polling = true;
            // A poll that meets another incarnation must grant nothing by its clock and acknowledge none of its ends.
            let current = worker.reachability == Reachability::Reachable && !worker.restart_listed();
            let known = current && !worker.lease_noted;
            let unacked = current && final_ends > worker.ends_acked;
            worker.poll_acked = if unacked { final_ends } else { 0 };
            let lease_until =
                worker.estimated_clock(self.now).filter(|_| known).map(|c| c + self.timing.lease);
            if lease_until.is_some() {
                worker.lease_end = self.now + self.timing.max_lease();
            }
            let copies_allowed = worker.runs.values().any(|r| r.copies_allowed);
            let longest = if copies_allowed { COPY_POLL_MS } else { Ms::MAX };
            let confirming = worker.fence == Fence::Raised || worker.start_unanswered();
            worker.polled_at = self.now;
            let wait = if !known || pending || confirming { 0 } else { self.timing.poll_wait.min(longest) };
            worker.poll_wait = wait;
            self.actions.push(Action::Poll {
                worker: worker.info.id.clone(),
                addr: worker.info.addr.clone(),
                lease_until,
                acked: worker.poll_acked,
                wait,
                token: worker.token,
            });
        }
    }

    pub(crate) fn worker_key(&self, id: &str) -> Option<WorkerKey> {
        self.workers.key(id)
    }

    pub(crate) fn task_ref(&self, task_id: &crate::TaskId) -> Option<TaskRef> {
        let &job = self.job_keys.get(&task_id.job)?;
        let step_ref = StepRef { job, occurrence: task_id.occurrence, step: task_id.step };
        Some(TaskRef { step_ref, index: task_id.index })
    }

    pub(crate) fn task_id(&self, task: &TaskRef) -> Option<crate::TaskId> {
        let job = self.jobs.get(&task.step_ref.job)?;
        Some(crate::TaskId {
            job: job.spec.id.clone(),
            occurrence: task.step_ref.occurrence,
            step: task.step_ref.step,
            index: task.index,
        })
    }
}
