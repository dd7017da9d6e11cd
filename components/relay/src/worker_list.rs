//! The platform's list of workers, read periodically while this daemon owns a shard.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use shard::WorkerInfo;
use tokio::sync::watch;

use crate::clock::monotonic_ms;
use crate::platform::Store;

/// Pause between reads; a tenth of the time within which the loss of a worker has to be noticed.
const READ_INTERVAL: Duration = Duration::from_millis(200);
/// Time in milliseconds after which a worker without an entry is removed. Entries that expire during an
/// outage of the store are back within two seconds of its end.
const REMOVAL_GRACE_MS: u64 = 2_500;

/// Workers by id; `None` until the list has been read, and while it is not needed.
pub type WorkerList = Option<Arc<HashMap<String, WorkerInfo>>>;

/// Reads the list while it is needed, until the process ends.
pub async fn run(
    store: Arc<dyn Store>,
    worker_list: watch::Sender<WorkerList>,
    mut needed: watch::Receiver<bool>,
) {
    let mut workers: HashMap<String, WorkerInfo> = HashMap::new();
    let mut missing_since: HashMap<String, u64> = HashMap::new();
    let mut next = None;
    let mut disconnected = false;
    loop {
        if !*needed.borrow_and_update() {
            // The list is too old to be used for the next shard. `workers` stays, to find those that leave
            // meanwhile.
            worker_list.send_replace(None);
            if needed.changed().await.is_err() {
                return;
            }
            continue;
        }
        match store.read_workers(next).await {
            Ok(changes) => {
                if disconnected {
                    tracing::info!("roster: worker list is readable again");
                }
                disconnected = false;
                let mut changed = false;
                if changes.snapshot {
                    let listed: Vec<&String> = changes.entries.iter().map(|(k, _)| k).collect();
                    let now = monotonic_ms();
                    for id in workers.keys().filter(|id| !listed.contains(id)) {
                        missing_since.entry(id.clone()).or_insert(now);
                    }
                }
                for (id, entry) in changes.entries {
                    match entry {
                        Some(info) => {
                            missing_since.remove(&id);
                            changed |= workers.get(&id) != Some(&info);
                            workers.insert(id, info);
                        }
                        None => {
                            missing_since.entry(id).or_insert_with(monotonic_ms);
                        }
                    }
                }
                let now = monotonic_ms();
                missing_since.retain(|id, since| {
                    let keep = now < *since + REMOVAL_GRACE_MS;
                    if !keep {
                        tracing::info!(worker = %id, "roster: worker removed");
                        changed |= workers.remove(id).is_some();
                    }
                    keep
                });
                if changed || worker_list.borrow().is_none() {
                    worker_list.send_replace(Some(Arc::new(workers.clone())));
                }
                next = Some(changes.next_offset);
            }
            Err(error) => {
                if !disconnected {
                    tracing::warn!(%error, "roster: cannot read the worker list");
                }
                disconnected = true;
            }
        }
        tokio::select! {
            () = tokio::time::sleep(READ_INTERVAL) => {}
            changed = needed.changed() => if changed.is_err() { return },
        }
    }
}
