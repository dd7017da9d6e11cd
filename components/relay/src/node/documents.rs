//! Exchange of the operators' documents between daemons, for those that cannot read them from the store.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::MissedTickBehavior;

use super::Node;
use crate::desired_state::DesiredState;
use crate::in_flight::InFlight;
use crate::message::{Reply, ReplyKind, RequestBody};

/// Pause between queries to peers while the store does not answer.
const PEER_QUERY_INTERVAL: Duration = Duration::from_millis(200);
/// Usual time limit for such a query.
const PEER_QUERY_TIMEOUT: Duration = Duration::from_millis(200);

impl Node {
    /// Known peers: the owners of partitions, and daemons that have sent requests to this one.
    #[must_use]
    pub fn peers(&self) -> Vec<SocketAddr> {
        let mut peers = self.known_peers.lock().clone();
        peers.extend(self.owners.borrow().values());
        peers.remove(&self.options.mesh_addr);
        peers.into_iter().collect()
    }

    /// Replies to a peer with the operators' documents if they are newer than its offset.
    pub(super) fn newer_documents(&self, offset: u64) -> Reply {
        let desired = self.desired.borrow();
        if desired.offset <= offset {
            return Reply::of(ReplyKind::NotFound);
        }
        match serde_json::to_string(&*desired) {
            Ok(json) => Reply { json, ..Reply::of(ReplyKind::Documents) },
            Err(error) => {
                tracing::warn!(%error, "node: cannot encode documents");
                Reply::of(ReplyKind::Unspecified)
            }
        }
    }

    /// While the store does not answer, queries the peers in turn for newer documents.
    pub(super) async fn fetch_peer_documents(self: Arc<Self>, desired: Arc<watch::Sender<DesiredState>>) {
        let mut next_peer = 0;
        let mut queries = InFlight::default();
        let mut interval = tokio::time::interval(PEER_QUERY_INTERVAL);
        interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                newer = queries.next() => {
                    if let Some(newer) = newer {
                        desired.send_if_modified(|d| d.merge(newer));
                    }
                    continue;
                }
                _ = interval.tick() => {}
            }
            let (stale, offset) = {
                let desired = self.desired.borrow();
                (desired.is_stale(), desired.offset)
            };
            if !stale {
                continue;
            }
            let peers = self.peers();
            let Some(&peer) = peers.get(next_peer % peers.len().max(1)) else { continue };
            next_peer += 1;
            if !queries.contains(&peer) {
                let node = Arc::clone(&self);
                queries.start(peer, async move { node.peer_documents(peer, offset).await });
            }
        }
    }

    /// Documents of a peer that are newer than this offset.
    async fn peer_documents(&self, peer: SocketAddr, offset: u64) -> Option<DesiredState> {
        let limits = (PEER_QUERY_TIMEOUT, Duration::MAX);
        let reply = self.mesh.request(peer, 0, RequestBody::Documents(offset), limits).await.ok()?;
        if reply.kind() != ReplyKind::Documents {
            return None;
        }
        serde_json::from_str(&reply.json)
            .inspect_err(|error| tracing::warn!(%error, "node: cannot decode documents of another daemon"))
            .ok()
    }
}
