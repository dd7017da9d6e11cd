//! Start requests: when one may be sent, and what its answer says of the run.

use crate::Verdict;
use crate::io::{Action, StartReply, StartRequest};
use crate::job::TaskRef;
use crate::model::TaskId;
use crate::state::Shard;
use crate::worker::{Fence, Reachability, Run, RunPhase, WorkerKey};

impl Shard {
    /// Sends start requests for planned runs that the log has recorded.
    pub(crate) fn send_starts(&mut self) {
        for (key, task, number) in std::mem::take(&mut self.pending_starts) {
            let planned = |r: &&Run| r.number == number && r.phase == RunPhase::Planned;
            if self.workers.get(key).and_then(|w| w.runs.get(&task)).filter(planned).is_none() {
                continue;
            }
            if let Some(request) = self.start_request(key, &task, number) {
                self.actions.push(Action::Start(request));
            } else {
                self.drop_unstarted_run(key, task);
            }
        }
    }

    /// Builds the start request of a planned run; `None` if the worker or the job no longer allows it.
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
            return;
        };
        match reply {
            StartReply::Running => {
                if run.phase == RunPhase::Sent {
                    run.phase = RunPhase::Running(now);
                    run.basis = Some((0, now));
                }
            }
            StartReply::NoAnswer => {
                if run.phase == RunPhase::Sent {
                    run.phase = RunPhase::Unconfirmed(now);
                }
            }
            StartReply::Fenced if run.token == token => self.fenced = true,
            StartReply::Fenced
            | StartReply::Refused
            | StartReply::Unwell
            | StartReply::OtherLife
            | StartReply::NotSent => {
                // A poll may have confirmed the run meanwhile; the poll takes precedence.
                if matches!(run.phase, RunPhase::Sent | RunPhase::Stopping) {
                    self.drop_unstarted_run(key, task);
                }
                // A start that was sent for an earlier incarnation says nothing of this one.
                if reply != StartReply::Fenced {
                    self.back_off(key, reply);
                }
            }
        }
    }
}
