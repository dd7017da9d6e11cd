//! The shard's tables, inputs and actions, and one step over them.

use std::collections::{BTreeSet, HashMap, HashSet};

use crate::Ms;
use crate::job::{Job, JobKey, StepRef, TaskRef};
use crate::model::{JobSpec, Res};
use crate::record::{self, Record, RunRecord};
use crate::report::Report;
use crate::worker::{Contact, RunPhase, StopCause, Worker, WorkerInfo, WorkerKey};

/// Bounds of the platform and limits derived from them, in milliseconds unless named otherwise.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Lease that each look extends to.
    pub lease: Ms,
    /// Longest time an earlier owner can have gone on extending leases after this one took over.
    pub overlap: Ms,
    /// Longest time a look waits for an end.
    pub look: Ms,
    /// Time in which a start is answered, or is taken for unanswered.
    pub answer: Ms,
    /// Pause between two stops of the same run.
    pub stop_again: Ms,
    /// Time after which a batch that the log has not answered counts as stalled.
    pub stalled: Ms,
    /// Time an ended job can still be asked for.
    pub keep: Ms,
}

impl Limits {
    /// Longest time, on the owner's clock, that a lease lasts on a worker whose clock is 2% slow.
    #[must_use]
    pub const fn lease_real(&self) -> Ms {
        self.lease + self.lease / 50 + self.answer
    }
}

/// Answer of a worker to a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartReply {
    /// It runs.
    Running,
    /// No order of this owner counts any more.
    Fenced,
    /// The run number is not above one that ended there, or the lease had lapsed, or there was no room.
    Refused,
    /// The worker is not well; nothing was done.
    Unwell,
    /// Another life answers at the address.
    OtherLife,
    /// Nothing was sent.
    NotSent,
    /// Unknown whether it runs.
    NoAnswer,
}

/// What happens to a shard.
#[derive(Clone, Debug)]
pub enum Input {
    /// A caller submits a job.
    Submit {
        /// Names the answer.
        ticket: u64,
        /// The job; its epoch is set here.
        spec: JobSpec,
    },
    /// A caller cancels a job.
    Cancel {
        /// Names the answer.
        ticket: u64,
        /// The job.
        id: String,
    },
    /// The platform's list of the shard's workers.
    Roster(Vec<WorkerInfo>),
    /// Availability zones that are taken out.
    ZonesOut(Vec<String>),
    /// Most that each customer may have running through this shard.
    Allowed(HashMap<String, Res>),
    /// A worker answered a look that was sent at `sent`.
    Looked {
        /// Worker's id.
        worker: String,
        /// When the look was sent.
        sent: Ms,
        /// The answer.
        report: Report,
    },
    /// A look was not answered, or another life answered.
    LookFailed {
        /// Worker's id.
        worker: String,
        /// Another life is at the address.
        other: bool,
        /// A higher fencing token was seen there.
        fenced: bool,
    },
    /// A start was answered or not.
    Started {
        /// Worker's id.
        worker: String,
        /// Task as the worker names it.
        name: crate::RunName,
        /// Run number.
        run: u32,
        /// The answer.
        reply: StartReply,
    },
    /// A stop was answered.
    Stopped {
        /// Worker's id.
        worker: String,
        /// Task as the worker names it.
        name: crate::RunName,
        /// Run number.
        run: u32,
    },
    /// The log has stored the batch in flight.
    Stored,
    /// The log has surely not stored the batch in flight.
    NotStored,
    /// A worker is to be emptied for maintenance, or may be used again.
    Cordon {
        /// Worker's id.
        worker: String,
        /// Emptied or used.
        on: bool,
    },
}

/// What to do next.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Append records as one batch; answer with `Stored` or `NotStored`.
    Append(Vec<Record>),
    /// The job is stored.
    Accepted(u64),
    /// The job is not stored and never runs.
    Refused(u64),
    /// The cancellation is stored.
    Cancelled(u64),
    /// No such job is known.
    Unknown(u64),
    /// Start a run.
    Start(StartOrder),
    /// Stop a run, or bar it from starting.
    Stop {
        /// Worker's id.
        worker: String,
        /// Its address.
        addr: String,
        /// Task.
        name: crate::RunName,
        /// Run number.
        run: u32,
        /// Cause, for the log.
        why: StopCause,
    },
    /// Set the speed of a run.
    Pace {
        /// Worker's id.
        worker: String,
        /// Its address.
        addr: String,
        /// Task.
        name: crate::RunName,
        /// Run number.
        run: u32,
        /// Share of its speed.
        percent: u32,
    },
    /// Look at a worker, extend its lease and acknowledge its ends.
    Look {
        /// Worker's id.
        worker: String,
        /// Its address.
        addr: String,
        /// New end of the lease on its clock; none while its clock is not known.
        until: Option<u64>,
        /// Ends up to this one are stored.
        seen: u64,
        /// Time to wait for an end.
        wait: Ms,
    },
    /// Another owner has taken over.
    Lost,
}

/// A run to start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartOrder {
    /// Worker's id.
    pub worker: String,
    /// Its address.
    pub addr: String,
    /// Task.
    pub name: crate::RunName,
    /// Run number.
    pub run: u32,
    /// Text for the task.
    pub text: String,
    /// Checkpoint to go on from; empty for none.
    pub saved: String,
    /// End of the lease on the worker's clock.
    pub until: u64,
}

/// State of one shard under one owner.
#[derive(Debug)]
pub struct Shard {
    pub(crate) limits: Limits,
    pub(crate) epoch: u64,
    pub(crate) now: Ms,
    /// Wall clock in milliseconds since the Unix epoch.
    pub(crate) wall: u64,
    pub(crate) jobs: HashMap<JobKey, Job>,
    pub(crate) ids: HashMap<String, JobKey>,
    pub(crate) next_job: JobKey,
    pub(crate) workers: Vec<Worker>,
    pub(crate) worker_ids: HashMap<String, WorkerKey>,
    pub(crate) zones_out: HashSet<String>,
    pub(crate) allowed: HashMap<String, Res>,
    pub(crate) charged: HashMap<String, Res>,
    /// Steps with tasks to start.
    pub(crate) ready: BTreeSet<StepRef>,
    /// Jobs whose progress is to be stored.
    pub(crate) dirty: HashSet<JobKey>,
    /// Workers whose record is to be stored.
    pub(crate) dirty_workers: HashSet<WorkerKey>,
    /// Runs that are stored and can be started.
    pub(crate) cleared: Vec<(WorkerKey, TaskRef, u32)>,
    /// Records other than progress, to be stored next.
    pub(crate) outbox: Vec<Record>,
    pub(crate) flight: Option<Flight>,
    pub(crate) actions: Vec<Action>,
    /// Earliest time at which something is due without an input.
    pub(crate) schedule: bool,
    pub(crate) fenced: bool,
    /// A task could start but for its customer's limit.
    pub(crate) short: bool,
    /// Typical duration of a task by queue, in milliseconds.
    pub(crate) typical: HashMap<String, f64>,
}

/// A batch on its way to the log.
#[derive(Debug, Default)]
pub(crate) struct Flight {
    pub since: Ms,
    pub jobs: Vec<JobKey>,
    pub new_jobs: Vec<JobKey>,
    pub cancels: Vec<(JobKey, u64)>,
    pub workers: Vec<WorkerKey>,
    pub starts: Vec<(WorkerKey, TaskRef, u32)>,
    pub ends: Vec<(WorkerKey, u64, u64)>,
    pub extra: Vec<Record>,
}

impl Shard {
    /// An empty shard owned under `epoch`.
    #[must_use]
    pub fn new(limits: Limits, epoch: u64, now: Ms, wall: u64) -> Self {
        Self {
            limits,
            epoch,
            now,
            wall,
            jobs: HashMap::new(),
            ids: HashMap::new(),
            next_job: 0,
            workers: Vec::new(),
            worker_ids: HashMap::new(),
            zones_out: HashSet::new(),
            allowed: HashMap::new(),
            charged: HashMap::new(),
            ready: BTreeSet::new(),
            dirty: HashSet::new(),
            dirty_workers: HashSet::new(),
            cleared: Vec::new(),
            outbox: Vec::new(),
            flight: None,
            actions: Vec::new(),
            schedule: true,
            fenced: false,
            short: false,
            typical: HashMap::new(),
        }
    }

    /// A task could have started in the last step but for its customer's limit.
    #[must_use]
    pub const fn short(&self) -> bool {
        self.short
    }

    /// Owner's epoch, the fencing token of its orders.
    #[must_use]
    pub const fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Takes one input; [`Self::step`] acts on it.
    pub fn apply(&mut self, now: Ms, wall: u64, input: Input) {
        self.now = self.now.max(now);
        self.wall = wall;
        match input {
            Input::Submit { ticket, spec } => self.submit(ticket, spec),
            Input::Cancel { ticket, id } => self.cancel(ticket, &id),
            Input::Roster(list) => self.list(list),
            Input::ZonesOut(zones) => self.zones_out = zones.into_iter().collect(),
            Input::Allowed(allowed) => self.allowed = allowed,
            Input::Looked { worker, sent, report } => self.looked(&worker, sent, &report),
            Input::LookFailed { worker, other, fenced } => self.look_failed(&worker, other, fenced),
            Input::Started { worker, name, run, reply } => self.started(&worker, &name, run, reply),
            Input::Stopped { worker, name, run } => self.stopped(&worker, &name, run),
            Input::Stored => self.stored(),
            Input::NotStored => self.not_stored(),
            Input::Cordon { worker, on } => self.cordon(&worker, on),
        }
        self.schedule = true;
    }

    /// Does what is due and returns what to do next. `may_start` is false while the ownership is not sure.
    pub fn step(&mut self, now: Ms, wall: u64, may_start: bool) -> Vec<Action> {
        self.now = self.now.max(now);
        self.wall = wall;
        if self.fenced {
            return vec![Action::Lost];
        }
        self.short = false;
        self.open_turns();
        self.lapse();
        self.forget_old();
        if may_start {
            self.send_starts();
            self.move_away();
            self.place_all();
        }
        if may_start {
            self.send_stops();
        }
        self.refuse_unsent();
        self.flush();
        if may_start {
            self.send_looks();
        }
        std::mem::take(&mut self.actions)
    }

    /// The log has not answered a batch for long.
    pub(crate) fn stalled(&self) -> bool {
        self.flight.as_ref().is_some_and(|f| self.now >= f.since + self.limits.stalled)
    }

    /// Refuses new jobs that have not been sent to the log while it is stalled: it is certain that they will
    /// not run, and their callers can try again.
    fn refuse_unsent(&mut self) {
        if !self.stalled() {
            return;
        }
        let sent = self.flight.as_ref().map(|f| f.new_jobs.clone()).unwrap_or_default();
        let unsent = |k: &&JobKey| !sent.contains(k) && self.jobs.get(k).is_some_and(|j| !j.stored);
        let keys: Vec<JobKey> = self.dirty.iter().filter(unsent).copied().collect();
        for key in keys {
            self.refuse(key);
        }
    }

    /// Sends one batch to the log if none is on its way.
    fn flush(&mut self) {
        if self.flight.is_some() {
            return;
        }
        if self.dirty.is_empty() && self.outbox.is_empty() && self.dirty_workers.is_empty() {
            self.acknowledge_all();
            return;
        }
        let extra = std::mem::take(&mut self.outbox);
        let mut flight = Flight { since: self.now, extra, ..Flight::default() };
        let mut records = flight.extra.clone();
        self.pack_jobs(&mut flight, &mut records);
        self.pack_workers(&mut flight, &mut records);
        if records.is_empty() {
            return;
        }
        self.flight = Some(flight);
        self.actions.push(Action::Append(records));
    }

    fn pack_jobs(&mut self, flight: &mut Flight, records: &mut Vec<Record>) {
        for key in std::mem::take(&mut self.dirty) {
            let Some(job) = self.jobs.get_mut(&key) else { continue };
            if job.stored {
                flight.jobs.push(key);
            } else {
                records.push(record::job(&job.spec));
                flight.new_jobs.push(key);
            }
            if job.stored || job.verdict != crate::Verdict::Open {
                records.push(record::progress(job));
            }
            flight.cancels.extend(job.cancels.drain(..).map(|t| (key, t)));
        }
    }

    /// Packs which runs may be on the workers that changed, and what ends have been seen.
    fn pack_workers(&mut self, flight: &mut Flight, records: &mut Vec<Record>) {
        for key in std::mem::take(&mut self.dirty_workers) {
            let worker = &self.workers[key as usize];
            let mut runs = Vec::with_capacity(worker.runs.len());
            for (task, run) in &worker.runs {
                let Some(name) = self.run_name(task) else { continue };
                runs.push(RunRecord { name: name.to_string(), run: run.number });
                if run.phase == RunPhase::Planned {
                    flight.starts.push((key, *task, run.number));
                }
            }
            flight.workers.push(key);
            if !runs.is_empty() || worker.recorded {
                records.push(record::worker(&worker.info.id, &worker.info.addr, runs));
                self.workers[key as usize].recorded = true;
            }
        }
        flight.ends = (0..).zip(&self.workers).map(|(key, w)| (key, w.born, w.ends_seen)).collect();
    }

    /// Nothing waits to be stored, so all ends that were seen may be acknowledged.
    fn acknowledge_all(&mut self) {
        for worker in &mut self.workers {
            worker.ends_stored = worker.ends_seen;
        }
    }

    /// The batch in flight is stored.
    fn stored(&mut self) {
        let Some(flight) = self.flight.take() else { return };
        for (key, born, seen) in flight.ends {
            let worker = &mut self.workers[key as usize];
            if worker.born == born {
                worker.ends_stored = worker.ends_stored.max(seen);
            }
        }
        self.cleared.extend(flight.starts);
        for key in flight.jobs.into_iter().chain(flight.new_jobs) {
            self.job_stored(key);
        }
        for (_, ticket) in flight.cancels {
            self.actions.push(Action::Cancelled(ticket));
        }
    }

    /// The batch in flight is surely not stored: new jobs are refused, the rest is stored later.
    fn not_stored(&mut self) {
        let Some(flight) = self.flight.take() else { return };
        for key in flight.new_jobs {
            self.refuse(key);
        }
        for (key, ticket) in flight.cancels {
            if let Some(job) = self.jobs.get_mut(&key) {
                job.cancels.push(ticket);
            }
        }
        self.dirty_workers.extend(flight.workers);
        self.dirty.extend(flight.jobs.into_iter().filter(|k| self.jobs.contains_key(k)));
        let newer = std::mem::replace(&mut self.outbox, flight.extra);
        self.outbox.extend(newer);
    }

    /// Sends a look to each worker that is due.
    fn send_looks(&mut self) {
        for worker in &mut self.workers {
            if worker.gone || worker.holding || self.now < worker.hold_at {
                continue;
            }
            let pending = worker.ends_seen > worker.ends_stored;
            // An unstored end would be listed again at once, so wait for the log, but not past the lease.
            let urgent = worker.lease_end < self.now + self.limits.lease_real() - self.limits.look;
            if pending && !urgent {
                continue;
            }
            worker.holding = true;
            let known = worker.contact == Contact::Good;
            let until = worker.clock_now(self.now).filter(|_| known).map(|c| c + self.limits.lease);
            if until.is_some() {
                worker.lease_end = self.now + self.limits.lease_real();
            }
            let wait = if !known || pending { 0 } else { self.limits.look };
            self.actions.push(Action::Look {
                worker: worker.info.id.clone(),
                addr: worker.info.addr.clone(),
                until,
                seen: worker.ends_stored,
                wait,
            });
        }
    }

    pub(crate) fn worker_key(&self, id: &str) -> Option<WorkerKey> {
        self.worker_ids.get(id).copied()
    }

    pub(crate) fn task_ref(&self, name: &crate::RunName) -> Option<TaskRef> {
        let &job = self.ids.get(&name.job)?;
        let at = StepRef { job, turn: name.turn, step: name.step };
        Some(TaskRef { at, index: name.index })
    }

    pub(crate) fn run_name(&self, task: &TaskRef) -> Option<crate::RunName> {
        let job = self.jobs.get(&task.at.job)?;
        Some(crate::RunName {
            job: job.spec.id.clone(),
            turn: task.at.turn,
            step: task.at.step,
            index: task.index,
        })
    }
}
