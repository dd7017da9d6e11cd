//! Start requests: when one may be sent, and what its answer says of the run.
//!
//! A start without an answer may have been carried out, or may be carried out seconds later. It is sent again to the same
//! worker under the same run number: there the run begins once, whichever request arrives first. A stop would be no
//! safer, as it can meet a task that has been at work for seconds, and the task would have to start elsewhere while the
//! first request is still on its way. Only a worker that leaves several requests for a run without an answer, or that
//! may not take the task any more, is told to stop the run, and the task moves once that is confirmed.

use crate::Verdict;
use crate::io::{Action, StartReply, StartRequest};
use crate::job::{TaskRef, TaskState};
use crate::model::{StepSpec, TaskId};
use crate::state::Shard;
use crate::worker::{Fence, LATE_CALL_MS, Reachability, RunPhase, StopCause, WorkerKey};

/// Start requests for a run after which it is stopped if none is answered; with half of the calls unanswered, one run in
/// 64.
const MAX_START_TRIES: u32 = 6;

/// The same while others of a long-running step are away, so that a stop could exceed its disruption budget. Two such
/// tasks may wait for one another.
const MAX_TRIES_BEYOND_BUDGET: u32 = 2 * MAX_START_TRIES;

/// What follows for a run whose start has not been answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Unanswered {
    /// Send the request again.
    Repeat,
    /// Stop the run.
    Stop,
    /// Decide after a later answer of the worker.
    Wait,
}

impl Shard {
    /// Sends start requests for planned runs that the log has recorded, and for those to be started again.
    pub(crate) fn send_starts(&mut self) {
        for (key, task, number) in std::mem::take(&mut self.pending_starts) {
            let run = self.workers.get(key).and_then(|w| w.runs.get(&task));
            let Some(run) = run.filter(|r| r.number == number) else { continue };
            let phase = run.phase;
            if !matches!(phase, RunPhase::Planned | RunPhase::Unconfirmed(_)) {
                continue;
            }
            // A new owner takes a run without this note for one whose only request was carried out once it has begun.
            if matches!(phase, RunPhase::Unconfirmed(_)) && !run.late_noted && !run.long_running {
                self.pending_starts.push((key, task, number));
                continue;
            }
            if let Some(request) = self.start_request(key, &task, number) {
                self.actions.push(Action::Start(request));
            } else if phase == RunPhase::Planned {
                self.drop_unstarted_run(key, task);
            }
        }
    }

    /// Sends the start of a run again that a worker's report does not show, or stops the run.
    pub(crate) fn follow_up_start(&mut self, key: WorkerKey, task: TaskRef) {
        let next = self.after_no_answer(key, &task);
        let Some(run) = self.workers[key].runs.get_mut(&task) else { return };
        match next {
            Unanswered::Repeat => {
                let start = (key, task, run.number);
                if !self.pending_starts.contains(&start) {
                    self.pending_starts.push(start);
                }
            }
            Unanswered::Stop => {
                run.stop(StopCause::Unanswered);
                if run.tries >= MAX_START_TRIES {
                    self.with_task(&task, |t| t.avoid(key));
                }
            }
            Unanswered::Wait => {}
        }
    }

    fn after_no_answer(&self, key: WorkerKey, task: &TaskRef) -> Unanswered {
        let worker = &self.workers[key];
        let Some(run) = worker.runs.get(task) else { return Unanswered::Wait };
        let Some(job) = self.jobs.get(&task.step_ref.job) else { return Unanswered::Wait };
        let Some(spec) = job.spec.steps.get(task.step_ref.step as usize) else { return Unanswered::Wait };
        let open = job.verdict == Verdict::Open;
        let answers = worker.reachability == Reachability::Reachable && worker.fence != Fence::Raised;
        if !open || !answers || worker.restart_listed() || worker.lease_noted {
            return Unanswered::Wait;
        }
        // The next incarnation may be of another kind.
        let fits = worker.used.fits(&worker.info.capacity);
        let suitable = fits && self.suitable(key, spec, &job.spec.service) && self.gang_placed(task, spec);
        let allowed =
            suitable && worker.info.ready && !worker.cordoned(self.now) && worker.fence == Fence::Up;
        let tries = if self.can_miss(task) { MAX_START_TRIES } else { MAX_TRIES_BEYOND_BUDGET };
        if allowed && run.tries < tries { Unanswered::Repeat } else { Unanswered::Stop }
    }

    /// Whether each member of a task's gang has a worker; true for a task of no gang.
    fn gang_placed(&self, task: &TaskRef, spec: &StepSpec) -> bool {
        let waits = |index| self.task_state(&TaskRef { index, ..*task }) == Some(TaskState::Waiting);
        !spec.gang || !(0..spec.count).any(waits)
    }

    /// Builds the start request of a run; `None` if the worker or the job does not allow it now.
    fn start_request(&mut self, key: WorkerKey, task: &TaskRef, number: u32) -> Option<StartRequest> {
        let now = self.now;
        let task_id = self.task_id(task)?;
        let job = self.jobs.get_mut(&task.step_ref.job).filter(|j| j.verdict == Verdict::Open)?;
        let entry = job
            .occurrence(task.step_ref.occurrence)?
            .steps
            .get(task.step_ref.step as usize)?
            .tasks
            .get(task.index as usize)?;
        let (checkpoint, payload) = (entry.checkpoint.clone(), job.spec.payload.clone());
        let worker = &mut self.workers[key];
        let zone_out = self.zones_out.contains(&worker.info.zone);
        if zone_out
            || worker.removed
            || worker.cordoned(now)
            || !worker.info.ready
            || worker.reachability != Reachability::Reachable
            || worker.fence != Fence::Up
            || worker.restart_listed()
            || worker.lease_noted
        {
            return None;
        }
        let lease_until = worker.estimated_clock(now)? + self.timing.lease;
        worker.lease_end = now + self.timing.max_lease();
        let run = worker.runs.get_mut(task)?;
        run.phase = RunPhase::Sent;
        run.token = worker.token;
        run.tries += 1;
        run.speed_known = true;
        job.started = true;
        Some(StartRequest {
            worker: worker.info.id.clone(),
            addr: worker.info.addr.clone(),
            task_id,
            run: number,
            payload,
            checkpoint,
            lease_until,
            token: worker.token,
        })
    }

    pub(crate) fn start_answered(&mut self, id: &str, task_id: &TaskId, number: u32, reply: StartReply) {
        let (Some(key), Some(task)) = (self.worker_key(id), self.task_ref(task_id)) else { return };
        let now = self.now;
        let worker = &mut self.workers[key];
        let token = worker.token;
        let Some(run) = worker.runs.get_mut(&task).filter(|r| r.number == number) else {
            if reply == StartReply::NoAnswer {
                self.note_late_start(&task, task_id);
            }
            return;
        };
        match reply {
            StartReply::Running => {
                if run.phase == RunPhase::Sent {
                    run.phase = RunPhase::Running(now);
                    run.progressed_at = now;
                    run.basis = Some((0, now));
                    if let Some(job) = self.jobs.get_mut(&task.step_ref.job) {
                        job.begun = true;
                    }
                }
            }
            StartReply::NoAnswer => {
                run.unanswered_at = now;
                if run.phase == RunPhase::Sent {
                    run.phase = RunPhase::Unconfirmed(now);
                }
                worker.late_until = now + LATE_CALL_MS;
                // The next owner has to know of it.
                self.dirty_workers.insert(key);
            }
            StartReply::Fenced if run.token == token => self.fenced = true,
            StartReply::Fenced
            | StartReply::Refused
            | StartReply::Unwell
            | StartReply::OtherLife
            | StartReply::NotSent => {
                // A poll may have confirmed the run meanwhile; the poll takes precedence.
                if matches!(run.phase, RunPhase::Sent | RunPhase::Stopping) {
                    self.start_failed(key, task, reply);
                }
                // A start that was sent for an earlier incarnation says nothing of this one.
                if reply != StartReply::Fenced {
                    self.back_off(key, reply);
                }
            }
        }
    }

    /// Handles that a start request has not begun the run. An earlier one without an answer may still do so.
    fn start_failed(&mut self, key: WorkerKey, task: TaskRef, reply: StartReply) {
        let now = self.now;
        let Some(run) = self.workers[key].runs.get_mut(&task) else { return };
        let settled = run.unanswered_at == 0 || reply == StartReply::OtherLife;
        match reply {
            _ if settled => self.drop_unstarted_run(key, task),
            StartReply::NotSent | StartReply::Fenced | StartReply::Unwell if run.phase == RunPhase::Sent => {
                run.phase = RunPhase::Unconfirmed(now);
            }
            _ => run.stop(StopCause::Unanswered),
        }
    }
}
