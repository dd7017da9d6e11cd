//! Observed state of the workers: the platform's host list, boot ids, and ejection of failing workers.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

use edge::HostInfo;

use crate::node::Node;
use crate::state::{State, WorkerView};

/// Time for which a read of the host list is valid.
const HOST_LIST_TTL: Duration = Duration::from_secs(5);
/// Time after which a worker absent from the host list is considered gone.
const MISSING_GRACE: Duration = Duration::from_secs(10);

/// Reads the host list periodically until the node stops.
pub async fn run(node: Arc<Node>) {
    let ticks = node.timer.every(Duration::from_millis(node.settings.timing.list_ms));
    loop {
        match node.clients.host_list.hosts().await {
            Ok(hosts) => apply_host_list(&mut node.state.lock(), hosts),
            Err(fault) => tracing::warn!("workers: cannot read the host list: {fault}"),
        }
        probe_ejected(&node);
        node.dispatch_wake.notify_one();
        ticks.tick().await;
    }
}

/// Probes the workers whose ejection time is over, each in a task of its own.
fn probe_ejected(node: &Arc<Node>) {
    let now = Instant::now();
    let due_workers: Vec<WorkerView> =
        node.state.lock().workers.values().filter(|w| w.probe_due(now)).cloned().collect();
    for view in due_workers {
        let node = Arc::clone(node);
        tokio::spawn(async move {
            let answered = node.clients.workers.usage(&view.info.addr).await.is_ok();
            if let Some(view) = node.state.lock().workers.get_mut(&view.info.name) {
                view.record_probe(Instant::now(), answered);
            }
        });
    }
}

impl State {
    /// True if the host list was read recently and every pool worker absent from it is considered gone.
    ///
    /// The list lags behind, so a worker that was just assigned to a pool may be absent for a while.
    #[must_use]
    pub fn knows_all_workers(&self, now: Instant) -> bool {
        let is_recent = self.listed_at.is_some_and(|at| now.saturating_duration_since(at) < HOST_LIST_TTL);
        is_recent && self.missing.values().all(|since| now.saturating_duration_since(*since) > MISSING_GRACE)
    }

    /// True if a worker has been absent from the host list for so long that its tasks have ended, or if it
    /// belongs to no pool any more.
    pub(crate) fn is_gone(&self, worker: &str, now: Instant) -> bool {
        !self.tables.hosts.contains_key(worker)
            || self
                .missing
                .get(worker)
                .is_some_and(|since| now.saturating_duration_since(*since) > MISSING_GRACE)
    }

    fn track_missing(&mut self, names: &BTreeSet<String>, now: Instant) {
        self.listed_at = Some(now);
        let (tables, missing) = (&self.tables, &mut self.missing);
        missing.retain(|name, _| tables.hosts.contains_key(name) && !names.contains(name));
        for name in tables.hosts.keys().filter(|name| !names.contains(*name)) {
            missing.entry(name.clone()).or_insert(now);
        }
    }
}

fn apply_host_list(state: &mut State, hosts: Vec<HostInfo>) {
    let names: BTreeSet<String> = hosts.iter().map(|h| h.name.clone()).collect();
    state.track_missing(&names, Instant::now());
    state.workers.retain(|name, view| names.contains(name) || view.inflight > 0);
    for (name, view) in &mut state.workers {
        view.listed = names.contains(name);
    }
    for info in hosts {
        match state.workers.get_mut(&info.name) {
            Some(view) if view.info.addr == info.addr => view.info = info,
            _ => {
                state.workers.insert(info.name.clone(), WorkerView::new(info));
            }
        }
    }
}

impl Node {
    /// Boot id of a worker; requested once and again after a failure.
    pub(crate) async fn worker_boot(&self, worker: &str, addr: &str) -> Option<u64> {
        let known = self.state.lock().workers.get(worker).and_then(|w| w.boot);
        if known.is_some() {
            return known;
        }
        let usage = self.clients.workers.usage(addr).await.ok()?;
        if let Some(view) = self.state.lock().workers.get_mut(worker) {
            view.boot = Some(usage.boot);
            view.reported_load = Some((usage.running, Instant::now()));
        }
        Some(usage.boot)
    }

    /// Records whether a worker answered, and the number of running tasks that it reported.
    pub(crate) fn record_answer(&self, worker: &str, ok: bool, running: Option<u32>) {
        let now = Instant::now();
        let mut state = self.state.lock();
        let Some(view) = state.workers.get_mut(worker) else {
            return;
        };
        if let Some(running) = running {
            view.reported_load = Some((running, now));
        }
        if ok {
            view.record_success();
        } else {
            view.record_failure(now);
            view.boot = None;
        }
    }

    /// Records that a worker refused a task because it had no free slot.
    pub(crate) fn record_full(&self, worker: &str) {
        if let Some(view) = self.state.lock().workers.get_mut(worker) {
            view.reported_load = Some((view.info.slots, Instant::now()));
        }
    }
}
