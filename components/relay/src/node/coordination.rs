//! Requests between the coordinator and the owners of shards.
//!
//! Their answers decide whether accepted jobs start, so none is given up for being late: a request waits as long as
//! the other daemon's answers take, or until another daemon owns the partition.

use std::net::SocketAddr;
use std::time::Duration;

use capacity::PoolLoad;
use quota::Broker;
use tokio::time::timeout;

use super::Node;
use crate::clock::monotonic_ms;
use crate::message::{LoadRequest, QuotaReport, Reply, ReplyKind, RequestBody};

/// Usual time limit for the answer of another daemon, many times a round trip between zones. After it the owners are
/// read again.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);

impl Node {
    /// Sends a request to a partition's owner and waits for its answer, for at most `most`; `None` if there is none, or
    /// if the partition gets another owner.
    async fn ask_owner(&self, partition: u32, body: RequestBody, most: Duration) -> Option<Reply> {
        let owner = self.owners.borrow().get(&partition).copied();
        let reply = tokio::select! {
            reply = self.try_owner(partition, body, (ANSWER_TIMEOUT.min(most), most)) => reply.ok(),
            () = self.owner_replaced(partition, owner) => None,
        };
        if reply.as_ref().is_none_or(|r| r.kind() == ReplyKind::NotOwner) {
            self.owners_stale.notify_one();
        }
        reply
    }

    /// Waits until a partition has another owner than this one, and has the owners read again meanwhile.
    async fn owner_replaced(&self, partition: u32, owner: Option<SocketAddr>) {
        let mut owners = self.owners.subscribe();
        while timeout(ANSWER_TIMEOUT, owners.wait_for(|o| o.get(&partition).copied() != owner)).await.is_err()
        {
            self.owners_stale.notify_one();
        }
    }

    /// Reports a shard's quotas to the coordinator; the reply has the new ones.
    pub(crate) async fn report_quota(&self, report: QuotaReport) -> Option<Reply> {
        let body = RequestBody::Quota(report);
        let reply = self.ask_owner(self.coordinator_partition(), body, Duration::MAX).await?;
        (reply.kind() == ReplyKind::Quota).then_some(reply)
    }

    /// Answers a shard's report with its new quotas while this daemon is the coordinator.
    pub(super) fn divide_quota(&self, partition: u32, report: QuotaReport) -> Reply {
        let coordinator = self.coordinator.lock().as_ref().map(|c| (c.epoch, c.started_at));
        let (Some((epoch, started_at)), Some(config)) = (coordinator, self.config()) else {
            return Reply::of(ReplyKind::NotOwner);
        };
        // Shards that an older read lacks may hold quota.
        let Some(partitions) = self.partitions.newest_since(started_at) else {
            self.partitions_stale.notify_one();
            return Reply::of(ReplyKind::NotOwner);
        };
        if !self.holds_partition(partition, epoch) {
            return Reply::of(ReplyKind::NotOwner);
        }
        let mut slot = self.broker.lock();
        if slot.0 != epoch {
            *slot = (epoch, Broker::default());
        }
        slot.1.configure(config.customer_limits(), partitions.partitions());
        slot.1
            .handle_report(monotonic_ms(), &report.into())
            .map_or(Reply::of(ReplyKind::NotOwner), Reply::quota)
    }

    /// Requests the load of a service's workers, and tells the shard which of them are due for maintenance.
    pub async fn service_load(&self, request: LoadRequest) -> Option<PoolLoad> {
        let service = request.service.clone();
        let partition = self.partition_of(&service)?;
        let load = self.ask_owner(partition, RequestBody::Load(request), Duration::MAX).await?.load?;
        Some(load.into_pool_load(service))
    }

    /// Uncordons a worker at its shard. The answer tells nothing that is needed, so it is not waited for long.
    pub async fn uncordon_worker(&self, service: &str, worker: &str) {
        let Some(partition) = self.partition_of(service) else { return };
        let body = RequestBody::UncordonWorker(worker.to_owned());
        if self.ask_owner(partition, body, ANSWER_TIMEOUT).await.is_none() {
            tracing::info!(worker, "node: uncordoning a worker was not answered");
        }
    }

    /// Cordons a worker at its shard and counts its remaining runs; `None` if the count is unknown. An answer that
    /// comes later than `within` would be of no use.
    pub async fn cordon_worker(&self, service: &str, worker: &str, within: Duration) -> Option<usize> {
        let body = RequestBody::CordonWorker(worker.to_owned());
        let reply = self.ask_owner(self.partition_of(service)?, body, within).await?;
        (reply.kind() == ReplyKind::Count).then(|| usize::try_from(reply.value).unwrap_or(usize::MAX))
    }
}
