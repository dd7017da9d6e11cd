//! Work done while an availability zone leaves and returns, as a share of steady work.
//!
//! The baseline takes the zone's hosts out one at a time, waiting for each to be in force, and brings them
//! back the same way; the product takes the zone out and brings it back with one command each.

use std::time::{Duration, Instant};

use serde::Serialize;
use trial::caller::{Ask, Load};
use trial::fleet::{Fleet, Plan};
use trial::{check, until};

use super::{Settings, row};

const SPAN: Duration = Duration::from_secs(6);
const WORKERS: u8 = 9;
const CALLERS: usize = 36;
const WORK_MS: u64 = 40;

#[derive(Debug, Serialize)]
struct Row {
    experiment: &'static str,
    way: &'static str,
    steady_per_second: f64,
    away_share: f64,
    returned_share: f64,
    out_seconds: f64,
    back_seconds: f64,
    commands: usize,
    failed: usize,
    broken_promises: usize,
}

/// Runs both ways.
pub async fn run(settings: &Settings) {
    let hosts: Vec<String> = (0..WORKERS).filter(|n| n % 3 == 0).map(|n| format!("host w{n}")).collect();
    measure(settings, "one host at a time", &hosts).await;
    measure(settings, "whole zone", &["zone z0".to_owned()]).await;
    for budget in [1, 3] {
        measure_plan(settings, budget).await;
    }
}

#[derive(Debug, Serialize)]
struct PlanRow {
    experiment: &'static str,
    budget: u32,
    rebooted: usize,
    roll_out_seconds: f64,
    steady_per_second: f64,
    during_share: f64,
    failed: usize,
    broken_promises: usize,
}

/// Reboots a zone by a plan; a budget of one is the baseline of one host at a time.
async fn measure_plan(settings: &Settings, budget: u32) {
    let fleet = start(settings, budget).await;
    let load = start_load(&fleet);
    tokio::time::sleep(Duration::from_secs(3)).await;
    let steady = rate(&load).await;
    let begun = Instant::now();
    let from = load.ran();
    fleet.order(0, "plan rolling reboot zone z0").await;
    until("the plan done", || async {
        let rows = fleet.query(1, "show plans").await.unwrap_or_default();
        rows.first().is_some_and(|row| row["state"] == "Done")
    })
    .await;
    let seconds = begun.elapsed().as_secs_f64();
    #[expect(clippy::cast_precision_loss, reason = "counts of requests are small")]
    let during = (load.ran() - from) as f64 / seconds;
    let told = load.stop().await;
    let broken = check::answers(&told, &fleet.all_records().await);
    row(&PlanRow {
        experiment: "plan",
        budget,
        rebooted: usize::from(WORKERS / 3),
        roll_out_seconds: seconds,
        steady_per_second: steady,
        during_share: during / steady,
        failed: told.iter().filter(|t| !t.ran()).count(),
        broken_promises: broken.len(),
    });
}

async fn start(settings: &Settings, budget: u32) -> Fleet {
    let plan = Plan { entries: 6, workers: WORKERS, ..Plan::new(&settings.program) };
    let fleet = Fleet::start(plan).await;
    fleet.set_up(&[("a", 1, 60), ("b", 1, 60)], budget).await;
    fleet
}

fn start_load(fleet: &Fleet) -> Load {
    let addrs: Vec<String> = (0..6).map(|n| fleet.callers(n)).collect();
    Load::start(CALLERS, &addrs, |n| {
        let team = if n % 2 == 0 { "a" } else { "b" };
        if n % 4 == 0 {
            Ask::booking(team, &format!("b{n}"), WORK_MS)
        } else {
            Ask::quote(team, &format!("q{n}"), WORK_MS)
        }
    })
}

async fn measure(settings: &Settings, way: &'static str, places: &[String]) {
    let fleet = start(settings, 3).await;
    let load = start_load(&fleet);
    tokio::time::sleep(Duration::from_secs(3)).await;
    let steady = rate(&load).await;
    let out_seconds = send_all(&fleet, "take out", places).await;
    let away = rate(&load).await;
    let back_seconds = send_all(&fleet, "bring back", places).await;
    let returned = rate(&load).await;
    let told = load.stop().await;
    let failed = told.iter().filter(|t| !t.ran()).count();
    let broken = check::answers(&told, &fleet.all_records().await);
    row(&Row {
        experiment: "zone",
        way,
        steady_per_second: steady,
        away_share: away / steady,
        returned_share: returned / steady,
        out_seconds,
        back_seconds,
        commands: 2 * places.len(),
        failed,
        broken_promises: broken.len(),
    });
}

async fn rate(load: &Load) -> f64 {
    let from = load.ran();
    tokio::time::sleep(SPAN).await;
    #[expect(clippy::cast_precision_loss, reason = "counts of requests are small")]
    let done = (load.ran() - from) as f64;
    done / SPAN.as_secs_f64()
}

async fn send_all(fleet: &Fleet, verb: &str, places: &[String]) -> f64 {
    let begun = Instant::now();
    for place in places {
        fleet.order(0, &format!("{verb} {place}")).await;
    }
    begun.elapsed().as_secs_f64()
}
