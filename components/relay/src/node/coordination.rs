//! Requests between the coordinator and the owners of shards.

use std::time::Duration;

use capacity::PoolLoad;
use quota::Broker;

use super::Node;
use crate::clock::monotonic_ms;
use crate::message::{LoadReply, LoadRequest, QuotaReport, Reply, ReplyKind, RequestBody};

impl Node {
    /// Reports a shard's quotas to the coordinator; the reply has the new ones.
    pub(crate) async fn report_quota(&self, report: QuotaReport, timeout: Duration) -> Option<Reply> {
        let partition = self.coordinator_partition();
        let reply = self.try_owner(partition, RequestBody::Quota(report), timeout).await.ok();
        let reply = reply.filter(|r| r.kind() == ReplyKind::Quota);
        if reply.is_none() {
            self.owners_stale.notify_one();
        }
        reply
    }

    /// Answers a shard's report with its new quotas while this daemon is the coordinator.
    pub(super) fn divide_quota(&self, partition: u32, report: QuotaReport) -> Reply {
        let epoch = self.coordinator.lock().as_ref().map(|(e, _)| *e);
        let (Some(epoch), Some(config), Some(partition_map)) = (epoch, self.config(), self.partition_map())
        else {
            return Reply::of(ReplyKind::NotOwner);
        };
        if !self.holds_partition(partition, epoch) {
            return Reply::of(ReplyKind::NotOwner);
        }
        let mut slot = self.broker.lock();
        if slot.0 != epoch {
            *slot = (epoch, Broker::default());
        }
        let shards = partition_map.values().copied().collect();
        slot.1.configure(config.customer_limits(), shards);
        slot.1
            .handle_report(monotonic_ms(), &report.into())
            .map_or(Reply::of(ReplyKind::NotOwner), Reply::quota)
    }

    /// Requests the load of a service's workers, and tells the shard which of them are due for maintenance.
    pub async fn service_load(&self, request: LoadRequest, timeout: Duration) -> Option<PoolLoad> {
        let service = request.service.clone();
        let body = RequestBody::Load(request);
        let load = self.try_owner(self.partition_of(&service)?, body, timeout).await.ok()?.load?;
        let LoadReply { demand, used, capacity, idle, expected, lacking } = load;
        Some(PoolLoad {
            name: service,
            pending_cpu: demand,
            used_cpu: used,
            expected_cpu: expected,
            cpu_capacity: capacity,
            lacking_workers: lacking,
            idle_workers: idle,
        })
    }

    /// Uncordons a worker at its shard.
    pub async fn uncordon_worker(&self, service: &str, worker: &str, timeout: Duration) {
        let Some(partition) = self.partition_of(service) else { return };
        if self.try_owner(partition, RequestBody::UncordonWorker(worker.to_owned()), timeout).await.is_err() {
            tracing::info!(worker, "node: cannot uncordon worker");
        }
    }

    /// Cordons a worker at its shard and counts its remaining runs; `None` if the count is unknown.
    pub async fn cordon_worker(&self, service: &str, worker: &str, timeout: Duration) -> Option<usize> {
        let body = RequestBody::CordonWorker(worker.to_owned());
        let reply = self.try_owner(self.partition_of(service)?, body, timeout).await.ok()?;
        (reply.kind() == ReplyKind::Count).then(|| usize::try_from(reply.value).unwrap_or(usize::MAX))
    }
}
