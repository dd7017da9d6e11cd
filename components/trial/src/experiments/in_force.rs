//! Time from sending a command until it is answered as in force everywhere, with and without faults.

use std::time::Instant;

use serde::Serialize;
use trial::fleet::{Fleet, Plan};
use trial::proxy::Mode;

use super::{Settings, Spread, row, spread};

#[derive(Debug, Serialize)]
struct Row {
    experiment: &'static str,
    entry_hosts: u8,
    fault: &'static str,
    trials: usize,
    accepted: usize,
    seconds: Spread,
}

/// Runs all cases.
pub async fn run(settings: &Settings) {
    for entries in [4, 8] {
        let plan = Plan { entries, ..Plan::new(&settings.program) };
        let mut fleet = Fleet::start(plan).await;
        fleet.set_up(&[("a", 1, 32)], 2).await;
        let last = usize::from(entries) - 1;
        measure(&fleet, settings, "none").await;
        fleet.set_around(last, Mode::Silent);
        measure(&fleet, settings, "one host silent").await;
        fleet.set_around(last, Mode::Pass);
        fleet.wait_ready(last).await;
        if let Some(process) = &fleet.entries[last].process {
            process.pause();
        }
        measure(&fleet, settings, "one host paused").await;
        if let Some(process) = &mut fleet.entries[last].process {
            process.kill();
        }
    }
}

async fn measure(fleet: &Fleet, settings: &Settings, fault: &'static str) {
    let mut seconds = Vec::new();
    let mut accepted = 0;
    for trial in 0..settings.trials {
        let begun = Instant::now();
        let answer = fleet.send(0, &format!("set pool main budget {}", 1 + trial % 3)).await;
        seconds.push(begun.elapsed().as_secs_f64());
        accepted += usize::from(answer.is_ok_and(|a| a["result"] == "accepted"));
    }
    let entry_hosts = u8::try_from(fleet.entries.len()).unwrap_or(u8::MAX);
    let trials = seconds.len();
    row(&Row { experiment: "in-force", entry_hosts, fault, trials, accepted, seconds: spread(seconds) });
}
