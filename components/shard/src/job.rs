//! Jobs, their occurrences, steps and tasks.

use crate::Ms;
use crate::copy_odds::Kind;
use crate::model::{JobSpec, Verdict};
use crate::ranges::Ranges;
use crate::record::{OccurrenceProgress, Progress, StepProgress, TaskFailures};
use crate::worker::WorkerKey;

/// Tasks of a repeated job in progress at which no further occurrence becomes active.
const MAX_ACTIVE_TASKS: usize = 20_000;
/// Occurrences of a job in progress at which no further one becomes active.
const MAX_ACTIVE_OCCURRENCES: usize = 1_000;

/// Completed occurrences up to which the log lists them one by one, the only form that versions before ranges read.
const MAX_LISTED_OCCURRENCES: u64 = 64;

/// Failed runs of a task that are told from new ones by their numbers, besides the highest. Workers' records name two runs
/// of a task at a time, and one more that has lost.
const MAX_LOWER_RUNS: usize = 3;

/// Internal key of a job.
pub(crate) type JobKey = u32;

/// Refers to a step of an occurrence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct StepRef {
    pub job: JobKey,
    pub occurrence: u32,
    pub step: u32,
}

/// Refers to a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct TaskRef {
    pub step_ref: StepRef,
    pub index: u32,
}

/// Scheduling state of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TaskState {
    /// Waiting for a worker.
    Waiting,
    /// Assigned to a worker, which may run it already.
    Placed(WorkerKey),
    /// Completed.
    Done,
}

/// A task of a step.
#[derive(Debug)]
pub(crate) struct Task {
    pub state: TaskState,
    /// Worker of a second run of a placed task, whose step allows copies.
    pub copy: Option<WorkerKey>,
    /// Copies of it that this owner has planned.
    pub copies: u8,
    /// What its copy was started for; none for one of an earlier owner.
    pub copy_kind: Option<Kind>,
    /// Counted among the candidates for a copy that a record turned down.
    pub declined: bool,
    /// Highest run number in use so far.
    pub last_run: u32,
    /// Number of failed runs.
    pub failures: u32,
    /// Highest run number counted in `failures`.
    pub last_failed_run: u32,
    /// Lower run numbers that were counted, the latest first, if its step allows copies; 0 for none.
    pub lower_failed_runs: [u32; MAX_LOWER_RUNS],
    /// Newest checkpoint; empty if none.
    pub checkpoint: String,
    /// Workers on which a run of it failed or made no progress.
    pub avoided_workers: Vec<WorkerKey>,
    /// Earliest start.
    pub not_before: Ms,
    pub bound: Option<Bound>,
    /// When no start of its earlier runs can be on its way any more.
    pub late_until: Ms,
}

/// Worker that a start request for an earlier run of a task may still reach.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Bound {
    pub worker: WorkerKey,
    /// When no such request can be left.
    pub until: Ms,
    /// A request is known to have gone without an answer.
    pub unanswered: bool,
}

/// A step of an occurrence.
#[derive(Debug)]
pub(crate) struct Step {
    pub tasks: Vec<Task>,
    pub done_count: u32,
    pub waiting_count: u32,
    /// Sum of the measured durations of its tasks in milliseconds; only if copies are allowed.
    pub took: f64,
    /// Number of tasks in `took`.
    pub measured: u32,
}

/// One execution of a job: a repeated job has several.
#[derive(Debug)]
pub(crate) struct Occurrence {
    pub number: u32,
    pub steps: Vec<Step>,
    /// When it became due, on the monotonic clock.
    pub due_at: Ms,
}

/// A job and its progress.
#[derive(Debug)]
pub(crate) struct Job {
    pub spec: JobSpec,
    /// Occurrences in progress.
    pub occurrences: Vec<Occurrence>,
    /// Numbers of the completed occurrences.
    pub completed: Ranges,
    /// Number from which on occurrences may be neither active nor completed. An owner looks from the first one on, as
    /// the log does not tell which occurrences were active.
    pub next_occurrence: u32,
    pub verdict: Verdict,
    /// Verdict that the log has stored. Callers see only this one.
    pub stored_verdict: Verdict,
    /// The log holds the job.
    pub stored: bool,
    /// Wall clock at its end, in milliseconds since the Unix epoch.
    pub ended_at: u64,
    /// When it was accepted, on the monotonic clock.
    pub queued_since: Ms,
    /// A start of one of its tasks has been sent.
    pub started: bool,
    /// A run of it is known to have begun; a start without an answer may not have been carried out.
    pub begun: bool,
    /// It was refused before and returned at the time that it was given.
    pub promised: bool,
    /// Expected work of the job of its queue that came before it, in thousandths of a core times milliseconds.
    pub other_size: f64,
    /// A placement pass has deferred it.
    pub deferred: bool,
    /// Submissions to answer once the job is stored.
    pub submit_requests: Vec<u64>,
    /// Cancellations to answer once the verdict is stored.
    pub cancel_requests: Vec<u64>,
}

impl Job {
    pub fn new(spec: JobSpec, queued_since: Ms) -> Self {
        Self {
            spec,
            occurrences: Vec::new(),
            completed: Ranges::default(),
            next_occurrence: 0,
            verdict: Verdict::Open,
            stored_verdict: Verdict::Open,
            stored: false,
            ended_at: 0,
            queued_since,
            started: false,
            begun: false,
            promised: false,
            other_size: 0.0,
            deferred: false,
            submit_requests: Vec::new(),
            cancel_requests: Vec::new(),
        }
    }

    pub fn occurrence(&self, number: u32) -> Option<&Occurrence> {
        self.occurrences.iter().find(|o| o.number == number)
    }

    pub fn occurrence_mut(&mut self, number: u32) -> Option<&mut Occurrence> {
        self.occurrences.iter_mut().find(|o| o.number == number)
    }

    /// Lowest occurrence from `from` on that is neither active nor completed.
    pub fn next_inactive(&self, from: u32) -> u32 {
        let mut number = self.completed.next_gap(from);
        while self.occurrence(number).is_some() {
            number = self.completed.next_gap(number + 1);
        }
        number
    }

    /// Number of occurrences.
    pub fn occurrence_count(&self) -> u32 {
        self.spec.repeat.map_or(1, |r| r.count)
    }

    /// Most occurrences in progress at a time. Those of a job whose interval is shorter than its work, or 0, wait
    /// for earlier ones, so that no job fills the memory of its owner.
    pub fn max_active_occurrences(&self) -> usize {
        let tasks: usize = self.spec.steps.iter().map(|s| s.count as usize).sum();
        (MAX_ACTIVE_TASKS / tasks.max(1)).clamp(1, MAX_ACTIVE_OCCURRENCES)
    }

    /// Progress in the form that the log stores.
    pub fn progress(&self) -> Progress {
        let listed = self.completed.count() <= MAX_LISTED_OCCURRENCES;
        let complete = |occurrence| OccurrenceProgress { occurrence, complete: true, steps: Vec::new() };
        let mut occurrences: Vec<OccurrenceProgress> = Vec::new();
        let mut completed = Vec::new();
        if listed {
            occurrences.extend(self.completed.numbers().map(complete));
        } else {
            completed.extend(self.completed.ranges());
        }
        if self.verdict == Verdict::Open {
            occurrences.extend(self.occurrences.iter().map(Occurrence::progress));
        }
        Progress { verdict: self.verdict as i32, ended_at: self.ended_at, occurrences, completed }
    }
}

impl Occurrence {
    pub fn new(spec: &JobSpec, number: u32, due_at: Ms) -> Self {
        let steps = spec.steps.iter().map(|s| Step::new(s.count)).collect();
        Self { number, steps, due_at }
    }

    /// Whether all dependencies of `step` are complete.
    pub fn dependencies_met(&self, spec: &JobSpec, step: u32) -> bool {
        let required = spec.steps.get(step as usize).map_or(&[][..], |s| &s.depends_on);
        required.iter().all(|&a| self.steps.get(a as usize).is_none_or(Step::complete))
    }

    pub fn complete(&self) -> bool {
        self.steps.iter().all(Step::complete)
    }

    fn progress(&self) -> OccurrenceProgress {
        let steps = self.steps.iter().map(Step::progress).collect();
        OccurrenceProgress { occurrence: self.number, complete: false, steps }
    }
}

impl Task {
    /// Lets it start on this worker only if no other takes it.
    pub fn avoid(&mut self, key: WorkerKey) {
        if !self.avoided_workers.contains(&key) {
            self.avoided_workers.push(key);
        }
    }

    /// Counts the failure of a run; returns false if it was counted before. If copies are allowed, a `current` run, one in
    /// its worker's table, may have a lower number than one that was counted.
    pub fn count_failure(&mut self, run: u32, copies_allowed: bool, current: bool) -> bool {
        let unknown_lower = run < self.last_failed_run && !self.lower_failed_runs.contains(&run);
        if run > self.last_failed_run {
            if copies_allowed && self.last_failed_run > 0 {
                self.note_lower_run(self.last_failed_run);
            }
            self.last_failed_run = run;
        } else if copies_allowed && current && unknown_lower {
            self.note_lower_run(run);
        } else {
            return false;
        }
        self.failures += 1;
        true
    }

    fn note_lower_run(&mut self, run: u32) {
        self.lower_failed_runs.rotate_right(1);
        self.lower_failed_runs[0] = run;
    }
}

impl Step {
    fn new(count: u32) -> Self {
        let task = || Task {
            state: TaskState::Waiting,
            copy: None,
            copies: 0,
            copy_kind: None,
            declined: false,
            last_run: 0,
            failures: 0,
            last_failed_run: 0,
            lower_failed_runs: [0; MAX_LOWER_RUNS],
            checkpoint: String::new(),
            avoided_workers: Vec::new(),
            not_before: 0,
            bound: None,
            late_until: 0,
        };
        let tasks = (0..count).map(|_| task()).collect();
        Self { tasks, done_count: 0, waiting_count: count, took: 0.0, measured: 0 }
    }

    pub fn complete(&self) -> bool {
        self.done_count as usize == self.tasks.len()
    }

    /// Sets the state of a task and updates the counters.
    pub fn set_state(&mut self, index: u32, state: TaskState) {
        let Some(task) = self.tasks.get_mut(index as usize) else { return };
        self.waiting_count -= u32::from(task.state == TaskState::Waiting);
        self.done_count -= u32::from(task.state == TaskState::Done);
        task.state = state;
        if !matches!(state, TaskState::Placed(_)) {
            task.copy = None;
        }
        self.waiting_count += u32::from(state == TaskState::Waiting);
        self.done_count += u32::from(state == TaskState::Done);
    }

    fn progress(&self) -> StepProgress {
        let mut done = vec![0_u8; self.tasks.len().div_ceil(8)];
        let mut failures = Vec::new();
        for (i, task) in self.tasks.iter().enumerate() {
            if task.state == TaskState::Done {
                done[i / 8] |= 1 << (i % 8);
            }
            if task.failures > 0 {
                let index = u32::try_from(i).unwrap_or(u32::MAX);
                failures.push(TaskFailures {
                    index,
                    count: task.failures,
                    last_failed_run: task.last_failed_run,
                    lower_failed_runs: task.lower_failed_runs.into_iter().filter(|r| *r > 0).collect(),
                });
            }
        }
        StepProgress { done, failures }
    }

    pub fn restore_progress(&mut self, stored: &StepProgress) {
        for index in 0..u32::try_from(self.tasks.len()).unwrap_or(u32::MAX) {
            let byte = stored.done.get(index as usize / 8).copied().unwrap_or(0);
            if byte & (1 << (index % 8)) != 0 {
                self.set_state(index, TaskState::Done);
            }
        }
        for failure in &stored.failures {
            if let Some(task) = self.tasks.get_mut(failure.index as usize) {
                task.failures = failure.count;
                task.last_failed_run = failure.last_failed_run;
                for (slot, run) in task.lower_failed_runs.iter_mut().zip(&failure.lower_failed_runs) {
                    *slot = *run;
                }
                task.last_run = task.last_run.max(failure.last_failed_run);
            }
        }
    }
}
