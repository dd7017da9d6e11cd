//! Requests of callers about jobs.
//!
//! A queue's service may change, while its jobs stay in the partitions that hold their records. So a job that the shard
//! of the queue's service does not have is looked for in all other shards before it counts as unknown.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use shard::JobSpec;
use tokio::time::{Instant, timeout_at};

use super::{Node, Outcome};
use crate::clock::monotonic_ms;
use crate::mesh::MeshError;
use crate::message::{Reply, ReplyKind, RequestBody};
use crate::partition_map::PartitionMap;

/// Pause between two attempts to reach a shard's owner.
const RETRY_PAUSE: Duration = Duration::from_millis(60);
/// Time after which a request is refused if it has not reached the shard's owner. A change of owner takes
/// longer, so a longer wait would only delay the caller.
const UNREACHABLE_WAIT: Duration = Duration::from_millis(300);
/// Usual time limit for one attempt to reach an owner, within the caller's time limit.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(700);
/// Age in milliseconds up to which the partitions read last tell where a job may be. A job is known everywhere within
/// three times as long.
const PARTITIONS_AGE_MS: u64 = 1_000;

impl Node {
    /// Submits a job.
    pub async fn submit(&self, spec: JobSpec, timeout: Duration) -> Outcome {
        let deadline = self.call_deadline(timeout);
        let Some(partition) = self.wait_for_partition(&spec.service, deadline).await else {
            return Outcome::Refused { retry_ms: 0 };
        };
        let mut strays = self.partitions().newest().strays(&spec.queue);
        strays.remove(&partition);
        match self.find(&strays, &RequestBody::JobState(spec.id.clone()), deadline).await {
            Outcome::NotFound => self.call_owner(partition, RequestBody::Submit(spec), deadline).await,
            Outcome::State(_) => Outcome::Done,
            // Nothing was submitted.
            _ => Outcome::Refused { retry_ms: 0 },
        }
    }

    /// Cancels a job.
    pub async fn cancel(&self, service: &str, id: &str, timeout: Duration) -> Outcome {
        self.call_holder(service, &RequestBody::Cancel(id.to_owned()), timeout).await
    }

    /// Queries a job's state.
    pub async fn job_state(&self, service: &str, id: &str, timeout: Duration) -> Outcome {
        self.call_holder(service, &RequestBody::JobState(id.to_owned()), timeout).await
    }

    /// Counts a queue's waiting jobs.
    pub async fn count_waiting(&self, service: &str, queue: &str, timeout: Duration) -> Outcome {
        let deadline = self.call_deadline(timeout);
        let Some(partition) = self.wait_for_partition(service, deadline).await else {
            return Outcome::Refused { retry_ms: 0 };
        };
        let mut partitions = self.partitions().newest().strays(queue);
        partitions.insert(partition);
        let body = RequestBody::CountWaiting(queue.to_owned());
        let calls = partitions.into_iter().map(|p| self.call_owner(p, body.clone(), deadline));
        join_all(calls).await.into_iter().fold(Outcome::Count(0), add_counts)
    }

    /// Sends a request about a job to the shard that holds it, first to that of its queue's service.
    async fn call_holder(&self, service: &str, body: &RequestBody, timeout: Duration) -> Outcome {
        let deadline = self.call_deadline(timeout);
        let first = self.partition_of(service);
        if let Some(partition) = first {
            let outcome = self.call_owner(partition, body.clone(), deadline).await;
            if outcome != Outcome::NotFound {
                return outcome;
            }
        }
        // A daemon with another version of the configuration may have accepted it for a service that is unknown here.
        let since = monotonic_ms().saturating_sub(PARTITIONS_AGE_MS);
        let Some(map) = self.partitions_since(since, deadline).await else {
            return Outcome::Refused { retry_ms: 0 };
        };
        let others = map.partitions().into_iter().filter(|p| Some(*p) != first).collect();
        self.find(&others, body, deadline).await
    }

    /// Sends a request about a job to the owners of several partitions, of which at most one holds the job.
    async fn find(&self, partitions: &BTreeSet<u32>, body: &RequestBody, deadline: Instant) -> Outcome {
        let calls = partitions.iter().map(|p| self.call_owner(*p, body.clone(), deadline));
        join_all(calls).await.into_iter().fold(Outcome::NotFound, first_found)
    }

    /// Partitions from a read that began at a monotonic time or later; `None` if there is none in time, or if no
    /// partition is assigned yet.
    async fn partitions_since(&self, since: u64, deadline: Instant) -> Option<Arc<PartitionMap>> {
        match timeout_at(deadline, self.partitions().read_since(since)).await {
            Ok(Ok(map)) => Some(map).filter(|m| !m.is_empty()),
            Ok(Err(error)) => {
                tracing::info!(%error, "node: cannot read the partitions of services");
                None
            }
            Err(_) => None,
        }
    }

    /// Partition of a service; `None` if it is not assigned within the time for an owner that is not reached.
    async fn wait_for_partition(&self, service: &str, deadline: Instant) -> Option<u32> {
        let deadline = deadline.min(Instant::now() + UNREACHABLE_WAIT);
        let mut maps = self.partitions().subscribe();
        let map = timeout_at(deadline, maps.wait_for(|m| m.service(service).is_some())).await;
        map.ok()?.ok()?.service(service)
    }

    /// Time until which a request of a caller is served.
    fn call_deadline(&self, timeout: Duration) -> Instant {
        let deadline = Instant::now() + timeout;
        self.drain_deadline.lock().map_or(deadline, |drain| deadline.min(drain))
    }

    /// Sends a request to a partition's owner, and retries until it succeeds or the time is over.
    async fn call_owner(&self, partition: u32, body: RequestBody, deadline: Instant) -> Outcome {
        let mut uncertain = false;
        let give_up_at = deadline.min(Instant::now() + UNREACHABLE_WAIT);
        loop {
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return if uncertain { Outcome::Uncertain } else { Outcome::Refused { retry_ms: 0 } };
            }
            match self.try_owner(partition, body.clone(), (ATTEMPT_TIMEOUT, remaining)).await {
                Ok(reply) => {
                    if let Some(outcome) = caller_outcome(&reply) {
                        return if uncertain { after_lost_try(outcome) } else { outcome };
                    }
                    uncertain |= reply.kind() == ReplyKind::Uncertain;
                }
                Err(error) => uncertain |= error == MeshError::NoReply,
            }
            self.owners_stale.notify_one();
            if !uncertain && Instant::now() >= give_up_at {
                return Outcome::Refused { retry_ms: 0 };
            }
            tokio::time::sleep(RETRY_PAUSE.min(remaining)).await;
        }
    }
}

/// Outcome for the caller after an earlier try without an answer. That try may still reach the owner and be
/// carried out, so a refusal of the last try is not the last word.
const fn after_lost_try(outcome: Outcome) -> Outcome {
    match outcome {
        Outcome::Refused { .. } => Outcome::Uncertain,
        outcome => outcome,
    }
}

/// Of two outcomes of a request that at most one shard can carry out, the one that tells more. A job is unknown only
/// if no shard has it.
const fn first_found(a: Outcome, b: Outcome) -> Outcome {
    match (a, b) {
        (Outcome::NotFound, b) => b,
        (a, Outcome::NotFound) => a,
        (Outcome::Refused { .. }, b) => b,
        (a, Outcome::Refused { .. }) => a,
        (Outcome::Uncertain, b) => b,
        (a, _) => a,
    }
}

/// Sum of two counts, or the outcome of the one that failed.
const fn add_counts(a: Outcome, b: Outcome) -> Outcome {
    match (a, b) {
        (Outcome::Count(a), Outcome::Count(b)) => Outcome::Count(a + b),
        (Outcome::Count(_), failed) | (failed, _) => failed,
    }
}

/// Outcome for the caller; `None` if the request is to be retried.
fn caller_outcome(reply: &Reply) -> Option<Outcome> {
    match reply.kind() {
        ReplyKind::Done => Some(Outcome::Done),
        ReplyKind::Refused => Some(Outcome::Refused { retry_ms: reply.value }),
        ReplyKind::NotFound => Some(Outcome::NotFound),
        ReplyKind::State => reply.as_job_state().map(Outcome::State),
        ReplyKind::Count => Some(Outcome::Count(reply.value)),
        ReplyKind::Unspecified
        | ReplyKind::Quota
        | ReplyKind::Load
        | ReplyKind::Documents
        | ReplyKind::NotOwner
        | ReplyKind::Uncertain => None,
    }
}
