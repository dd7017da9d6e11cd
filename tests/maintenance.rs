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

async fn plan_row(fleet: &Fleet, number: usize) -> Option<serde_json::Value> {
    fleet.query(number, "show plans").await.ok()?.into_iter().next()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn finishes_racing_plans_within_the_budget_when_a_host_is_killed() {
    let mut fleet = Fleet::start(Plan { workers: 6, ..plan() }).await;
    fleet.set_up(&[("a", 1, 30)], 1).await;
    let addrs: Vec<String> = (0..3).map(|n| fleet.callers(n)).collect();
    let load = Load::start(12, &addrs, |n| match n % 3 {
        0 => Ask::quote("a", &format!("q{n}"), 30),
        1 => Ask::booking("a", &format!("b{n}"), 30),
        _ => Ask::single("a", &format!("s{n}"), 30),
    });
    more(&load).await;
    let (first, second) =
        tokio::join!(fleet.send(0, "plan first reboot zone z0"), fleet.send(1, "plan second reboot zone z1"));
    assert_that!((first.is_ok(), second.is_ok()), eq((true, true)));
    until("a worker drained", || async { hosts_out(&fleet, 1, "main").await > 0 }).await;
    if let Some(process) = &mut fleet.entries[0].process {
        process.kill();
    }
    let most = std::sync::atomic::AtomicU64::new(0);
    until("both plans done", || async {
        most.fetch_max(hosts_out(&fleet, 1, "main").await, std::sync::atomic::Ordering::SeqCst);
        let rows = fleet.query(1, "show plans").await.unwrap_or_default();
        rows.len() == 2 && rows.iter().all(|row| row["state"] == "Done")
    })
    .await;
    let most = most.into_inner();
    assert_that!(most, eq(1));
    assert_that!(hosts_out(&fleet, 1, "main").await, eq(0));
    more(&load).await;
    let told = load.stop().await;
    assert_that!(check::answers(&told, &fleet.all_records().await), is_empty());
    let cut: Vec<_> = told.iter().filter(|t| t.verdict == Some(edge::Verdict::MayHaveRun)).collect();
    assert_that!(cut, is_empty(), "no request is cut by a reboot");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn can_pause_resume_and_abort_a_plan() {
    let fleet = Fleet::start(plan()).await;
    fleet.set_up(&[("a", 1, 30)], 1).await;
    fleet.order(0, "plan p reboot zone z1").await;
    fleet.order(1, "pause plan p").await;
    fleet.order(2, "abort plan p").await;
    until("all workers back", || async { hosts_out(&fleet, 0, "main").await == 0 }).await;
    let again = fleet.send(0, "resume plan p").await.unwrap();
    assert_that!(again["result"].as_str(), some(eq("refused")));
    fleet.order(0, "plan p reboot zone z1").await;
    until("the plan done", || async { plan_row(&fleet, 2).await.is_some_and(|row| row["state"] == "Done") })
        .await;
}
