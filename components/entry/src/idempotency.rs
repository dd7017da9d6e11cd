//! Requests with an idempotency key: each runs at most once, whichever entry hosts receive it.
//!
//! Before the request is started, a majority of the members stores a claim that names the worker. Earlier
//! claims on the key are resolved with their workers first. Concurrent repeats on one host share one result.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use claims::{Claim, MAX_ROUNDS, NextStep, Vote, VoteTally};
use edge::{Answer, Fault, TaskKind};
use parking_lot::Mutex;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};
use wire::{Body, ClaimMessage};

use crate::admission::Reservation;
use crate::attempt::{ProbePolicy, Resolution, Task, TaskEnd};
use crate::node::{Node, time_left};
use crate::serve::WorkItem;

const VOTE_TIMEOUT: Duration = Duration::from_millis(500);
const RETRY_DELAY: Duration = Duration::from_millis(20);
const MAX_CACHED_RESULTS: usize = 20_000;

/// Result of a request with an idempotency key.
pub type KeyedResult = Result<Answer, Fault>;

/// Results of this host's keyed requests, in flight or recently answered.
#[derive(Debug, Default)]
pub struct ResultCache {
    entries: Mutex<CachedResults>,
}

#[derive(Debug, Default)]
struct CachedResults {
    results: HashMap<String, watch::Receiver<Option<KeyedResult>>>,
    order: VecDeque<String>,
}

/// Role of a request that was looked up in the cache.
enum Lookup {
    /// First request with its key; it runs and sends the result.
    First(watch::Sender<Option<KeyedResult>>),
    /// Repeat of an earlier request; it waits for that result.
    Repeat(watch::Receiver<Option<KeyedResult>>),
}

impl ResultCache {
    fn lookup(&self, id: &str) -> Lookup {
        let mut entries = self.entries.lock();
        if let Some(receiver) = entries.results.get(id) {
            return Lookup::Repeat(receiver.clone());
        }
        let (sender, receiver) = watch::channel(None);
        entries.results.insert(id.to_owned(), receiver);
        entries.order.push_back(id.to_owned());
        if entries.order.len() > MAX_CACHED_RESULTS
            && let Some(oldest) = entries.order.pop_front()
        {
            entries.results.remove(&oldest);
        }
        Lookup::First(sender)
    }

    fn remove(&self, id: &str) {
        let mut entries = self.entries.lock();
        entries.results.remove(id);
        entries.order.retain(|other| other != id);
    }
}

/// Rounds of one run of a keyed request.
#[derive(Debug, Clone, Copy)]
struct Rounds {
    first: u32,
    current: u32,
}

/// Outcome of one round.
enum Round {
    /// The request has its result.
    Done(KeyedResult),
    /// Nothing ran under this claim; try again with this round number.
    Retry(u32),
}

impl Node {
    /// Runs a keyed request at most once.
    pub(crate) async fn run_keyed(self: &Arc<Self>, id: &str, work: &WorkItem) -> KeyedResult {
        match self.results.lookup(id) {
            Lookup::Repeat(receiver) => wait_result(receiver, work.deadline).await,
            Lookup::First(sender) => {
                let result = self.run_rounds(id, work).await;
                if result.is_err() {
                    self.results.remove(id);
                }
                let _ = sender.send(Some(result.clone()));
                result
            }
        }
    }

    async fn run_rounds(self: &Arc<Self>, id: &str, work: &WorkItem) -> KeyedResult {
        // An earlier run on this host may have left claims whose outcome is unknown.
        let first = self.state.lock().claims.latest(id).map_or(0, |claim| claim.round) + 1;
        let mut round = first;
        for _ in 0..MAX_ROUNDS {
            match self.run_round(id, Rounds { first, current: round }, work).await {
                Round::Done(result) => return result,
                Round::Retry(next) => round = next,
            }
        }
        Err(Fault::not_run("too many hosts tried this key at once"))
    }

    async fn run_round(self: &Arc<Self>, id: &str, rounds: Rounds, work: &WorkItem) -> Round {
        let round = rounds.current;
        let slot = match self.admit(&work.slot_request, self.queue_deadline(work.deadline)).await {
            Ok(slot) => slot,
            Err(fault) => return Round::Done(self.confirm_refusal(id, fault, rounds, work).await),
        };
        let Some(boot) = self.worker_boot(&slot.worker, &slot.addr).await else {
            self.record_answer(&slot.worker, false, None);
            return Round::Retry(round);
        };
        let claim =
            Claim { id: id.to_owned(), round, owner: self.incarnation, worker: slot.worker.clone(), boot };
        let (tally, next) = self.collect_votes(&claim).await;
        let (granted, others) = match next {
            NextStep::Start(others) => (true, others),
            NextStep::Retry(others) => (false, others),
            NextStep::Wait => {
                return Round::Done(Err(Fault::may_have_run("no majority of entry hosts answers")));
            }
        };
        let unresolved: Vec<Claim> = others.into_iter().filter(|c| !self.is_own_earlier(c, rounds)).collect();
        if let Some(result) = self.resolve_claims(&unresolved, work.deadline).await {
            return Round::Done(result);
        }
        if granted {
            self.start_claimed(slot, &claim, work).await
        } else {
            Round::Retry(tally.next_round(round))
        }
    }

    /// True if a claim belongs to an earlier round of this run, whose task is known not to have run.
    fn is_own_earlier(&self, claim: &Claim, rounds: Rounds) -> bool {
        claim.owner == self.incarnation && claim.round >= rounds.first && claim.round < rounds.current
    }

    /// Result of a request that admission refused: `NotRun` only if no earlier claim on the key has run.
    async fn confirm_refusal(&self, id: &str, fault: Fault, rounds: Rounds, work: &WorkItem) -> KeyedResult {
        // This claim names no worker and starts nothing; the replies carry the other claims on the key.
        let query =
            Claim { id: id.to_owned(), round: 0, owner: self.incarnation, worker: String::new(), boot: 0 };
        let members = self.state.lock().voter_count();
        let (tally, _) = self.collect_votes(&query).await;
        match tally.next_step(members) {
            NextStep::Wait => {
                Err(Fault::may_have_run(format!("{}; no majority of entry hosts answers", fault.reason)))
            }
            NextStep::Start(others) | NextStep::Retry(others) => {
                let unresolved: Vec<Claim> =
                    others.into_iter().filter(|c| !self.is_own_earlier(c, rounds)).collect();
                self.resolve_claims(&unresolved, work.deadline).await.unwrap_or(Err(fault))
            }
        }
    }

    async fn start_claimed(self: &Arc<Self>, slot: Reservation, claim: &Claim, work: &WorkItem) -> Round {
        let task = Task {
            id: task_id(claim),
            kind: TaskKind::Request,
            path: work.path.clone(),
            body: work.body.clone(),
            resume: None,
            probe_policy: ProbePolicy::UntilDeadline,
        };
        match self.attempt(slot, &task, work.deadline).await {
            TaskEnd::Answered(answer) => Round::Done(Ok(answer)),
            TaskEnd::Unknown { reason } => Round::Done(Err(Fault::may_have_run(reason))),
            TaskEnd::NotRun { reason, .. } if time_left(work.deadline) < RETRY_DELAY => {
                Round::Done(Err(Fault::not_run(reason)))
            }
            TaskEnd::NotRun { .. } => {
                sleep(RETRY_DELAY).await;
                Round::Retry(claim.round + 1)
            }
        }
    }

    /// Resolves claims with their workers; returns a result unless all tasks are barred.
    async fn resolve_claims(&self, others: &[Claim], deadline: Instant) -> Option<KeyedResult> {
        for claim in others.iter().filter(|c| !c.worker.is_empty()) {
            let view = self.state.lock().workers.get(&claim.worker).cloned();
            let Some(view) = view else {
                return Some(Err(Fault::may_have_run(format!("worker {} is gone", claim.worker))));
            };
            match self.resolve(&view.info.addr, &task_id(claim), deadline).await {
                Resolution::Ended(answer) => return Some(Ok(answer)),
                Resolution::Unknown(reason) => return Some(Err(Fault::may_have_run(reason))),
                Resolution::Barred => {}
            }
            // A restarted worker has lost its record of earlier tasks.
            if self.clients.workers.usage(&view.info.addr).await.map(|u| u.boot) != Ok(claim.boot) {
                return Some(Err(Fault::may_have_run(format!("worker {} has restarted", claim.worker))));
            }
        }
        None
    }

    /// Offers a claim to all members and counts their votes until the next step is decided.
    async fn collect_votes(&self, claim: &Claim) -> (VoteTally, NextStep) {
        let mut tally = VoteTally::default();
        let members = self.state.lock().voter_count();
        if let Some(vote) = self.store_claim(claim) {
            tally.add(vote);
        }
        let mut replies = self.call_peers(&Body::Claim(claim_message(claim)));
        let vote_deadline = Instant::now() + VOTE_TIMEOUT;
        loop {
            match tally.next_step(members) {
                NextStep::Wait => {}
                next => return (tally, next),
            }
            match timeout(time_left(vote_deadline), replies.recv()).await {
                Ok(Some(Body::ClaimReply(reply))) if !reply.abstained => tally.add(Vote {
                    granted: reply.granted,
                    others: reply.others.iter().map(claim_from).collect(),
                }),
                Ok(Some(_)) => {}
                Ok(None) | Err(_) => return (tally, NextStep::Wait),
            }
        }
    }

    /// Stores a claim on this member; returns `None` while this member may not vote.
    pub(crate) fn store_claim(&self, claim: &Claim) -> Option<Vote> {
        let mut state = self.state.lock();
        if !state.claims_synced || !state.is_live() {
            return None;
        }
        let vote = state.claims.try_store(claim);
        state.claims.evict_oldest(self.settings.limits.claims);
        Some(vote)
    }
}

async fn wait_result(mut receiver: watch::Receiver<Option<KeyedResult>>, deadline: Instant) -> KeyedResult {
    let result = timeout(time_left(deadline), receiver.wait_for(Option::is_some)).await;
    match result {
        Ok(Ok(result)) => result.clone().unwrap_or_else(|| Err(Fault::may_have_run("result is lost"))),
        _ => Err(Fault::may_have_run("the first request with this key has no result yet")),
    }
}

fn task_id(claim: &Claim) -> String {
    format!("{}-{}-{:x}", claim.id, claim.round, claim.owner)
}

/// Converts a claim to its wire message.
pub(crate) fn claim_message(claim: &Claim) -> ClaimMessage {
    ClaimMessage {
        request: claim.id.clone(),
        round: claim.round,
        owner: claim.owner,
        worker: claim.worker.clone(),
        boot: claim.boot,
    }
}

/// Converts a wire message to a claim.
pub(crate) fn claim_from(message: &ClaimMessage) -> Claim {
    Claim {
        id: message.request.clone(),
        round: message.round,
        owner: message.owner,
        worker: message.worker.clone(),
        boot: message.boot,
    }
}
