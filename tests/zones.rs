//! No task starts in a zone that is out, and a withdrawn key stops working, on hosts that are cut off too.

use edge::{Fetcher, wall_ms};
use googletest::prelude::*;
use trial::caller::{Ask, Load, call};
use trial::fleet::{Fleet, Plan};
use trial::proxy::Mode;
use trial::{check, until};

/// Stated bound on how long a withdrawn key or a zone taken out may still be used, in ms.
const FEW_SECONDS_MS: u64 = 5000;
const MORE: usize = 60;

fn plan() -> Plan {
    let extra = "timing: { fresh_ms: 1000, dead_ms: 60000, beat_ms: 100, deadline_ms: 4000 },".into();
    Plan { extra, ..Plan::new(env!("CARGO_BIN_EXE_lagoonrelay").as_ref()) }
}

fn load(fleet: &Fleet) -> Load {
    let addrs: Vec<String> = (0..fleet.entries.len()).map(|n| fleet.callers(n)).collect();
    Load::start(12, &addrs, |n| Ask::quote("a", &format!("r{n}"), 10))
}

async fn more(load: &Load) {
    let from = load.ran();
    until("more work done", || async { load.ran() >= from + MORE }).await;
}

async fn zone_records(fleet: &Fleet, zone: &str) -> Vec<standin::worker::Record> {
    let mut records = Vec::new();
    for (number, worker) in fleet.workers.iter().enumerate() {
        if worker.info.zone == zone {
            records.extend(fleet.records(number).await);
        }
    }
    records
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn starts_nothing_in_a_zone_taken_out_while_a_host_is_cut_off_and_another_paused() {
    let fleet = Fleet::start(Plan { entries: 5, ..plan() }).await;
    fleet.set_up(&[("a", 1, 40)], 1).await;
    let load = load(&fleet);
    more(&load).await;
    fleet.set_around(3, Mode::Silent);
    if let Some(process) = &fleet.entries[4].process {
        process.pause();
    }
    fleet.order(0, "take out zone z1").await;
    let accepted = wall_ms();
    if let Some(process) = &fleet.entries[4].process {
        process.resume();
    }
    more(&load).await;
    fleet.set_around(3, Mode::Pass);
    more(&load).await;
    let before_return = wall_ms();
    fleet.order(2, "bring back zone z1").await;
    more(&load).await;
    let told = load.stop().await;
    assert_that!(check::answers(&told, &fleet.all_records().await), is_empty());
    let records = zone_records(&fleet, "z1").await;
    let late: Vec<String> = check::started_between(&records, accepted, before_return)
        .iter()
        .map(|r| format!("{} ms after acceptance: {}", r.started - accepted, r.body))
        .collect();
    assert_that!(late, is_empty());
    assert_that!(records.iter().any(|r| r.started > before_return), eq(true), "the zone is used again");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn refuses_a_withdrawn_key_on_every_host_also_one_cut_off() {
    let fleet = Fleet::start(plan()).await;
    fleet.set_up(&[("a", 1, 40)], 1).await;
    let load = load(&fleet);
    more(&load).await;
    fleet.set_around(2, Mode::Silent);
    let ordered = wall_ms();
    fleet.order(0, "withdraw key a").await;
    let accepted = wall_ms();
    assert_that!(accepted - ordered, le(FEW_SECONDS_MS));
    let http = Fetcher::default();
    for number in 0..3 {
        let told = call(&http, &fleet.callers(number), &Ask::quote("a", "late", 5)).await;
        assert_that!(told.verdict, eq(Some(edge::Verdict::NotRun)), "host {number}: {told:?}");
    }
    let told = load.stop().await;
    let records = fleet.all_records().await;
    assert_that!(check::answers(&told, &records), is_empty());
    assert_that!(check::started_between(&records, accepted, u64::MAX), is_empty());
    fleet.set_around(2, Mode::Pass);
    let refused = fleet.send(1, "grant key a secret a-secret team a").await.unwrap();
    assert_that!(refused["result"].as_str(), some(eq("refused")));
}
