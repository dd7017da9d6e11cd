//! Copies of slow tasks: when a second run of a task starts, and where.
//!
//! Answers a load in which 3 tasks in 100 take 7 times as long as others, in steps of 8 tasks: one step in five has
//! such a task, and its job is late although capacity is free. Applies to steps with `speculative` only. A copy starts
//! in capacity that no waiting task could use, and a tenth of a service's capacity bounds what copies occupy at a time.
//!
//! [`decide`] is a pure function of what is known of one run. [`crate::copy_odds`] keeps what became of earlier copies,
//! and [`crate::second_run`] the state of tasks that have two runs.

use std::collections::{HashMap, HashSet};

use crate::Ms;
use crate::candidates::Pass;
use crate::copy_odds::{Advice, Answers, Kind, Stake, Tally};
use crate::job::{TaskRef, TaskState};
use crate::millis::{to_float, to_ms};
use crate::model::{Resources, StepSpec, Verdict};
use crate::second_run::CopyOutcome;
use crate::state::Shard;
use crate::worker::{Run, RunPhase, WorkerKey};

/// Pause between two looks for slow runs in milliseconds; a tenth of the second within which a straggler of 0.85 s work
/// has to be found would do, and half of it leaves room for the record and the start of the copy.
const SCAN_INTERVAL_MS: Ms = 50;
/// Longest wait of polls of workers with speculative runs in milliseconds. The objective of a step of 0.85 s leaves
/// 0.26 s after a run has taken that long until its copy has to start.
pub(crate) const COPY_POLL_MS: Ms = 250;
/// Part of a service's schedulable capacity that copies may occupy at a time: one in this many.
const BUDGET_DIVISOR: u64 = 10;
/// Expected remaining time, in durations of a fresh run, above which a copy starts. A copy costs a fresh run, and ends
/// no job earlier if it ends with the first one.
const MIN_GAIN: f64 = 1.5;
/// Time in durations of a fresh run after which a run counts as overdue though most of its step still runs.
const OVERDUE: f64 = 1.5;
/// The same for a run whose progress is unknown.
const SILENT_OVERDUE: f64 = 2.0;
/// Part of a fresh run's duration that progress has to cover before it tells the pace; it comes in whole percents.
const MIN_SAMPLE: f64 = 0.25;
/// How long a run may outlast the end that its progress promised, in durations of a fresh run.
const END_SLACK: f64 = 0.5;
/// Failures that must be left to a task, so that a failed copy does not fail a job whose first run goes on.
const MIN_ATTEMPTS: u32 = 2;
/// Progress from which a run that resumed from a checkpoint is left to finish.
const NEARLY_DONE_PERCENT: u32 = 80;
/// Copies of a task that one owner plans: one, and another if the start of the first did not take place.
pub(crate) const MAX_COPIES: u8 = 2;
/// Slow runs on a worker, if they are also half of those measured there, from which the worker itself counts as slow.
const SLOW_WORKER_RUNS: u32 = 2;

/// What is known of a run and its step.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Facts {
    /// Time since the run was planned, or found by this owner, in milliseconds.
    pub elapsed: Ms,
    /// Duration that a fresh run would have, in milliseconds; none while neither siblings nor the queue tell it.
    pub fresh: Option<f64>,
    /// Progress at the last report.
    pub percent: u32,
    /// Progress since the first report, and the time in milliseconds that it took until the last one.
    pub gained: (u32, Ms),
    /// Time since the last report in milliseconds.
    pub age: Ms,
    /// Tasks of the step: done, waiting, all.
    pub tasks: (u32, u32, u32),
    /// Failures after which the job fails.
    pub attempts_left: u32,
    /// The task has a checkpoint.
    pub resumed: bool,
}

/// Whether a copy of a run should start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Decision {
    /// It should, as far as there is room.
    Start(Slowness),
    /// The run goes on alone.
    Keep(Hold),
}

/// Why a run counts as slow.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Slowness {
    /// Its progress leaves this many milliseconds.
    Pace(f64),
    /// It is overdue, and its worker reports no progress.
    Silent,
}

/// Why a run goes on alone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Hold {
    /// Tasks of the step wait for a first run.
    TasksWait,
    /// A failed copy could fail the job.
    LastAttempts,
    /// Nothing tells how long a fresh run would take.
    NoMeasure,
    /// Most of the step still runs.
    StepRuns,
    /// A fresh run would hardly end earlier.
    OnPace,
}

/// Decides about a copy from what is known of the run.
pub(crate) fn decide(facts: &Facts) -> Decision {
    let (done, waiting, count) = facts.tasks;
    if waiting > 0 {
        return Decision::Keep(Hold::TasksWait);
    }
    if facts.attempts_left < MIN_ATTEMPTS {
        return Decision::Keep(Hold::LastAttempts);
    }
    let Some(fresh) = facts.fresh else { return Decision::Keep(Hold::NoMeasure) };
    let elapsed = to_float(facts.elapsed);
    if done < count.div_ceil(2).max(1) && elapsed < OVERDUE * fresh {
        return Decision::Keep(Hold::StepRuns);
    }
    if facts.resumed && facts.percent >= NEARLY_DONE_PERCENT {
        return Decision::Keep(Hold::OnPace);
    }
    match remaining(facts, fresh) {
        Some(left) if left > MIN_GAIN * fresh => Decision::Start(Slowness::Pace(left)),
        Some(left) if left >= -END_SLACK * fresh => Decision::Keep(Hold::OnPace),
        _ if elapsed >= SILENT_OVERDUE * fresh => Decision::Start(Slowness::Silent),
        _ => Decision::Keep(Hold::OnPace),
    }
}

/// Remaining time of a run in milliseconds by its own pace, negative if it should have ended; none while its progress
/// covers too little.
fn remaining(facts: &Facts, fresh: f64) -> Option<f64> {
    let (gained, took) = facts.gained;
    let took = to_float(took);
    if took < MIN_SAMPLE * fresh {
        return None;
    }
    // Percents are rounded down, so the run may have gained nearly one more.
    let pace = (f64::from(gained) + 1.0) / took;
    Some(f64::from(100_u32.saturating_sub(facts.percent)) / pace - to_float(facts.age))
}

/// A run that should get a copy.
struct Candidate {
    task: TaskRef,
    first: WorkerKey,
    facts: Facts,
    slowness: Slowness,
}

/// What one look at all speculative runs has found.
#[derive(Default)]
struct Scan {
    candidates: Vec<Candidate>,
    /// Reserved by second runs, by service.
    copies: HashMap<String, Resources>,
    /// Schedulable capacity, by service of the candidates. Summed up once, as all runs of a service can be slow.
    capacity: HashMap<String, Resources>,
    /// Workers on which several runs are slow.
    slow: HashSet<WorkerKey>,
    /// Copies in progress, by queue and kind.
    open: HashMap<(String, Kind), u32>,
    /// Last answers of workers by service, if a run is silent.
    heard: HashMap<String, Answers>,
}

/// A candidate's copy, weighed by the record of its queue and kind.
struct Weighed {
    queue: String,
    kind: Kind,
    stake: Stake,
    tally: Tally,
    /// Copies of the same queue and kind in progress.
    open: u32,
    advice: Advice,
}

impl StepSpec {
    /// Whether a task of the step may have two runs at a time.
    pub(crate) const fn copies_allowed(&self) -> bool {
        self.speculative && !self.gang && !self.long_running && !self.best_effort
    }
}

impl Shard {
    /// Starts copies of slow runs in the room that a placement pass has left.
    pub(crate) fn start_copies(&mut self, pass: Option<Pass>) {
        if self.now < self.copies_due || self.backlogged() || self.log_stalled() {
            return;
        }
        self.copies_due = self.now + SCAN_INTERVAL_MS;
        let mut scan = self.scan_runs();
        if scan.candidates.is_empty() {
            return;
        }
        let mut pass = pass.unwrap_or_else(|| self.placement_pass());
        let left = |c: &Candidate| match c.slowness {
            Slowness::Pace(left) => left,
            Slowness::Silent => f64::INFINITY,
        };
        let mut candidates = std::mem::take(&mut scan.candidates);
        candidates.sort_by(|a, b| left(b).total_cmp(&left(a)).then(a.task.cmp(&b.task)));
        for candidate in &candidates {
            self.start_copy(candidate, &mut scan, &mut pass);
        }
    }

    /// Looks at all runs of speculative steps.
    fn scan_runs(&self) -> Scan {
        let mut scan = Scan::default();
        for (key, worker) in self.workers.iter() {
            let (mut measured, mut slow) = (0, 0);
            for (task, run) in worker.runs.iter().filter(|(_, r)| r.copies_allowed) {
                let Some(job) = self.jobs.get(&task.step_ref.job) else { continue };
                let entry = self.task(task).filter(|_| job.verdict == Verdict::Open);
                if entry.is_none_or(|t| t.state != TaskState::Placed(key)) {
                    *scan.copies.entry(job.spec.service.clone()).or_default() += run.reserved;
                    if let Some(kind) = entry.filter(|t| t.copy == Some(key)).and_then(|t| t.copy_kind) {
                        *scan.open.entry((job.spec.queue.clone(), kind)).or_default() += 1;
                    }
                    continue;
                }
                let Some(facts) = self.run_facts(task, run) else { continue };
                let left = facts.fresh.and_then(|fresh| Some((remaining(&facts, fresh)?, fresh)));
                measured += u32::from(left.is_some());
                slow += u32::from(left.is_some_and(|(left, fresh)| left > MIN_GAIN * fresh));
                if entry.is_some_and(|t| t.copy.is_none() && t.copies < MAX_COPIES)
                    && let Decision::Start(slowness) = decide(&facts)
                {
                    scan.candidates.push(Candidate { task: *task, first: key, facts, slowness });
                }
            }
            if slow >= SLOW_WORKER_RUNS && slow * 2 >= measured {
                scan.slow.insert(key);
            }
        }
        if scan.candidates.iter().any(|c| c.slowness == Slowness::Silent) {
            scan.heard = self.answers();
        }
        scan
    }

    /// What is known of a run; none if it is not in progress.
    fn run_facts(&self, task: &TaskRef, run: &Run) -> Option<Facts> {
        if !matches!(run.phase, RunPhase::Running(_) | RunPhase::Unconfirmed(_) | RunPhase::Inherited) {
            return None;
        }
        let job = self.jobs.get(&task.step_ref.job)?;
        let step = job.occurrence(task.step_ref.occurrence)?.steps.get(task.step_ref.step as usize)?;
        let entry = step.tasks.get(task.index as usize)?;
        let count = u32::try_from(step.tasks.len()).ok()?;
        let (percent, since) = run.basis.unwrap_or((run.progress_percent, run.reported_at));
        Some(Facts {
            elapsed: self.now.saturating_sub(run.planned_at),
            fresh: step.mean_duration().or_else(|| self.average_durations.get(&job.spec.queue).copied()),
            percent: run.progress_percent,
            gained: (run.progress_percent.saturating_sub(percent), run.reported_at.saturating_sub(since)),
            age: self.now.saturating_sub(run.reported_at),
            tasks: (step.done_count, step.waiting_count, count),
            attempts_left: job.spec.max_attempts.max(1).saturating_sub(entry.failures),
            resumed: !entry.checkpoint.is_empty(),
        })
    }

    /// When the workers of each service last answered.
    fn answers(&self) -> HashMap<String, Answers> {
        let mut answers: HashMap<String, Answers> = HashMap::new();
        for worker in self.workers.values().filter(|w| !w.runs.is_empty() || (w.listed && !w.removed)) {
            let of_service = answers.entry(worker.info.service.clone()).or_default();
            of_service.note(worker.answered_at(), !worker.runs.is_empty());
        }
        answers
    }

    /// Whether the worker of a silent run is silent itself, while other workers of its service answer.
    fn hears_others(&self, first: WorkerKey, scan: &Scan) -> bool {
        let Some(worker) = self.workers.get(first) else { return false };
        // The poll in progress may be an earlier, longer one.
        let poll = worker.poll_wait.max(COPY_POLL_MS);
        let answered = worker.answered_at();
        let answers = scan.heard.get(&worker.info.service);
        answers.is_some_and(|a| a.only_worker_silent(self.now, answered, poll))
    }

    /// Weighs the copy of a candidate by the record of its queue and kind.
    fn weigh(&self, candidate: &Candidate, scan: &Scan) -> Option<Weighed> {
        let Candidate { task, first, facts, slowness } = candidate;
        let queue = self.jobs.get(&task.step_ref.job)?.spec.queue.clone();
        let kind = Kind::new(*slowness, scan.slow.contains(first));
        let left = match slowness {
            Slowness::Pace(left) => *left,
            // Its end is unknown: by what it has taken already, or after its lease, by a fresh run.
            Slowness::Silent => {
                let lease = self.workers.get(*first)?.lease_left(&self.timing, self.now);
                to_float(facts.elapsed).max(to_float(lease) + facts.fresh?)
            }
        };
        let (stake, tally) = (Stake { fresh: facts.fresh?, left }, self.copy_odds.tally(&queue, kind));
        let open = scan.open.get(&(queue.clone(), kind)).copied().unwrap_or(0);
        let advice = tally.advise(stake, open, self.task(task)?.declined);
        Some(Weighed { queue, kind, stake, tally, open, advice })
    }

    /// Counts a candidate that a record is against, once.
    fn turn_down(&mut self, task: &TaskRef, weighed: &Weighed) {
        if self.task(task).is_none_or(|t| t.declined) {
            return;
        }
        self.with_task(task, |t| t.declined = true);
        self.copy_odds.tally_mut(&weighed.queue, weighed.kind).declined += 1;
    }

    /// Starts a copy if odds, budget, quota and workers allow it.
    fn start_copy(&mut self, candidate: &Candidate, scan: &mut Scan, pass: &mut Pass) {
        let Candidate { task, first, facts, slowness } = candidate;
        if *slowness == Slowness::Silent && !self.hears_others(*first, scan) {
            return;
        }
        let Some(weighed) = self.weigh(candidate, scan) else { return };
        if weighed.advice == Advice::TurnDown {
            self.turn_down(task, &weighed);
        }
        if !matches!(weighed.advice, Advice::Start | Advice::Probe) {
            return;
        }
        let Some(job) = self.jobs.get(&task.step_ref.job) else { return };
        let Some(spec) = job.spec.steps.get(task.step_ref.step as usize).cloned() else { return };
        let (service, tenant) = (job.spec.service.clone(), job.spec.tenant.clone());
        let used = scan.copies.get(&service).copied().unwrap_or_default();
        let capacity = scan.capacity.entry(service.clone());
        let capacity = *capacity.or_insert_with(|| self.schedulable_capacity(&service));
        if pass.is_short(&service)
            || !(used + spec.reservation()).times(BUDGET_DIVISOR).fits(&capacity)
            || self.quota_shortages.contains_key(&tenant)
            || !self.within_quota(task, &spec)
        {
            return;
        }
        let Some(key) = self.choose_copy_worker(task, &spec, *first, &scan.slow, pass) else { return };
        let Some(number) = self.add_run(*task, key) else { return };
        self.with_task(task, |t| {
            (t.copy, t.copies, t.copy_kind) = (Some(key), t.copies + 1, Some(weighed.kind));
        });
        if weighed.advice == Advice::Probe {
            self.copy_odds.tally_mut(&weighed.queue, weighed.kind).declined = 0;
        }
        pass.refresh(key, &self.workers[key]);
        *scan.copies.entry(service).or_default() += spec.reservation();
        *scan.open.entry((weighed.queue, weighed.kind)).or_default() += 1;
        self.copy_outcomes.push(CopyOutcome::Started);
        tracing::info!(
            task = self.task_id(task).map(|n| n.to_string()),
            run = number,
            first = %self.workers[*first].info.id,
            worker = %self.workers[key].info.id,
            elapsed = facts.elapsed,
            percent = facts.percent,
            age = facts.age,
            fresh = facts.fresh.map(to_ms),
            why = ?slowness,
            slow_worker = scan.slow.contains(first),
            won = weighed.tally.won,
            lost = weighed.tally.lost,
            open = weighed.open,
            odds = weighed.tally.odds(weighed.open),
            least = weighed.stake.least_odds(),
            advice = ?weighed.advice,
            used = used.cpu,
            budget = capacity.cpu / BUDGET_DIVISOR,
            "shard: copy planned"
        );
    }

    /// Capacity of a service's workers that can take tasks.
    fn schedulable_capacity(&self, service: &str) -> Resources {
        let usable = self.workers.values().filter(|w| {
            w.info.service == service && w.schedulable(self.now) && !self.zones_out.contains(&w.info.zone)
        });
        usable.fold(Resources::default(), |sum, w| sum + w.info.capacity)
    }

    /// Chooses a worker for a copy as for any task, but none on which the task failed, that has a run of it, or that is
    /// slow itself. If the first run's worker is slow, another rack goes first.
    fn choose_copy_worker(
        &self,
        task: &TaskRef,
        spec: &StepSpec,
        first: WorkerKey,
        slow: &HashSet<WorkerKey>,
        pass: &Pass,
    ) -> Option<WorkerKey> {
        let job = self.jobs.get(&task.step_ref.job)?;
        let avoided = &self.task(task)?.avoided_workers;
        let candidates = pass.candidates(&job.spec.service)?;
        let rack = &self.workers.get(first)?.rack;
        let reservation = spec.reservation();
        let suits = |key: &WorkerKey| {
            *key != first
                && !slow.contains(key)
                && !avoided.contains(key)
                && !pass.reserved.contains(key)
                && reservation.fits(&self.workers[*key].available())
                && self.eligible(*key, &task.step_ref, spec, &job.spec.service)
                && !self.probe_in_progress(*key)
        };
        let anywhere = || candidates.tightest(reservation.cpu);
        let elsewhere = |key: &WorkerKey| self.workers[*key].rack != *rack && suits(key);
        let other_rack = if slow.contains(&first) { anywhere().find(elsewhere) } else { None };
        let preferred = || candidates.tightest_in_rack(&spec.preferred_rack, reservation.cpu).find(suits);
        let chosen = other_rack.or_else(preferred).or_else(|| anywhere().find(suits))?;
        // A third run, which is being stopped, may still be on some worker. Looked for last, as it takes all workers.
        let third = self.workers.iter().any(|(key, w)| key != first && w.runs.contains_key(task));
        (!third).then_some(chosen)
    }
}
