//! Nearness to share when the fleet is full: fair admission against first come, first served.
//!
//! Six teams, of which two send far more than their share, and demand that turns from team to team. Each host
//! sees all teams, or, in the skewed case, each team comes through two of the hosts only.

use std::time::Duration;

use edge::wall_ms;
use policy::{deviation, max_min_allocation};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;
use standin::worker::Record;
use trial::caller::{Ask, Load};
use trial::fleet::{Fleet, Plan};

use super::{Settings, row};

const SPAN: Duration = Duration::from_secs(12);
const WINDOW_MS: u64 = 2000;
const ENTRIES: u8 = 6;
const WORKERS: u8 = 10;
const SLOTS: u32 = 4;
/// Name, share, callers.
const TEAMS: [(&str, u32, usize); 6] =
    [("t0", 4, 60), ("t1", 4, 60), ("t2", 2, 10), ("t3", 2, 10), ("t4", 1, 10), ("t5", 1, 10)];

#[derive(Debug, Serialize)]
struct Row {
    experiment: &'static str,
    admission: String,
    skewed: bool,
    seed: u64,
    mean_distance: f64,
    worst_distance: f64,
    task_seconds: f64,
    parts: Vec<Part>,
}

#[derive(Debug, Serialize)]
struct Part {
    team: &'static str,
    ran: f64,
    fair: f64,
}

/// Runs both policies, even and skewed.
pub async fn run(settings: &Settings) {
    for admission in ["fifo", "fair"] {
        measure(settings, admission, false).await;
    }
    run_skewed(settings).await;
}

/// Runs both policies with each team at two hosts only.
pub async fn run_skewed(settings: &Settings) {
    for admission in ["fifo", "fair"] {
        measure(settings, admission, true).await;
    }
}

async fn measure(settings: &Settings, admission: &str, skewed: bool) {
    let extra = format!("admission: \"{admission}\", limits: {{ queue_ms: 8000 }},");
    let plan =
        Plan { entries: ENTRIES, workers: WORKERS, slots: SLOTS, extra, ..Plan::new(&settings.program) };
    let fleet = Fleet::start(plan).await;
    let teams: Vec<(&str, u32, u32)> = TEAMS.iter().map(|(name, share, _)| (*name, *share, 64)).collect();
    fleet.set_up(&teams, 2).await;
    let loads: Vec<Load> = TEAMS
        .iter()
        .enumerate()
        .map(|(index, (team, _, callers))| {
            let hosts = hosts_of(index, skewed);
            let addrs: Vec<String> = hosts.into_iter().map(|n| fleet.callers(n)).collect();
            let seed = settings.seed;
            Load::start(*callers, &addrs, move |n| ask(team, seed, n))
        })
        .collect();
    tokio::time::sleep(Duration::from_secs(2)).await;
    let from = wall_ms();
    tokio::time::sleep(SPAN).await;
    let to = wall_ms();
    let records = fleet.all_records().await;
    report(settings, admission, skewed, &records, from, to);
    drop(fleet);
    for load in loads {
        load.stop().await;
    }
}

/// Tasks differ in length; nobody declares it.
fn ask(team: &str, seed: u64, number: u64) -> Ask {
    let mut rng = StdRng::seed_from_u64(seed.wrapping_mul(1_000_003).wrapping_add(number));
    Ask::quote(team, &format!("{team}-{number}"), rng.random_range(50..250))
}

fn hosts_of(team: usize, skewed: bool) -> Vec<usize> {
    let all = usize::from(ENTRIES);
    if skewed { vec![team % all, (team + 1) % all] } else { (0..all).collect() }
}

fn report(settings: &Settings, admission: &str, skewed: bool, records: &[Record], from: u64, to: u64) {
    let shares: Vec<f64> = TEAMS.iter().map(|(_, share, _)| f64::from(*share)).collect();
    #[expect(clippy::cast_precision_loss, reason = "counts of callers are small")]
    let demands: Vec<f64> = TEAMS.iter().map(|(_, _, callers)| *callers as f64).collect();
    let slots = f64::from(WORKERS) * f64::from(SLOTS);
    let fair = max_min_allocation(slots, &shares, &demands);
    let mut distances = Vec::new();
    let mut start = from;
    while start + WINDOW_MS <= to {
        distances.push(deviation(&ran(records, start, start + WINDOW_MS), &fair));
        start += WINDOW_MS;
    }
    let whole = ran(records, from, to);
    let parts = TEAMS.iter().zip(whole.iter().zip(&fair));
    let parts = parts.map(|((team, _, _), (ran, fair))| Part { team, ran: *ran, fair: *fair }).collect();
    #[expect(clippy::cast_precision_loss, reason = "a few windows")]
    let mean = distances.iter().sum::<f64>() / distances.len() as f64;
    row(&Row {
        experiment: "shares",
        admission: admission.to_owned(),
        skewed,
        seed: settings.seed,
        mean_distance: mean,
        worst_distance: distances.iter().copied().fold(0.0, f64::max),
        task_seconds: whole.iter().sum::<f64>() * SPAN.as_secs_f64(),
        parts,
    });
}

/// Average tasks running of each team within a span.
#[expect(clippy::cast_precision_loss, reason = "spans are seconds")]
fn ran(records: &[Record], from: u64, to: u64) -> Vec<f64> {
    let overlap = |r: &Record| {
        let end = if r.ended == 0 { to } else { r.ended.min(to) };
        end.saturating_sub(r.started.max(from))
    };
    let busy = |team: &str| records.iter().filter(|r| r.team == team).map(overlap).sum::<u64>();
    TEAMS.iter().map(|(team, _, _)| busy(team) as f64 / (to - from) as f64).collect()
}
