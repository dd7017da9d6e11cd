//! Carries out the actions of a shard's state machine: answers callers, sends orders to workers, appends records.

use std::sync::Arc;

use edge::Verdict;
use shard::{Action, Input, Record, StartReply};
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::{Driver, Message};
use crate::clock::monotonic_ms;
use crate::message::{Reply, ReplyKind};
use crate::partition::{self, Outcome};
use crate::platform::{Poll, PollReply};

impl Driver {
    /// Carries out an action. Requests to workers and to the store run beside the driver, and their results come back as
    /// inputs.
    pub(super) fn perform(&mut self, action: Action) {
        match action {
            Action::Append(records) => self.append(records),
            Action::Accepted(request_id) | Action::Cancelled(request_id) => {
                self.answer(request_id, Reply::of(ReplyKind::Done));
            }
            Action::Refused { request_id, retry_ms, why } => {
                metrics::counter!("lagoonrelay_jobs_refused_total", "why" => why.as_str()).increment(1);
                self.answer(request_id, Reply::refused(retry_ms));
            }
            Action::Referred { request_id, service } => {
                self.answer(request_id, Reply::services(ReplyKind::Referred, vec![service]));
            }
            Action::Search { request_id, services } => {
                self.answer(request_id, Reply::services(ReplyKind::Search, services));
            }
            Action::Unknown(request_id) => self.answer(request_id, Reply::of(ReplyKind::NotFound)),
            Action::Start(order) => self.start(order),
            Action::Stop { worker, addr, task_id, run, cause, token } => {
                tracing::info!(%worker, task = %task_id, run, why = ?cause, "owner: stop");
                self.stop((worker, addr), (task_id, run), token);
            }
            Action::Throttle { worker, addr, task_id, run, percent, token } => {
                let workers = Arc::clone(&self.context.workers);
                tokio::spawn(async move {
                    let task = task_id.to_string();
                    if let Err(error) = workers.throttle(&worker, &addr, (&task, run), percent, token).await {
                        tracing::info!(%worker, %task, run, %error, "owner: throttle not answered");
                    }
                });
            }
            Action::Poll { worker, addr, lease_until, acked, wait, token } => {
                self.poll((worker, addr), lease_until, (acked, wait), token);
            }
            Action::OwnershipLost => {}
        }
    }

    fn start(&self, order: shard::StartRequest) {
        let (workers, messages) = (Arc::clone(&self.context.workers), self.messages.clone());
        tokio::spawn(async move {
            let reply = match workers.start(&order).await {
                Ok(reply) => reply,
                Err(fault) if fault.verdict == Verdict::NotRun => StartReply::NotSent,
                Err(_) => StartReply::NoAnswer,
            };
            metrics::counter!("lagoonrelay_starts_total", "reply" => format!("{reply:?}")).increment(1);
            tracing::info!(
                task = %order.task_id,
                run = order.run,
                worker = %order.worker,
                lease_until = order.lease_until,
                ?reply,
                "owner: start"
            );
            let input =
                Input::StartResult { worker: order.worker, task_id: order.task_id, run: order.run, reply };
            send(&messages, input).await;
        });
    }

    fn stop(&self, (worker, addr): (String, String), (task_id, run): (shard::TaskId, u32), token: u64) {
        let (workers, messages) = (Arc::clone(&self.context.workers), self.messages.clone());
        tokio::spawn(async move {
            let task = task_id.to_string();
            match workers.stop(&worker, &addr, (&task, run), token).await {
                Ok(true) => send(&messages, Input::StopConfirmed { worker, task_id, run }).await,
                Ok(false) => send(&messages, Input::StopFenced { worker, token }).await,
                Err(error) => tracing::info!(%worker, %task, run, %error, "owner: stop not answered"),
            }
        });
    }

    fn poll(
        &self,
        (worker, addr): (String, String),
        lease_until: Option<u64>,
        (acked, wait_ms): (u64, u64),
        token: u64,
    ) {
        let (workers, messages) = (Arc::clone(&self.context.workers), self.messages.clone());
        tokio::spawn(async move {
            let sent = monotonic_ms();
            let poll =
                Poll { worker: &worker, addr: &addr, fencing_token: token, lease_until, acked, wait_ms };
            let input = match workers.poll(poll).await {
                Ok(PollReply::Report(report)) => Input::Polled { worker, sent, report },
                Ok(PollReply::Fenced) => Input::PollFailed { worker, replaced: false, fenced: true },
                Ok(PollReply::OtherIncarnation) => {
                    Input::PollFailed { worker, replaced: true, fenced: false }
                }
                Err(error) => {
                    metrics::counter!("lagoonrelay_looks_failed_total").increment(1);
                    tracing::debug!(%worker, %error, "owner: poll not answered");
                    Input::PollFailed { worker, replaced: false, fenced: false }
                }
            };
            send(&messages, input).await;
        });
    }

    /// Appends a batch.
    fn append(&mut self, records: Vec<Record>) {
        let sequence = self.sequence + 1;
        let (store, messages) = (Arc::clone(&self.context.store), self.messages.clone());
        let pace = Arc::clone(&self.pace);
        let owner = (self.partition, self.shard.epoch());
        tokio::spawn(async move {
            let started = Instant::now();
            let is_owner = || !messages.is_closed();
            let outcome = partition::append(&*store, owner, sequence, &records, &pace, is_owner).await;
            metrics::histogram!("lagoonrelay_append_seconds").record(started.elapsed());
            match outcome {
                Outcome::Stored => send(&messages, Input::Stored).await,
                Outcome::NotStored => send(&messages, Input::NotStored).await,
                // The driver may have ended.
                Outcome::Lost => drop(messages.send(Message::Stop).await),
            }
        });
    }
}

/// Sends an input to the driver.
async fn send(messages: &mpsc::Sender<Message>, input: Input) {
    // The driver may have ended.
    drop(messages.send(Message::Input(input)).await);
}
