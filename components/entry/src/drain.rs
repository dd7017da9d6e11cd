//! Graceful shutdown: refuse new requests, finish open ones, give units to peers, and leave the membership.

use std::sync::Arc;
use std::time::{Duration, Instant};

use events::Event;
use fold::Operation;
use tokio::sync::watch;

use crate::node::{Node, time_left};

const POLL_INTERVAL: Duration = Duration::from_millis(20);
const LEAVE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for load balancers to notice that this host is not ready before its listener closes.
const BALANCER_NOTICE_TIME: Duration = Duration::from_millis(500);

/// Waits for the first signal, then drains; a second signal or the deadline ends the drain early.
pub async fn run(node: Arc<Node>, mut stop: watch::Receiver<u32>) {
    if stop.wait_for(|signals| *signals > 0).await.is_err() {
        std::future::pending::<()>().await;
    }
    let deadline = Instant::now() + Duration::from_millis(node.settings.timing.drain_ms);
    node.state.lock().leaving = true;
    node.heartbeat_wake.notify_one();
    node.record_event(Event { kind: "leaving".into(), ..Event::default() });
    tracing::info!("drain: refusing new requests");
    tokio::select! {
        () = wait_until_idle(&node, deadline) => {}
        _ = stop.wait_for(|signals| *signals > 1) => tracing::warn!("drain: ended early by a second signal"),
    }
    let unfinished = node.state.lock().open_requests;
    if unfinished > 0 {
        tracing::warn!("drain: {unfinished} open requests were not finished");
    }
    node.propose(Operation::Leave, LEAVE_TIMEOUT).await;
    tracing::info!("drain: done");
}

async fn wait_until_idle(node: &Node, deadline: Instant) {
    tokio::time::sleep(BALANCER_NOTICE_TIME).await;
    while time_left(deadline) > Duration::ZERO {
        if node.state.lock().open_requests == 0 {
            return;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
