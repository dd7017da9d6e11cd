//! Logs and metrics of accepted jobs that have a ready task and nothing running.

use std::time::Duration;

use shard::{Obstacle, Standstill};

/// Time in milliseconds after which a standstill is logged; a wait for a machine to arrive is shorter.
const LOG_AFTER_MS: u64 = 3_000;

/// Reports the longest standstill of a shard, with what holds the job; `None` if there is none.
pub fn report(partition: u32, standstill: Option<&Standstill>) {
    for obstacle in Obstacle::ALL {
        let elapsed = standstill.filter(|s| s.obstacle == obstacle).map_or(0, |s| s.elapsed);
        let labels = [("part", partition.to_string()), ("why", obstacle.label().to_owned())];
        metrics::gauge!("lagoonrelay_standstill_seconds", &labels)
            .set(Duration::from_millis(elapsed).as_secs_f64());
    }
    let Some(found) = standstill.filter(|s| s.elapsed >= LOG_AFTER_MS) else { return };
    tracing::info!(
        part = partition,
        task = %found.task,
        customer = %found.customer,
        ms = found.elapsed,
        jobs = found.jobs,
        why = found.obstacle.label(),
        needed = ?found.needed,
        quota = ?found.quota,
        used = ?found.used,
        workers = ?found.workers,
        "owner: job at a standstill"
    );
}
