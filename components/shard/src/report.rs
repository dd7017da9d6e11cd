//! Replies of workers: reconciles the shard's tables with the runs that workers report.

use std::collections::HashSet;

use crate::Ms;
use crate::job::{TaskRef, TaskState};
use crate::model::TaskId;
use crate::state::Shard;
use crate::worker::{Fence, Reachability, Run, RunPhase, StopCause, UNKNOWN_TRIES, WorkerKey};

/// Fencing tokens that silences of a worker leave to its restarts, of the 47 in a generation of the group.
const TOKENS_FOR_RESTARTS: u64 = 24;

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// It completed its work.
    Done,
    /// It failed, because of the task or the worker.
    Failed,
    /// It was stopped, its lease expired, or other members of its gang were missing.
    Interrupted,
}

/// A run on a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunStatus {
    /// Task.
    pub task_id: TaskId,
    /// Run number.
    pub run: u32,
    /// Newest checkpoint; empty if none.
    pub checkpoint: String,
    /// Progress in percent; 100 for a long-running task that is in service.
    pub progress_percent: u32,
    /// Tail latency in milliseconds of a task that serves users, else its processor use.
    pub metric: u64,
}

/// The end of a run on a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunEnd {
    /// Sequence number of the end within the worker's incarnation.
    pub sequence: u64,
    /// Task.
    pub task_id: TaskId,
    /// Run number.
    pub run: u32,
    /// Outcome.
    pub outcome: RunOutcome,
    /// Newest checkpoint; empty if none.
    pub checkpoint: String,
}

/// Answer of a worker to a poll.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WorkerReport {
    /// Start time of the worker's incarnation, in milliseconds since the Unix epoch.
    pub incarnation: u64,
    /// Worker's clock in milliseconds.
    pub clock: u64,
    /// Runs on the worker.
    pub running: Vec<RunStatus>,
    /// Ends that are not acknowledged yet.
    pub ended: Vec<RunEnd>,
    /// Further ends may follow once these are acknowledged.
    pub more_ends: bool,
}

impl Shard {
    pub(crate) fn poll_answered(&mut self, id: &str, sent: Ms, report: &WorkerReport) {
        let Some(key) = self.worker_key(id) else { return };
        self.record_contact(key, sent, report);
        for end in &report.ended {
            self.run_ended(key, end);
        }
        self.reconcile(key, sent, report);
        self.adjust_speed(key);
        self.stop_stalled_runs(key);
    }

    /// Updates a worker's incarnation, clock and reachability.
    fn record_contact(&mut self, key: WorkerKey, sent: Ms, report: &WorkerReport) {
        let restarted = {
            let worker = &self.workers[key];
            worker.incarnation != 0 && worker.incarnation != report.incarnation
        };
        let renewed = self.workers[key].fence == Fence::Renewed;
        if restarted {
            self.log_restart(key, report);
            self.drop_planned_at(key);
            if !renewed {
                self.raise_token(key);
            }
            // A later owner must not wait for the runs of the earlier incarnation.
            self.dirty_workers.insert(key);
        }
        let (now, longest_lease) = (self.now, self.timing.longest_lease());
        let worker = &mut self.workers[key];
        let met = restarted || worker.incarnation == 0;
        if restarted {
            worker.outdated = worker.incarnation;
        } else if sent >= worker.listed_at && worker.info.incarnation != report.incarnation {
            worker.outdated = worker.info.incarnation;
        }
        if met {
            worker.incarnation = report.incarnation;
            worker.ends_seen = 0;
            worker.ends_known = restarted;
            worker.ends_stored = 0;
            worker.held_ends.clear();
            worker.ends_acked = 0;
            worker.lease_end = 0;
        } else {
            worker.ends_acked = worker.ends_acked.max(worker.poll_acked);
        }
        let confirmed = !restarted && worker.fence == Fence::Raised;
        if confirmed || renewed {
            worker.fence = Fence::Up;
        }
        if met || confirmed {
            worker.stray_lease_end = now + longest_lease;
        }
        worker.reachability = Reachability::Reachable;
        worker.first_contact.get_or_insert(now);
        worker.removed = false;
        worker.lease_noted_at = now;
        if worker.lease_noted {
            self.dirty_workers.insert(key);
        }
        worker.clock = Some((report.clock, now));
        worker.polling = false;
        worker.poll_at = now;
    }

    /// Logs a restart with the clocks of both incarnations, and the runs whose starts have not been answered.
    fn log_restart(&self, key: WorkerKey, report: &WorkerReport) {
        let worker = &self.workers[key];
        let unanswered = |r: &&Run| matches!(r.phase, RunPhase::Sent | RunPhase::Unconfirmed(_));
        tracing::info!(
            worker = %worker.info.id,
            incarnation = report.incarnation,
            clock = report.clock,
            earlier_incarnation = worker.incarnation,
            earlier_clock = worker.estimated_clock(self.now),
            acknowledged = worker.ends_stored,
            runs = worker.runs.len(),
            unanswered = worker.runs.values().filter(unanswered).count(),
            "shard: worker restarted"
        );
    }

    /// Raises the fencing token of a worker that has restarted, so that calls for its earlier incarnation are refused
    /// from the first call under the new token on.
    fn raise_token(&mut self, key: WorkerKey) {
        let worker = &mut self.workers[key];
        if worker.token < self.tokens.limit {
            worker.token += 1;
            worker.fence = Fence::Raised;
            self.tokens.last = self.tokens.last.max(worker.token);
        } else {
            worker.fence = Fence::Missing;
            tracing::warn!(worker = %worker.info.id, token = worker.token, "shard: worker gets no starts from this owner, it restarted too often");
        }
    }

    /// Raises the fencing token of a silent worker that may carry out calls late, so that its next answer bars them,
    /// whichever incarnation gives it.
    fn renew_token(&mut self, key: WorkerKey) {
        let worker = &mut self.workers[key];
        let in_flight = worker.runs.values().any(|r| r.phase == RunPhase::Sent);
        let late_calls = in_flight || worker.poll_acked > 0 || self.now < worker.late_until;
        let spare = worker.token.saturating_add(TOKENS_FOR_RESTARTS) < self.tokens.limit;
        if worker.fence == Fence::Up && late_calls && spare {
            worker.token += 1;
            worker.fence = Fence::Renewed;
            self.tokens.last = self.tokens.last.max(worker.token);
            tracing::info!(worker = %worker.info.id, token = worker.token, incarnation = worker.incarnation, "shard: token raised for a silent worker");
        }
    }

    /// Drops the runs of a worker whose start requests have not been sent.
    fn drop_planned_at(&mut self, key: WorkerKey) {
        let planned = self.workers[key].runs.iter().filter(|(_, r)| r.phase == RunPhase::Planned);
        let tasks: Vec<TaskRef> = planned.map(|(task, _)| *task).collect();
        for task in tasks {
            self.drop_unstarted_run(key, task);
        }
    }

    /// Compares the runs that a worker reports with those in its table. Runs that are missing are lost, unless their
    /// ends may follow, or their starts may still reach the worker: a restarted one, too.
    fn reconcile(&mut self, key: WorkerKey, sent: Ms, report: &WorkerReport) {
        self.workers[key].unknown_runs.clear();
        let mut reported: Vec<(TaskRef, &RunStatus)> = Vec::with_capacity(report.running.len());
        for status in &report.running {
            match self.task_ref(&status.task_id).filter(|t| self.knows_task(t)) {
                Some(task) => reported.push((task, status)),
                None => self.workers[key].unknown_runs.push((status.task_id.clone(), status.run)),
            }
        }
        if !report.more_ends {
            let listed = reported.iter().map(|(task, status)| (*task, status.run)).collect();
            self.drop_missing_runs(key, sent, &listed);
        }
        for (task, status) in reported {
            self.observe_run(key, task, sent, status);
        }
    }

    /// Drops the runs that are missing in a worker's report, and follows up starts that it does not show.
    fn drop_missing_runs(&mut self, key: WorkerKey, sent: Ms, listed: &HashSet<(TaskRef, u32)>) {
        let (now, timing) = (self.now, self.timing);
        let incarnation = self.workers[key].incarnation;
        let (mut lost, mut inherited, mut unanswered) = (Vec::new(), Vec::new(), Vec::new());
        for (task, run) in &mut self.workers[key].runs {
            if listed.contains(&(*task, run.number)) {
                continue;
            }
            match run.phase {
                RunPhase::Running(at) | RunPhase::Stopped(at) if at < sent => lost.push((*task, run.number)),
                RunPhase::Inherited => inherited.push((*task, run.number)),
                RunPhase::Unconfirmed(at) if at < sent => unanswered.push(*task),
                RunPhase::Stopping if now >= run.stop_sent_at + timing.stop_interval => run.absent_at = now,
                _ => {}
            }
        }
        for task in unanswered {
            // Another run of the task has to end there first.
            if !listed.iter().any(|(t, _)| *t == task) {
                self.follow_up_start(key, task);
            }
        }
        for (task, run) in inherited {
            if !self.expect_inherited_start(key, &task) {
                lost.push((task, run));
            }
        }
        for (task, run) in lost {
            let task_id = self.task_id(&task).map(|n| n.to_string());
            tracing::info!(worker = %self.workers[key].info.id, task = task_id, run, incarnation, "shard: run disappeared without reporting its end");
            self.remove_run(key, &task);
            self.note_removed_run(key, &task);
            self.requeue(task, now);
        }
    }

    /// Treats the start of an inherited run that its worker does not show like one that went without an answer, so that it
    /// is sent again under its number; false if the run is lost. This incarnation refuses the start of the earlier owner,
    /// as the poll carried a higher fencing token, but the next one may carry it out.
    fn expect_inherited_start(&mut self, key: WorkerKey, task: &TaskRef) -> bool {
        if self.task_state(task) != Some(TaskState::Placed(key)) {
            return false;
        }
        let now = self.now;
        let Some(run) = self.workers[key].runs.get_mut(task).filter(|r| !r.copies_allowed) else {
            return false;
        };
        run.phase = RunPhase::Unconfirmed(now);
        run.unanswered_at = now;
        run.tries = UNKNOWN_TRIES;
        self.dirty_workers.insert(key);
        true
    }

    /// Whether a run of the task can be on a worker. A job that is not stored yet has sent no start.
    pub(crate) fn knows_task(&self, task: &TaskRef) -> bool {
        let Some(job) = self.jobs.get(&task.step_ref.job).filter(|j| j.stored) else { return false };
        let step = job.spec.steps.get(task.step_ref.step as usize);
        step.is_some_and(|s| task.index < s.count)
    }

    /// Updates a run from a report; adopts it if it is not in the worker's table.
    fn observe_run(&mut self, key: WorkerKey, task: TaskRef, sent: Ms, status: &RunStatus) {
        let now = self.now;
        let known = self.workers[key].runs.get(&task).map(|r| r.number);
        if known.is_none_or(|n| n < status.run) {
            self.adopt_run(key, task, status.run);
        }
        let (state, timing) = (self.task_state(&task), self.timing);
        let done = state == Some(TaskState::Done);
        let Some(run) = self.workers[key].runs.get_mut(&task) else { return };
        if run.number != status.run {
            self.workers[key].unknown_runs.push((status.task_id.clone(), status.run));
            return;
        }
        let begun = matches!(run.phase, RunPhase::Sent | RunPhase::Unconfirmed(_) | RunPhase::Inherited)
            && run.stop_sent_at == 0;
        // The start was carried out after all, before a stop that has not been answered either.
        let shown = run.phase == RunPhase::Stopping
            && run.stop_cause == StopCause::Unanswered
            && sent >= run.stop_sent_at + timing.request_timeout;
        let kept = shown && state == Some(TaskState::Placed(key));
        if shown && !kept {
            run.stop_cause = StopCause::Superseded;
        }
        if let Some(job) = self.jobs.get_mut(&task.step_ref.job) {
            job.begun = true;
        }
        if begun || kept {
            run.phase = RunPhase::Running(now);
            run.stop_cause = StopCause::None;
            run.note_begun();
            run.progressed_at = now;
            if done {
                run.stop(StopCause::Superseded);
            }
        }
        if status.progress_percent != run.progress_percent {
            run.progress_percent = status.progress_percent;
            run.progressed_at = now;
        }
        run.reported_at = now;
        run.basis.get_or_insert((status.progress_percent, now));
        run.metric = status.metric;
        self.note_checkpoint(&task, &status.checkpoint);
    }

    /// Adds a run found on a worker to its table, and decides whether it may go on.
    fn adopt_run(&mut self, key: WorkerKey, task: TaskRef, number: u32) {
        let Some(mut run) = self.new_run(&task, number) else { return };
        run.phase = RunPhase::Running(self.now);
        let ended = self.jobs.get(&task.step_ref.job).is_none_or(|j| j.verdict != crate::Verdict::Open);
        let state = self.task_state(&task);
        let second = run.copies_allowed && matches!(state, Some(TaskState::Placed(_)));
        // A run of a completed task, or one replaced by a run with a higher number, must stop.
        let keep = match state {
            Some(TaskState::Waiting) => !ended,
            Some(TaskState::Placed(other)) => other == key || self.run_number(other, &task) < number,
            Some(TaskState::Done) | None => false,
        };
        if keep || second {
            if let Some(TaskState::Placed(other)) = state
                && other != key
                && !second
                && let Some(old) = self.workers.get_mut(other).and_then(|w| w.runs.get_mut(&task))
            {
                old.stop(StopCause::Superseded);
            }
            if !second {
                self.set_task_state(&task, TaskState::Placed(key));
            }
            self.with_task(&task, |t| t.last_run = t.last_run.max(number));
            if let Some(job) = self.jobs.get_mut(&task.step_ref.job) {
                job.started = true;
                job.begun = true;
            }
        } else {
            run.stop(StopCause::Superseded);
        }
        if let Some(old) = self.workers[key].remove_run(&task) {
            self.uncharge(&old);
        }
        self.charge(&run);
        self.workers[key].insert_run(task, run);
        if second {
            self.pair_runs(&task, key);
        }
    }

    pub(crate) fn run_number(&self, key: WorkerKey, task: &TaskRef) -> u32 {
        self.workers.get(key).and_then(|w| w.runs.get(task)).map_or(0, |r| r.number)
    }

    pub(crate) fn new_run(&self, task: &TaskRef, number: u32) -> Option<Run> {
        let job = self.jobs.get(&task.step_ref.job)?;
        let step = job.spec.steps.get(task.step_ref.step as usize)?;
        Some(Run {
            number,
            token: 0,
            phase: RunPhase::Sent,
            tries: 0,
            unanswered_at: 0,
            late_noted: false,
            planned_at: self.now,
            reserved: step.reservation(),
            charge: step.charge(),
            tenant: job.spec.tenant.clone(),
            best_effort: step.best_effort,
            long_running: step.long_running,
            copies_allowed: step.copies_allowed(),
            latency_target: step.latency_target,
            progress_percent: 0,
            progressed_at: self.now,
            reported_at: self.now,
            basis: None,
            metric: 0,
            speed_percent: 100,
            speed_known: false,
            speed_changed: 0,
            absent_at: 0,
            stop_sent_at: 0,
            stop_cause: StopCause::None,
        })
    }

    pub(crate) fn poll_failed(&mut self, id: &str, replaced: bool, fenced: bool) {
        if fenced {
            self.fenced = true;
            return;
        }
        let Some(key) = self.worker_key(id) else { return };
        if replaced {
            self.drop_lost_runs(key, "another incarnation answers at the address");
            self.workers[key].removed = true;
        }
        let worker = &mut self.workers[key];
        worker.polling = false;
        worker.reachability = if worker.reachability == Reachability::Unknown {
            Reachability::Unknown
        } else {
            Reachability::Unreachable
        };
        worker.poll_at = self.now + crate::health::POLL_RETRY_MS;
        self.renew_token(key);
    }

    pub(crate) fn stop_fenced(&mut self, id: &str, token: u64) {
        // A stop that was sent for an earlier incarnation is sent again.
        let lost = self.worker_key(id).is_some_and(|key| self.workers[key].token == token);
        self.fenced |= lost;
    }

    pub(crate) fn stop_confirmed(&mut self, id: &str, task_id: &TaskId, number: u32) {
        let (Some(key), Some(task)) = (self.worker_key(id), self.task_ref(task_id)) else { return };
        let now = self.now;
        if let Some(run) = self.workers[key].runs.get_mut(&task).filter(|r| r.number == number) {
            run.phase = RunPhase::Stopped(now);
            // Poll at once to collect its end.
            self.workers[key].poll_at = now;
        }
    }
}
