//! Log and metric of rounds in which machines did not suffice for all pools that were short.

use capacity::{PoolLoad, Shortage};

use crate::configuration::Pool;

/// Logs a round with shortages, and sets the unmet shortfall of each pool with a load.
pub fn report(loads: &[PoolLoad], shortages: &[Shortage]) {
    for load in loads {
        let unmet = shortages.iter().find(|s| s.pool == load.name).map_or(0, |s| s.unmet);
        set_unmet(&load.name, unmet);
    }
    if !shortages.is_empty() {
        let pools = describe(shortages);
        tracing::info!(%pools, "duty: too few machines for the pools that are short");
    }
}

/// Clears the shortfalls when this daemon stops being the coordinator, so that only one daemon shows them.
pub fn clear(pools: &[Pool]) {
    for pool in pools.iter().filter(|p| !p.spare) {
        set_unmet(&pool.name, 0);
    }
}

/// Sets the unmet shortfall of a pool, given in thousandths of a core and shown in cores.
fn set_unmet(pool: &str, unmet: u64) {
    #[expect(clippy::cast_precision_loss, reason = "CPU of a pool, far below 2^52")]
    let cores = unmet as f64 / 1_000.0;
    metrics::gauge!("lagoonrelay_pool_unmet_cores", "pool" => pool.to_owned()).set(cores);
}

/// One entry for each pool: name, priority, and in thousandths of a core what it lacked and still lacks.
fn describe(shortages: &[Shortage]) -> String {
    let entry = |s: &Shortage| {
        let Shortage { pool, priority, shortfall, unmet, machines } = s;
        format!("{pool} priority={priority} lacks={shortfall} gets={machines} unmet={unmet}")
    };
    shortages.iter().map(entry).collect::<Vec<_>>().join("; ")
}
