//! A team's upper limit holds through network partitions, killed hosts and log outages.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use googletest::prelude::*;
use standin::log::Faults;
use trial::caller::{Ask, Load};
use trial::fleet::{Fleet, Plan};
use trial::proxy::Mode;
use trial::{check, until};

/// Upper limit of the team, in tasks.
const LIMIT: u32 = 5;
/// Time in which the units of fenced hosts are reclaimed once their workers are known.
const RECLAIM_TIME: Duration = Duration::from_secs(1);
/// Requests that must run before a test takes its next step.
const STEP_REQUESTS: usize = 60;

fn plan() -> Plan {
    let extra = "timing: { fresh_ms: 800, dead_ms: 1600, beat_ms: 100, deadline_ms: 8000 },".into();
    Plan { extra, ..Plan::new(env!("CARGO_BIN_EXE_lagoonrelay").as_ref()) }
}

async fn start_load(fleet: &Fleet, callers: usize) -> Load {
    let addrs: Vec<String> = (0..fleet.entries.len()).map(|n| fleet.callers(n)).collect();
    static NEXT_LOAD: AtomicU64 = AtomicU64::new(0);
    let load = NEXT_LOAD.fetch_add(1, Ordering::SeqCst);
    Load::start(callers, &addrs, move |n| Ask::single("a", &format!("r{load}-{n}"), 30 + n % 40))
}

async fn run_more(load: &Load) {
    let before = load.ran();
    until("more requests run", || async { load.ran() >= before + STEP_REQUESTS }).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn holds_a_limit_through_a_network_partition_and_a_kill() {
    let mut fleet = Fleet::start(plan()).await;
    fleet.set_up(&[("a", 1, LIMIT)], 2).await;
    let load = start_load(&fleet, 24).await;
    run_more(&load).await;
    fleet.set_between(0, 1, Mode::Silent);
    fleet.set_between(0, 2, Mode::Silent);
    run_more(&load).await;
    if let Some(process) = &mut fleet.entries[1].process {
        process.kill();
    }
    run_more(&load).await;
    fleet.set_between(0, 1, Mode::Pass);
    fleet.set_between(0, 2, Mode::Pass);
    run_more(&load).await;
    until("the killed host leaves the member list", || async {
        let rows = fleet.query(0, "show members").await.unwrap_or_default();
        rows.len() == 2
    })
    .await;
    fleet.start_entry(1);
    fleet.wait_ready(1).await;
    run_more(&load).await;
    let answers = load.stop().await;
    let records = fleet.all_records().await;
    assert_that!(check::answers(&answers, &records), is_empty());
    assert_that!(check::most_running(&records, "a"), le(i64::from(LIMIT)));
    assert_that!(check::most_running(&records, "a"), ge(2));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn counts_tasks_that_outlive_the_host_that_started_them() {
    let mut fleet = Fleet::start(plan()).await;
    fleet.set_up(&[("a", 1, LIMIT)], 2).await;
    let long = Load::start(usize::try_from(LIMIT).unwrap(), &[fleet.callers(1)], |n| {
        Ask::single("a", &format!("long-{n}"), 7500)
    });
    until("all units in use through one host", || async {
        check::most_running(&fleet.all_records().await, "a") == i64::from(LIMIT)
    })
    .await;
    if let Some(process) = &mut fleet.entries[1].process {
        process.kill();
    }
    let short = Load::start(6, &[fleet.callers(0), fleet.callers(2)], |n| {
        Ask::single("a", &format!("short-{n}"), 20)
    });
    until("the killed host leaves the member list", || async {
        fleet.query(0, "show members").await.unwrap_or_default().len() == 2
    })
    .await;
    run_more(&short).await;
    let mut answers = short.stop().await;
    answers.extend(long.stop().await);
    let records = fleet.all_records().await;
    assert_that!(check::answers(&answers, &records), is_empty());
    assert_that!(check::most_running(&records, "a"), eq(i64::from(LIMIT)));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn holds_a_limit_when_a_paused_host_is_fenced_and_resumes() {
    let mut fleet = Fleet::start(plan()).await;
    fleet.set_up(&[("a", 1, LIMIT)], 2).await;
    let load = start_load(&fleet, 24).await;
    run_more(&load).await;
    if let Some(process) = &fleet.entries[1].process {
        process.pause();
    }
    until("the paused host leaves the member list", || async {
        fleet.query(0, "show members").await.unwrap_or_default().len() == 2
    })
    .await;
    run_more(&load).await;
    if let Some(process) = &fleet.entries[1].process {
        process.resume();
    }
    let mut code = None;
    while code.is_none() {
        code = fleet.entries[1].process.as_mut().and_then(trial::process::Process::exit_code);
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
    }
    assert_that!(code, some(eq(3)), "it exits because it is fenced");
    let answers = load.stop().await;
    let records = fleet.all_records().await;
    assert_that!(check::answers(&answers, &records), is_empty());
    assert_that!(check::most_running(&records, "a"), le(i64::from(LIMIT)));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn moves_units_between_hosts_while_the_log_is_out() {
    let fleet = Fleet::start(plan()).await;
    fleet.set_up(&[("a", 1, 3)], 2).await;
    let all = start_load(&fleet, 6).await;
    run_more(&all).await;
    fleet.misbehave(Faults { down: true, ..Faults::default() }).await;
    let mut answers = all.stop().await;
    let single = Load::start(6, &[fleet.callers(1)], |n| Ask::single("a", &format!("one-{n}"), 20));
    until("two tasks at once through one host", || async {
        let records: Vec<_> =
            fleet.all_records().await.into_iter().filter(|r| r.body.starts_with("one")).collect();
        check::most_running(&records, "a") >= 2
    })
    .await;
    answers.extend(single.stop().await);
    let records = fleet.all_records().await;
    assert_that!(check::answers(&answers, &records), is_empty());
    assert_that!(check::most_running(&records, "a"), le(3));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lowers_a_limit_before_the_command_is_answered() {
    let fleet = Fleet::start(plan()).await;
    fleet.set_up(&[("a", 1, 9)], 2).await;
    let load = start_load(&fleet, 18).await;
    run_more(&load).await;
    fleet.order(1, "set team a share 1 limit 2").await;
    let lowered_ms = edge::wall_ms();
    run_more(&load).await;
    let answers = load.stop().await;
    let records = fleet.all_records().await;
    assert_that!(check::answers(&answers, &records), is_empty());
    let after: Vec<_> = records.iter().filter(|r| r.ended == 0 || r.ended > lowered_ms).cloned().collect();
    let after: Vec<_> = after.into_iter().map(|r| start_from(r, lowered_ms)).collect();
    assert_that!(check::most_running(&after, "a"), le(2));
}

/// Sets the start of a record to a time, if it is earlier.
fn start_from(record: standin::worker::Record, from_ms: u64) -> standin::worker::Record {
    standin::worker::Record { started: record.started.max(from_ms), ..record }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn reclaims_nothing_while_the_host_list_is_out() {
    reclaim_around_an_outage_of_the_host_list(None).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn frees_no_units_of_tasks_whose_workers_are_missing_from_the_host_list() {
    reclaim_around_an_outage_of_the_host_list(Some(Duration::from_millis(1_300))).await;
}

/// Once the list is back, it is empty for a while if `empty` says so.
async fn reclaim_around_an_outage_of_the_host_list(empty: Option<Duration>) {
    let mut fleet = Fleet::start(plan()).await;
    fleet.set_up(&[("a", 1, LIMIT)], 2).await;
    let long = Load::start(usize::try_from(LIMIT).unwrap(), &[fleet.callers(1)], |n| {
        Ask::single("a", &format!("long-{n}"), 12_000)
    });
    until("all units in use through one host", || async {
        check::most_running(&fleet.all_records().await, "a") == i64::from(LIMIT)
    })
    .await;
    fleet.stop_list();
    // Entry hosts that start now cannot read the host list, so they know no worker.
    for host in 0..3 {
        if let Some(process) = &mut fleet.entries[host].process {
            process.kill();
        }
    }
    fleet.start_entry(0);
    fleet.start_entry(2);
    until("both restarted hosts are live", || async {
        let rows = fleet.query(0, "show members").await.unwrap_or_default();
        rows.iter().filter(|row| row["state"] == "Live").count() == 2
    })
    .await;
    until("the three killed incarnations are fenced", || async {
        let rows = fleet.query(0, "show members").await.unwrap_or_default();
        rows.iter().filter(|row| row["state"] == "Fenced").count() == 3
    })
    .await;
    fleet.start_list().await;
    if let Some(empty) = empty {
        tokio::time::sleep(RECLAIM_TIME).await;
        fleet.empty_list().await;
        tokio::time::sleep(empty).await;
        fleet.put_list().await;
    }
    let short = Load::start(6, &[fleet.callers(0), fleet.callers(2)], |n| {
        Ask::single("a", &format!("short-{n}"), 20)
    });
    run_more(&short).await;
    drop((long, short));
    assert_that!(check::most_running(&fleet.all_records().await, "a"), le(i64::from(LIMIT)));
}
