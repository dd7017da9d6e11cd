//! Time for a fresh entry host to serve, at one and ten times the state.

use std::time::Instant;

use serde::Serialize;
use trial::fleet::{Fleet, Plan};

use super::{Settings, Spread, row, spread};

const TEAMS: u32 = 20;

#[derive(Debug, Serialize)]
struct Row {
    experiment: &'static str,
    times: u32,
    teams: u32,
    log_entries: u64,
    trials: usize,
    seconds: Spread,
}

/// Restarts the last host after a kill, several times at each size.
pub async fn run(settings: &Settings) {
    for times in [1, 10] {
        let mut fleet = Fleet::start(Plan::new(&settings.program)).await;
        fleet.set_up(&[("a", 1, 32)], 2).await;
        let lines: Vec<String> =
            (0..TEAMS * times).map(|n| format!("set team team-{n} share 1 limit 10")).collect();
        fleet.order_many(0, &lines).await;
        let mut seconds = Vec::new();
        for _ in 0..settings.trials {
            if let Some(process) = &mut fleet.entries[2].process {
                process.kill();
            }
            let begun = Instant::now();
            fleet.start_entry(2);
            fleet.wait_ready(2).await;
            seconds.push(begun.elapsed().as_secs_f64());
        }
        row(&Row {
            experiment: "recovery",
            times,
            teams: TEAMS * times,
            log_entries: fleet.log_records().await.tail,
            trials: seconds.len(),
            seconds: spread(seconds),
        });
    }
}
