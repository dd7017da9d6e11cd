//! Budgets, pools and leaving workers, with operators that race.

use edge::{Fetcher, HostState, wall_ms};
use googletest::prelude::*;
use trial::caller::{Ask, Load, call};
use trial::fleet::{Fleet, Plan};
use trial::{check, until};

const MORE: usize = 60;

fn plan() -> Plan {
    let extra = "timing: { fresh_ms: 800, dead_ms: 1600, beat_ms: 100, list_ms: 200 },".into();
    Plan { extra, ..Plan::new(env!("CARGO_BIN_EXE_lagoonrelay").as_ref()) }
}

async fn more(load: &Load) {
    let from = load.ran();
    until("more work done", || async { load.ran() >= from + MORE }).await;
}

async fn hosts_out(fleet: &Fleet, number: usize, pool: &str) -> u64 {
    let rows = fleet.query(number, "show pools").await.unwrap();
    rows.iter().find(|r| r["pool"] == pool).and_then(|r| r["out"].as_u64()).unwrap()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn holds_a_budget_against_racing_operators_and_a_kill() {
    let mut fleet = Fleet::start(Plan { workers: 9, ..plan() }).await;
    fleet.set_up(&[("a", 1, 30)], 2).await;
    let accepted = {
        let drains: Vec<String> = (0..9).map(|n| format!("drain host w{n}")).collect();
        let sent = drains.iter().enumerate().map(|(n, line)| fleet.send(n % 3, line));
        let answers = futures_util::future::join_all(sent).await;
        answers.iter().filter(|a| a.as_ref().is_ok_and(|v| v["result"] == "accepted")).count()
    };
    assert_that!(accepted, eq(2));
    if let Some(process) = &mut fleet.entries[0].process {
        process.kill();
    }
    fleet.start_entry(0);
    fleet.wait_ready(0).await;
    for number in 0..3 {
        assert_that!(hosts_out(&fleet, number, "main").await, eq(2));
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn moves_a_host_to_one_pool_only_when_operators_race() {
    let fleet = Fleet::start(plan()).await;
    fleet.set_up(&[("a", 1, 30)], 2).await;
    for number in 0..3 {
        fleet.order(number, &format!("set pool p{number} budget 1")).await;
    }
    let version = fleet.query(0, "show hosts").await.unwrap()[0]["version"].as_u64().unwrap();
    let lines: Vec<String> =
        (0..3).map(|n| format!("assign host w0 pool p{n} if version {version}")).collect();
    let sent = lines.iter().enumerate().map(|(n, line)| fleet.send(n, line));
    let answers = futures_util::future::join_all(sent).await;
    let accepted = answers.iter().filter(|a| a.as_ref().is_ok_and(|v| v["result"] == "accepted")).count();
    assert_that!(accepted, eq(1), "{answers:?}");
    let mut pools = Vec::new();
    for number in 0..3 {
        pools.push(fleet.query(number, "show hosts").await.unwrap()[0]["pool"].clone());
    }
    assert_that!(pools.iter().all(|p| *p == pools[0]), eq(true), "{pools:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn gives_a_leaving_worker_no_new_work() {
    let mut fleet = Fleet::start(plan()).await;
    fleet.set_up(&[("a", 1, 30)], 2).await;
    let addrs: Vec<String> = (0..3).map(|n| fleet.callers(n)).collect();
    let load = Load::start(9, &addrs, |n| Ask::quote("a", &format!("r{n}"), 10));
    more(&load).await;
    fleet.workers[2].info.state = HostState::Leaving;
    fleet.put_list().await;
    until("all hosts know", || async {
        let mut known = true;
        for number in 0..3 {
            let rows = fleet.query(number, "show hosts").await.unwrap_or_default();
            known &= rows.iter().any(|r| r["host"] == "w2" && r["in_service"] == false);
        }
        known
    })
    .await;
    let known = wall_ms();
    more(&load).await;
    let told = load.stop().await;
    assert_that!(check::answers(&told, &fleet.all_records().await), is_empty());
    assert_that!(check::started_between(&fleet.records(2).await, known, u64::MAX), is_empty());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn serves_around_a_silent_worker_and_a_failing_one() {
    let fleet = Fleet::start(plan()).await;
    fleet.set_up(&[("a", 1, 30)], 2).await;
    fleet.workers[0].proxy.set(trial::proxy::Mode::Silent);
    fleet.set_mood(1, standin::worker::Mood::Failing).await;
    let http = Fetcher::default();
    let mut told = Vec::new();
    for number in 0..30 {
        told.push(call(&http, &fleet.callers(number % 3), &Ask::quote("a", &format!("q{number}"), 5)).await);
    }
    let failed: Vec<_> = told.iter().filter(|t| !t.ran() || t.status != 200).collect();
    assert_that!(failed, is_empty());
    assert_that!(check::answers(&told, &fleet.all_records().await), is_empty());
}
