//! Group commit: proposed operations are batched into log entries, with one append in flight at a time.
//!
//! An append is repeated with the same sequence number until the entry has been applied here, so a lost answer
//! has no effect.

use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

use edge::wall_ms;
use fold::{Entry, Operation, Outcome, Refusal};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep_until, timeout};

use crate::node::Node;
use crate::state::PendingAppend;

const MAX_BATCH_ACTS: usize = 256;
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Time to wait for an appended entry to be applied before it is appended again.
const APPLY_TIMEOUT: Duration = Duration::from_secs(2);

const QUEUED: u8 = 0;
const SENT: u8 = 1;
const WITHDRAWN: u8 = 2;

/// An operation to be written to the log.
#[derive(Debug)]
pub struct Proposal {
    operation: Operation,
    status: Arc<AtomicU8>,
    reply: oneshot::Sender<Outcome>,
}

/// State of a proposal at the end of its wait.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CommitResult {
    /// The entry was applied with this outcome.
    Done(Outcome),
    /// It was withdrawn before it was sent and will have no effect.
    Withdrawn,
    /// It was sent and may still reach the log.
    Sent,
}

impl Node {
    /// Proposes an operation and waits up to `wait` for its outcome.
    pub async fn propose(&self, operation: Operation, wait: Duration) -> CommitResult {
        let status = Arc::new(AtomicU8::new(QUEUED));
        let (reply, outcome) = oneshot::channel();
        let proposal = Proposal { operation, status: Arc::clone(&status), reply };
        if self.proposals.send(proposal).is_err() {
            return CommitResult::Withdrawn;
        }
        match timeout(wait, outcome).await {
            Ok(Ok(outcome)) => CommitResult::Done(outcome),
            _ => match status.compare_exchange(QUEUED, WITHDRAWN, Ordering::SeqCst, Ordering::SeqCst) {
                Ok(_) => CommitResult::Withdrawn,
                Err(_) => CommitResult::Sent,
            },
        }
    }

    /// Proposes an operation without waiting for its outcome.
    pub fn propose_detached(&self, operation: Operation) {
        let (reply, _) = oneshot::channel();
        let _ = self.proposals.send(Proposal { operation, status: Arc::default(), reply });
    }
}

/// Appends batches of proposals until the node stops.
pub async fn run(node: Arc<Node>, mut proposals: mpsc::UnboundedReceiver<Proposal>) {
    let interval = Duration::from_millis(node.settings.timing.append_ms);
    let mut seq = 0;
    while let Some(first) = proposals.recv().await {
        let started_at = Instant::now();
        let batch = collect_batch(first, &mut proposals);
        if batch.is_empty() {
            continue;
        }
        seq += 1;
        let outcomes = append_batch(&node, seq, batch.iter().map(|p| p.operation.clone()).collect()).await;
        for (proposal, outcome) in batch.into_iter().zip(outcomes) {
            let _ = proposal.reply.send(outcome);
        }
        sleep_until(started_at + interval).await;
    }
}

fn collect_batch(first: Proposal, proposals: &mut mpsc::UnboundedReceiver<Proposal>) -> Vec<Proposal> {
    let mut batch = vec![first];
    while batch.len() < MAX_BATCH_ACTS {
        let Ok(next) = proposals.try_recv() else { break };
        batch.push(next);
    }
    let mark_sent =
        |p: &Proposal| p.status.compare_exchange(QUEUED, SENT, Ordering::SeqCst, Ordering::SeqCst).is_ok();
    batch.into_iter().filter(mark_sent).collect()
}

async fn append_batch(node: &Node, seq: u64, operations: Vec<Operation>) -> Vec<Outcome> {
    let count = operations.len();
    let (sender, mut receiver) = oneshot::channel();
    node.state.lock().pending_append = Some(PendingAppend { seq, outcomes: sender });
    let entry = Entry { by: node.incarnation, seq, written_ms: wall_ms(), operations };
    let Ok(text) = serde_json::to_string(&entry) else {
        return vec![Outcome::Refused(Refusal::InvalidState("entry cannot be written".into())); count];
    };
    loop {
        if node.state.lock().is_fenced() {
            return vec![Outcome::Refused(Refusal::Fenced); count];
        }
        let wait = match node.clients.log.append(&text).await {
            Ok(_) => APPLY_TIMEOUT,
            Err(fault) => {
                tracing::warn!("append: the log has not confirmed the append; retrying: {fault}");
                RETRY_DELAY
            }
        };
        node.tail_wake.notify_one();
        match timeout(wait, &mut receiver).await {
            Ok(Ok(outcomes)) => return outcomes,
            Ok(Err(_)) => return vec![Outcome::Refused(Refusal::Fenced); count],
            Err(_) => {}
        }
    }
}
