//! Calls of an owner to the simulated workers: carried out at once, late or not at all, and answered.

use std::hash::Hash;

use shard::{Input, Ms, RunOutcome, StartReply, StartRequest, StopCause, TaskId, WorkerReport};

use super::troubles::Fate;
use super::{FakeRun, FakeWorker, Fleet, TIMING};

/// A call that reaches its worker late, under the fencing token that it was sent with.
#[derive(Clone, Debug)]
pub(super) struct LateCall {
    sent: Ms,
    arrives: Ms,
    /// Life of the worker that it was sent to.
    life: u64,
    order: Order,
}

#[derive(Clone, Debug)]
enum Order {
    Start(StartRequest),
    Stop { worker: String, task_id: TaskId, run: u32, cause: StopCause, token: u64 },
    Poll { worker: String, lease_until: Option<u64>, acked: u64, token: u64 },
}

impl Order {
    fn worker(&self) -> &str {
        match self {
            Self::Start(request) => &request.worker,
            Self::Stop { worker, .. } | Self::Poll { worker, .. } => worker,
        }
    }
}

impl Fleet {
    /// What becomes of a call to a worker, told apart from others of this time by `call`, and for how long its answer
    /// is on its way.
    fn fate(&self, id: &str, call: impl Hash) -> (Fate, Ms) {
        let worker = &self.workers[id];
        let unreachable = worker.is_unreachable(self.epoch) || self.now < worker.down_until;
        match (&self.troubles, self.call_delay) {
            (Some(troubles), _) => troubles.draw((self.now, id, call), unreachable),
            (None, Some(delay)) => (Fate::Late(delay), 0),
            (None, None) if unreachable => (Fate::Lost, 0),
            (None, None) => (Fate::Answered, 0),
        }
    }

    fn delay(&mut self, delay: Ms, order: Order) {
        let life = self.workers[order.worker()].incarnation;
        self.late_calls.push(LateCall { sent: self.now, arrives: self.now + delay, life, order });
    }

    pub(super) fn start(&mut self, request: StartRequest) {
        self.start_requests.push(request.clone());
        let lost = self.lose_starts_to.as_ref() == Some(&request.worker);
        let (fate, answer_ms) = match lost {
            true => (Fate::Lost, 0),
            false => self.fate(&request.worker, (&request.task_id, request.run)),
        };
        self.note(&request.worker, &request.task_id.to_string(), || {
            let StartRequest { run, token, lease_until, .. } = request;
            format!("start of run {run} sent, token {token}, lease until {lease_until}: {fate:?}")
        });
        let reply = match fate {
            Fate::Answered => self.start_run(&request, None),
            Fate::Unanswered => {
                self.start_run(&request, None);
                StartReply::NoAnswer
            }
            Fate::Late(delay) => {
                self.delay(delay, Order::Start(request.clone()));
                StartReply::NoAnswer
            }
            Fate::Lost => StartReply::NoAnswer,
        };
        let reply = if self.drop_start_replies { StartReply::NoAnswer } else { reply };
        let input =
            Input::StartResult { worker: request.worker, task_id: request.task_id, run: request.run, reply };
        let wait = if reply == StartReply::NoAnswer { TIMING.request_timeout } else { answer_ms };
        self.delayed.push((self.now + wait, input));
    }

    /// Carries a start out at its worker; a late one with its delay and the life that it was sent to.
    fn start_run(&mut self, request: &StartRequest, late: Option<(Ms, u64)>) -> StartReply {
        let reply = self.try_start(request, late);
        self.note(&request.worker, &request.task_id.to_string(), || {
            format!("start of run {} carried out, held up {:?}: {reply:?}", request.run, late.map(|l| l.0))
        });
        reply
    }

    fn try_start(&mut self, request: &StartRequest, late_call: Option<(Ms, u64)>) -> StartReply {
        let (now, token, work_ms) = (self.now, request.token, (self.work_for)(request, self.work_ms));
        let worker = self.workers.get_mut(&request.worker).expect("known worker");
        let task = request.task_id.to_string();
        if worker.fencing_token > token {
            return StartReply::Fenced;
        }
        let late = request.lease_until < worker.clock(now);
        let old = worker.barred_runs.get(&task).is_some_and(|&r| r >= request.run);
        if self.troubles.is_some() {
            worker.fencing_token = token;
            if old && !late {
                worker.extend_lease(request.lease_until, now);
            }
        }
        if old || late {
            return StartReply::Refused;
        }
        worker.fencing_token = token;
        worker.extend_lease(request.lease_until, now);
        let present = worker.running.get(&task).map(|r| r.run);
        if let Some(troubles) = &mut self.troubles {
            if present == Some(request.run) {
                return StartReply::Running;
            }
            let (held_up, sent_to) = late_call.unwrap_or((0, worker.incarnation));
            let lives = [sent_to, worker.incarnation];
            troubles.start_carried_out(now, request, (held_up, lives), present);
        } else {
            assert!(present.is_none_or(|run| run == request.run), "two runs of a task on one worker");
        }
        worker.starts.push((task.clone(), request.run));
        let long_running = request.payload.starts_with("long-running");
        let run = FakeRun {
            run: request.run,
            started_at: now,
            work_ms,
            long_running,
            payload: request.payload.clone(),
        };
        worker.stopping.remove(&task);
        worker.running.insert(task, run);
        StartReply::Running
    }

    /// Carries out the late calls that have reached their workers; those that find theirs down are lost.
    pub(super) fn deliver_late_calls(&mut self) {
        let now = self.now;
        let (due, rest) = std::mem::take(&mut self.late_calls).into_iter().partition(|c| c.arrives <= now);
        self.late_calls = rest;
        let due: Vec<LateCall> = due;
        for LateCall { sent, life, order, .. } in due {
            if now < self.workers[order.worker()].down_until {
                continue;
            }
            self.note(order.worker(), "", || format!("late call of {sent} arrives"));
            match order {
                Order::Start(request) => drop(self.start_run(&request, Some((now - sent, life)))),
                Order::Stop { worker, task_id, run, cause, token } => {
                    self.stop_run((&worker, &task_id, run), cause, token, now - sent);
                }
                Order::Poll { worker, lease_until, acked, token } => {
                    self.accept_poll(&worker, lease_until, acked, token);
                }
            }
        }
    }

    pub(super) fn stop(&mut self, (id, task_id, run): (&str, &TaskId, u32), cause: StopCause, token: u64) {
        self.stops.push((id.to_owned(), task_id.to_string()));
        let unreachable = self.workers[id].is_unreachable(self.epoch);
        let (fate, answer_ms) = match self.troubles {
            Some(_) => self.fate(id, (task_id, run, "stop")),
            None if unreachable || self.lose_stops => (Fate::Lost, 0),
            None => (Fate::Answered, 0),
        };
        self.note(id, &task_id.to_string(), || {
            format!("stop of run {run} sent, {cause:?}, token {token}: {fate:?}")
        });
        match fate {
            Fate::Answered => {
                let worker = id.to_owned();
                let input = if self.stop_run((id, task_id, run), cause, token, 0) {
                    Input::StopConfirmed { worker, task_id: task_id.clone(), run }
                } else if self.troubles.is_some() {
                    Input::StopFenced { worker, token }
                } else {
                    return;
                };
                self.delayed.push((self.now + answer_ms, input));
            }
            Fate::Unanswered => drop(self.stop_run((id, task_id, run), cause, token, 0)),
            Fate::Late(delay) => {
                let (worker, task_id) = (id.to_owned(), task_id.clone());
                self.delay(delay, Order::Stop { worker, task_id, run, cause, token });
            }
            Fate::Lost => {}
        }
    }

    /// Carries a stop out at its worker; false if the worker has seen a higher fencing token.
    fn stop_run(
        &mut self,
        (id, task_id, run): (&str, &TaskId, u32),
        cause: StopCause,
        token: u64,
        held_up: Ms,
    ) -> bool {
        let now = self.now;
        let worker = self.workers.get_mut(id).expect("known worker");
        if worker.fencing_token > token {
            return false;
        }
        worker.fencing_token = token;
        let text = task_id.to_string();
        worker.bar(&text, run);
        let same = worker.running.get(&text).is_some_and(|r| r.run == run);
        let found = same && !worker.stopping.contains_key(&text);
        if let Some(troubles) = self.troubles.as_mut().filter(|_| found) {
            worker.stopping.insert(text.clone(), now + troubles.stop_ms((now, id, &text)));
            let running = self.workers.values().flat_map(FakeWorker::at_work).cloned().collect();
            troubles.check_stop(now, (id, task_id, run), (cause, held_up), &running);
        } else if found {
            worker.running.remove(&text);
            worker.end_run(task_id.clone(), run, RunOutcome::Interrupted);
        }
        self.note(id, &text, || format!("stop of run {run} carried out, held up {held_up}, found {found}"));
        true
    }

    pub(super) fn poll(&mut self, id: &str, lease_until: Option<u64>, (acked, wait): (u64, Ms), token: u64) {
        let now = self.now;
        let (fate, _) = self.fate(id, "poll");
        self.note(id, "", || {
            format!("poll sent, token {token}, lease {lease_until:?}, acked {acked}: {fate:?}")
        });
        let taken = match fate {
            Fate::Answered | Fate::Unanswered => self.accept_poll(id, lease_until, acked, token),
            Fate::Late(delay) => {
                self.delay(delay, Order::Poll { worker: id.to_owned(), lease_until, acked, token });
                true
            }
            Fate::Lost => true,
        };
        // It has waited at the worker, or for an answer.
        let waited = if self.troubles.is_some() { wait } else { 0 };
        let failed = |fenced| Input::PollFailed { worker: id.to_owned(), replaced: false, fenced };
        match fate {
            Fate::Answered if taken => self.polls.push_back((now + wait, id.to_owned(), now)),
            Fate::Answered => self.delayed.push((now, failed(true))),
            Fate::Unanswered | Fate::Late(_) | Fate::Lost => {
                self.delayed.push((now + waited + TIMING.request_timeout, failed(false)));
            }
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
        let noted: Vec<_> = worker.ended.extract_if(.., |e| e.sequence <= acked).collect();
        let times = noted.into_iter().map(|e| (worker.end_times.remove(&e.sequence).unwrap_or(now), e));
        let noted: Vec<_> = times.collect();
        if let Some(lease_until) = lease_until {
            worker.extend_lease(lease_until, now);
        }
        let (lapsed_at, lease_end) = (worker.lapsed_at, worker.lease_end);
        if let Some(troubles) = &mut self.troubles {
            troubles.ends_noted(id, &noted, lapsed_at, now);
            troubles.note(now, id, "", format!("poll taken, lease lapses at {lease_end}"));
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
                self.answer_poll(id, sent, report);
            } else {
                self.polls.push_back((at, id, sent));
            }
        }
    }

    fn answer_poll(&mut self, worker: String, sent: Ms, report: WorkerReport) {
        self.note(&worker, "", || {
            let runs: Vec<String> =
                report.running.iter().map(|r| format!("{} {}", r.task_id, r.run)).collect();
            let ends: Vec<u64> = report.ended.iter().map(|e| e.sequence).collect();
            format!("poll of {sent} answered, life {}, runs {runs:?}, ends {ends:?}", report.incarnation)
        });
        let answer_ms = self.troubles.as_ref().map(|t| t.draw((self.now, &worker), false).1);
        let input = Input::Polled { worker, sent, report };
        match answer_ms {
            Some(wait) => self.delayed.push((self.now + wait, input)),
            None => self.apply(input),
        }
    }

    /// Ends runs whose work is done or whose lease has expired.
    pub(super) fn finish_runs(&mut self) {
        let (now, failing_payload) = (self.now, self.failing_payload);
        let mut lines = Vec::new();
        for (id, worker) in &mut self.workers {
            let expired = worker.lease_end < now;
            if expired {
                worker.lapsed_at = now;
            }
            let (failing, stalled) = (worker.failing, worker.stalled);
            let over =
                |r: &FakeRun| expired || (now >= r.started_at + r.work_ms && !r.long_running && !stalled);
            let stopped: Vec<String> =
                worker.stopping.extract_if(|_, at| now >= *at).map(|(task, _)| task).collect();
            let due = worker.running.iter().filter(|(task, r)| over(r) || stopped.contains(task));
            let tasks: Vec<String> = due.map(|(task, _)| task.clone()).collect();
            for task in tasks {
                let run = worker.running.remove(&task).expect("listed run");
                worker.stopping.remove(&task);
                let outcome = if expired || stopped.contains(&task) {
                    RunOutcome::Interrupted
                } else if failing || run.payload.starts_with(failing_payload) {
                    RunOutcome::Failed
                } else {
                    RunOutcome::Done
                };
                worker.end_run(TaskId::parse(&task).expect("task id"), run.run, outcome);
                worker.end_times.insert(worker.ends, now);
                lines.push((id.clone(), task, run.run, worker.ends, outcome, expired));
            }
        }
        for (id, task, run, sequence, outcome, expired) in lines {
            let lapse = if expired { ", lease lapsed" } else { "" };
            self.note(&id, &task, || format!("run {run} ends, end {sequence}, {outcome:?}{lapse}"));
        }
    }
}
