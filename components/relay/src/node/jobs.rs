//! Requests of callers about jobs.
//!
//! A queue's service may change, while its jobs stay in the partitions that hold their records. So a job that the shard
//! of the queue's service does not have is looked for in all other shards before it counts as unknown.
//!
//! A new job is registered at the home of its queue, which accepts it or refers it to the shard of the queue's present
//! service. Requests for a job that come again, also by daemons with another version of the configuration, so get to the
//! same shard. The home of a queue that has never moved is the shard of its service.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use shard::JobSpec;
use tokio::time::{Instant, timeout_at};

use super::{Node, Outcome};
use crate::clock::monotonic_ms;
use crate::configuration::Queue;
use crate::mesh::MeshError;
use crate::message::{ReferRequest, Reply, ReplyKind, RequestBody};
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
/// Age in milliseconds of the oldest count of waiting jobs that may be given.
const COUNT_AGE_MS: u64 = 2_000;

/// Outcome of a submission that was sent to no shard that could accept the job.
const NOT_SUBMITTED: Outcome = Outcome::Refused { retry_ms: 0 };

/// What the home of a job's queue says of a new job.
enum Registration {
    /// The outcome of the submission.
    Ended(Outcome),
    /// This service's shard accepts the job.
    Referred(String),
    /// The job may be in the shards of these services.
    Search(Vec<String>),
}

impl Node {
    /// Submits a job to the queue at an address.
    pub async fn submit(&self, address: &str, spec: JobSpec, timeout: Duration) -> Outcome {
        let deadline = self.call_deadline(timeout);
        let Some(partition) = self.wait_for_partition(&spec.service, deadline).await else {
            return NOT_SUBMITTED;
        };
        let Some(home) = self.home(address, &spec.service, deadline).await else { return NOT_SUBMITTED };
        let strays = self.partitions().newest().strays(&spec.queue).into_iter();
        let strays = strays.filter(|p| ![home, partition].contains(p)).collect();
        if let Some(outcome) = self.outcome_elsewhere(&strays, &spec.id, deadline).await {
            return outcome;
        }
        let mut searched = false;
        loop {
            match self.register(home, partition, &spec, searched, deadline).await {
                Registration::Ended(outcome) => return outcome,
                Registration::Referred(service) => {
                    return self.submit_referred(spec, service, deadline).await;
                }
                Registration::Search(_) if searched => return NOT_SUBMITTED,
                Registration::Search(services) => {
                    let Some(partitions) = self.partitions_of(&services, deadline).await else {
                        return NOT_SUBMITTED;
                    };
                    if let Some(outcome) = self.outcome_elsewhere(&partitions, &spec.id, deadline).await {
                        return outcome;
                    }
                    searched = true;
                }
            }
        }
    }

    /// Looks for a job in shards that may have accepted it earlier. Returns the outcome of its submission, or `None` if
    /// it is in none of them.
    async fn outcome_elsewhere(
        &self,
        partitions: &BTreeSet<u32>,
        id: &str,
        deadline: Instant,
    ) -> Option<Outcome> {
        match self.find(partitions, &RequestBody::JobState(id.to_owned()), deadline).await {
            Outcome::NotFound => None,
            Outcome::State(_) => Some(Outcome::Done),
            _ => Some(NOT_SUBMITTED),
        }
    }

    /// Registers a job at the home of its queue, which accepts it if it is also the partition of its service.
    async fn register(
        &self,
        home: u32,
        partition: u32,
        spec: &JobSpec,
        searched: bool,
        deadline: Instant,
    ) -> Registration {
        let body = if home != partition {
            RequestBody::Refer(ReferRequest {
                id: spec.id.clone(),
                queue: spec.queue.clone(),
                service: spec.service.clone(),
                searched,
            })
        } else if searched {
            RequestBody::SubmitSearched(spec.clone())
        } else {
            RequestBody::Submit(spec.clone())
        };
        match self.ask_shard(home, body, deadline).await {
            Ok(mut reply) => match reply.kind() {
                ReplyKind::Referred => Registration::Referred(reply.services.pop().unwrap_or_default()),
                ReplyKind::Search => Registration::Search(reply.services),
                _ => Registration::Ended(caller_outcome(&reply).unwrap_or(Outcome::Uncertain)),
            },
            Err(outcome) => Registration::Ended(outcome),
        }
    }

    /// Submits a job to the service to which its queue's home has referred it.
    async fn submit_referred(&self, spec: JobSpec, service: String, deadline: Instant) -> Outcome {
        let partitions = self.partitions_of(std::slice::from_ref(&service), deadline).await;
        let Some(partition) = partitions.and_then(|p| p.first().copied()) else {
            return NOT_SUBMITTED;
        };
        let spec = JobSpec { service, ..spec };
        self.call_owner(partition, RequestBody::SubmitSearched(spec), deadline).await
    }

    /// Partition where the jobs of the queue at an address are registered.
    async fn home(&self, address: &str, service: &str, deadline: Instant) -> Option<u32> {
        let daemon = self.options.mesh_addr.to_string();
        match timeout_at(deadline, self.partitions().find_home(&daemon, (address, service))).await {
            Ok(Ok(home)) => home,
            Ok(Err(error)) => {
                tracing::info!(%error, address, "node: cannot register a queue");
                None
            }
            Err(_) => None,
        }
    }

    /// Partitions of services, all of which have one; `None` if one is not known in time.
    async fn partitions_of(&self, services: &[String], deadline: Instant) -> Option<BTreeSet<u32>> {
        let all =
            |map: &PartitionMap| services.iter().map(|s| map.service(s)).collect::<Option<BTreeSet<u32>>>();
        if let Some(partitions) = all(&self.partitions().newest()) {
            return Some(partitions);
        }
        all(&*self.partitions_since(monotonic_ms(), deadline).await?)
    }

    /// Cancels a job.
    pub async fn cancel(&self, service: &str, id: &str, timeout: Duration) -> Outcome {
        self.call_holder(service, &RequestBody::Cancel(id.to_owned()), timeout).await
    }

    /// Queries a job's state.
    pub async fn job_state(&self, service: &str, id: &str, timeout: Duration) -> Outcome {
        self.call_holder(service, &RequestBody::JobState(id.to_owned()), timeout).await
    }

    /// Counts a queue's waiting jobs, in all shards that have accepted some.
    pub async fn count_waiting(&self, queue: &Queue, timeout: Duration) -> Outcome {
        let deadline = self.call_deadline(timeout);
        let Some(partition) = self.wait_for_partition(&queue.service, deadline).await else {
            return Outcome::Refused { retry_ms: 0 };
        };
        let address = queue.address();
        let mut map = self.partitions().newest();
        if map.home(&address).is_none() {
            // Another daemon may have registered it when the queue was sent to another service.
            let since = monotonic_ms().saturating_sub(COUNT_AGE_MS);
            let Some(newer) = self.partitions_since(since, deadline).await else {
                return Outcome::Refused { retry_ms: 0 };
            };
            map = newer;
        }
        let mut partitions = map.strays(&queue.name);
        partitions.insert(partition);
        partitions.extend(map.home(&address));
        let (count, services) = match self.count_in(&partitions, &queue.name, deadline).await {
            Ok(counted) => counted,
            Err(outcome) => return outcome,
        };
        let Some(mut others) = self.partitions_of(&services, deadline).await else {
            return Outcome::Refused { retry_ms: 0 };
        };
        others.retain(|p| !partitions.contains(p));
        match self.count_in(&others, &queue.name, deadline).await {
            Ok((further, _)) => Outcome::Count(count + further),
            Err(outcome) => outcome,
        }
    }

    /// Counts a queue's waiting jobs in some shards, and names the services to which these have referred further ones.
    async fn count_in(
        &self,
        partitions: &BTreeSet<u32>,
        queue: &str,
        deadline: Instant,
    ) -> Result<(u64, Vec<String>), Outcome> {
        let body = RequestBody::CountWaiting(queue.to_owned());
        let calls = partitions.iter().map(|p| self.ask_shard(*p, body.clone(), deadline));
        let mut total = (0, Vec::new());
        for reply in join_all(calls).await {
            let reply = reply?;
            total.0 += reply.value;
            total.1.extend(reply.services);
        }
        Ok(total)
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

    /// Sends a request to a partition's owner, and returns its outcome for the caller.
    async fn call_owner(&self, partition: u32, body: RequestBody, deadline: Instant) -> Outcome {
        match self.ask_shard(partition, body, deadline).await {
            Ok(reply) => caller_outcome(&reply).unwrap_or(Outcome::Uncertain),
            Err(outcome) => outcome,
        }
    }

    /// Sends a request to a partition's owner, and retries until it is answered or the time is over, which has an outcome
    /// of its own.
    async fn ask_shard(
        &self,
        partition: u32,
        body: RequestBody,
        deadline: Instant,
    ) -> Result<Reply, Outcome> {
        let mut uncertain = false;
        let give_up_at = deadline.min(Instant::now() + UNREACHABLE_WAIT);
        loop {
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return Err(if uncertain { Outcome::Uncertain } else { Outcome::Refused { retry_ms: 0 } });
            }
            match self.try_owner(partition, body.clone(), (ATTEMPT_TIMEOUT, remaining)).await {
                // An earlier try without an answer may still reach the owner and be carried out.
                Ok(reply) if uncertain && reply.kind() == ReplyKind::Refused => {
                    return Err(Outcome::Uncertain);
                }
                Ok(reply) if is_answer(&reply) => return Ok(reply),
                Ok(reply) => uncertain |= reply.kind() == ReplyKind::Uncertain,
                Err(error) => uncertain |= error == MeshError::NoReply,
            }
            self.owners_stale.notify_one();
            if !uncertain && Instant::now() >= give_up_at {
                return Err(Outcome::Refused { retry_ms: 0 });
            }
            tokio::time::sleep(RETRY_PAUSE.min(remaining)).await;
        }
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

/// Whether a reply answers the request of a caller; otherwise the request is to be retried.
fn is_answer(reply: &Reply) -> bool {
    matches!(reply.kind(), ReplyKind::Referred | ReplyKind::Search) || caller_outcome(reply).is_some()
}

/// Outcome for the caller; `None` if the reply has none.
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
        | ReplyKind::Referred
        | ReplyKind::Search
        | ReplyKind::Uncertain => None,
    }
}
