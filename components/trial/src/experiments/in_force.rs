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

/// What is wrong with the last entry host.
#[derive(Debug, Clone, Copy)]
enum Fault {
    None,
    Silent,
    Paused,
}

/// Runs all cases, each with a fleet of its own, since a host that is silent for long is shut out.
pub async fn run(settings: &Settings) {
    for entries in [4, 8] {
        for fault in [Fault::None, Fault::Silent, Fault::Paused] {
            let plan = Plan { entries, ..Plan::new(&settings.program) };
            let fleet = Fleet::start(plan).await;
            fleet.set_up(&[("a", 1, 32)], 2).await;
            let last = usize::from(entries) - 1;
            match (fault, &fleet.entries[last].process) {
                (Fault::Silent, _) => fleet.set_around(last, Mode::Silent),
                (Fault::Paused, Some(process)) => process.pause(),
                _ => {}
            }
            measure(&fleet, settings, fault).await;
        }
    }
}

async fn measure(fleet: &Fleet, settings: &Settings, fault: Fault) {
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
    let fault = match fault {
        Fault::None => "none",
        Fault::Silent => "one host silent",
        Fault::Paused => "one host paused",
    };
    row(&Row { experiment: "in-force", entry_hosts, fault, trials, accepted, seconds: spread(seconds) });
}
