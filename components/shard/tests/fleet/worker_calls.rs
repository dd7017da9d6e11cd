//! Calls of an owner to the simulated workers: carried out at once, late or not at all, and answered.

use shard::{Input, Ms, RunOutcome, StartReply, StartRequest, TaskId};

use super::{FakeRun, Fleet, TIMING};

/// A call that reaches its worker late, under the fencing token that it was sent with.
#[derive(Clone, Debug)]
pub(super) enum LateCall {
    Start(StartRequest),
    Poll { worker: String, lease_until: Option<u64>, acked: u64, token: u64 },
}

impl Fleet {
    pub(super) fn start(&mut self, request: StartRequest) {
        self.start_requests.push(request.clone());
        let (now, epoch) = (self.now, self.epoch);
        let reply = if let Some(delay) = self.call_delay {
            self.late_calls.push((now + delay, LateCall::Start(request.clone())));
            StartReply::NoAnswer
        } else if self.workers[&request.worker].is_unreachable(epoch)
            || self.lose_starts_to.as_ref() == Some(&request.worker)
        {
            StartReply::NoAnswer
        } else {
            self.start_run(&request)
        };
        let reply = if self.drop_start_replies { StartReply::NoAnswer } else { reply };
        let input =
            Input::StartResult { worker: request.worker, task_id: request.task_id, run: request.run, reply };
        let wait = if reply == StartReply::NoAnswer { TIMING.request_timeout } else { 0 };
        self.delayed.push((now + wait, input));
    }

    /// Carries a start out at its worker.
    fn start_run(&mut self, request: &StartRequest) -> StartReply {
        let (now, token, work_ms) = (self.now, request.token, (self.work_for)(request, self.work_ms));
        let worker = self.workers.get_mut(&request.worker).expect("known worker");
        let task = request.task_id.to_string();
        if worker.fencing_token > token {
            return StartReply::Fenced;
        }
        if worker.barred_runs.get(&task).is_some_and(|&r| r >= request.run)
            || request.lease_until < worker.clock(now)
        {
            return StartReply::Refused;
        }
        worker.fencing_token = token;
        worker.extend_lease(request.lease_until, now);
        worker.starts.push((task.clone(), request.run));
        let long_running = request.payload.starts_with("long-running");
        let run = FakeRun {
            run: request.run,
            started_at: now,
            work_ms,
            long_running,
            payload: request.payload.clone(),
        };
        let replaced = worker.running.insert(task, run);
        assert!(replaced.is_none_or(|r| r.run == request.run), "two runs of a task on one worker");
        StartReply::Running
    }

    /// Carries out the late calls that have reached their workers.
    pub(super) fn deliver_late_calls(&mut self) {
        let now = self.now;
        let (due, rest) = std::mem::take(&mut self.late_calls).into_iter().partition(|(at, _)| *at <= now);
        self.late_calls = rest;
        let due: Vec<(Ms, LateCall)> = due;
        for (_, call) in due {
            match call {
                LateCall::Start(request) => drop(self.start_run(&request)),
                LateCall::Poll { worker, lease_until, acked, token } => {
                    self.accept_poll(&worker, lease_until, acked, token);
                }
            }
        }
    }

    pub(super) fn stop(&mut self, id: &str, task_id: &TaskId, run: u32, token: u64) {
        self.stops.push((id.to_owned(), task_id.to_string()));
        let epoch = self.epoch;
        let worker = self.workers.get_mut(id).expect("known worker");
        if worker.is_unreachable(epoch) || worker.fencing_token > token {
            return;
        }
        worker.fencing_token = token;
        let text = task_id.to_string();
        worker.bar(&text, run);
        if worker.running.get(&text).is_some_and(|r| r.run == run) {
            worker.running.remove(&text);
            worker.end_run(task_id.clone(), run, RunOutcome::Interrupted);
        }
        self.delayed
            .push((self.now, Input::StopConfirmed { worker: id.to_owned(), task_id: task_id.clone(), run }));
    }

    pub(super) fn poll(&mut self, id: &str, lease_until: Option<u64>, (acked, wait): (u64, Ms), token: u64) {
        let (now, epoch) = (self.now, self.epoch);
        if let Some(delay) = self.call_delay {
            let call = LateCall::Poll { worker: id.to_owned(), lease_until, acked, token };
            self.late_calls.push((now + delay, call));
        }
        if self.call_delay.is_some() || self.workers[id].is_unreachable(epoch) {
            let input = Input::PollFailed { worker: id.to_owned(), replaced: false, fenced: false };
            self.delayed.push((now + TIMING.request_timeout, input));
        } else if self.accept_poll(id, lease_until, acked, token) {
            self.polls.push_back((now + wait, id.to_owned(), now));
        } else {
            let input = Input::PollFailed { worker: id.to_owned(), replaced: false, fenced: true };
            self.delayed.push((now, input));
        }
    }

    /// Carries a poll out at its worker; false if the worker has seen a higher fencing token.
    fn accept_poll(&mut self, id: &str, lease_until: Option<u64>, acked: u64, token: u64) -> bool {
        let now = self.now;
        let worker = self.workers.get_mut(id).expect("known worker");
        if worker.fencing_token > token {
            return false;
        }
        worker.fencing_token = token;
        worker.ended.retain(|e| e.sequence > acked);
        if let Some(lease_until) = lease_until {
            worker.extend_lease(lease_until, now);
        }
        true
    }

    pub(super) fn answer_polls(&mut self) {
        for _ in 0..self.polls.len() {
            let Some((at, id, sent)) = self.polls.pop_front() else { break };
            let worker = &self.workers[&id];
            if worker.is_unreachable(self.epoch) {
                let input = Input::PollFailed { worker: id, replaced: false, fenced: false };
                self.delayed.push((self.now + TIMING.request_timeout, input));
            } else if self.now >= at || !worker.ended.is_empty() {
                let report = worker.report(self.now, self.tail_latency);
                self.polls_answered += 1;
                self.apply(Input::Polled { worker: id, sent, report });
            } else {
                self.polls.push_back((at, id, sent));
            }
        }
    }

    /// Ends runs whose work is done or whose lease has expired.
    pub(super) fn finish_runs(&mut self) {
        let (now, failing_payload) = (self.now, self.failing_payload);
        for worker in self.workers.values_mut() {
            let expired = worker.lease_end < now;
            let (failing, stalled) = (worker.failing, worker.stalled);
            let over =
                |r: &FakeRun| expired || (now >= r.started_at + r.work_ms && !r.long_running && !stalled);
            let tasks: Vec<String> =
                worker.running.iter().filter(|(_, r)| over(r)).map(|(n, _)| n.clone()).collect();
            for task in tasks {
                let run = worker.running.remove(&task).expect("listed run");
                let outcome = if expired {
                    RunOutcome::Interrupted
                } else if failing || run.payload.starts_with(failing_payload) {
                    RunOutcome::Failed
                } else {
                    RunOutcome::Done
                };
                worker.end_run(TaskId::parse(&task).expect("task id"), run.run, outcome);
            }
        }
    }
}
