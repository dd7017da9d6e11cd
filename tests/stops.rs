//! Planned stops cut no request, and what is accepted stays in force.

use googletest::prelude::*;
use standin::log::Misbehaviour;
use trial::caller::{Ask, Load};
use trial::fleet::{Fleet, Plan};
use trial::proxy::Mode;
use trial::{check, until};

const MORE: usize = 60;

fn plan() -> Plan {
    let extra = "timing: { fresh_ms: 1000, dead_ms: 3000, beat_ms: 100 },".into();
    Plan { extra, ..Plan::new(env!("CARGO_BIN_EXE_lagoonrelay").as_ref()) }
}

async fn more(load: &Load) {
    let from = load.ran();
    until("more work done", || async { load.ran() >= from + MORE }).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn cuts_no_request_while_all_entry_hosts_are_replaced_in_turn() {
    let mut fleet = Fleet::start(plan()).await;
    fleet.set_up(&[("a", 1, 12)], 2).await;
    let addrs: Vec<String> = (0..3).map(|n| fleet.callers(n)).collect();
    let load = Load::start(9, &addrs, |n| match n % 3 {
        0 => Ask::booking("a", &format!("b{n}"), 120),
        1 => Ask::single("a", &format!("s{n}"), 60),
        _ => Ask::quote("a", &format!("q{n}"), 10),
    });
    more(&load).await;
    for number in 0..3 {
        if let Some(process) = &fleet.entries[number].process {
            process.terminate();
        }
        let mut code = None;
        while code.is_none() {
            code = fleet.entries[number].process.as_mut().and_then(trial::process::Process::exit_code);
            tokio::time::sleep(std::time::Duration::from_millis(20)).await;
        }
        assert_that!(code, some(eq(0)));
        fleet.start_entry(number);
        fleet.wait_ready(number).await;
        more(&load).await;
    }
    let told = load.stop().await;
    let records = fleet.all_records().await;
    assert_that!(check::answers(&told, &records), is_empty());
    let cut: Vec<_> = told.iter().filter(|t| t.status == 0 && t.once && was_run(t, &records)).collect();
    assert_that!(cut, is_empty());
    let open: Vec<_> = told.iter().filter(|t| t.verdict == Some(edge::Verdict::MayHaveRun)).collect();
    assert_that!(open, is_empty());
}

fn was_run(told: &trial::caller::Told, records: &[standin::worker::Record]) -> bool {
    records.iter().any(|r| r.body == told.body)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn keeps_configuration_in_force_across_a_log_outage_with_lost_answers() {
    let fleet = Fleet::start(plan()).await;
    fleet.set_up(&[("a", 1, 12)], 2).await;
    fleet.misbehave(Misbehaviour { lose_answers: true, ..Misbehaviour::default() }).await;
    fleet.order(0, "set team a share 6 limit 9 id lost-once").await;
    fleet.misbehave(Misbehaviour::default()).await;
    order_with_lost_answers(&fleet, "set team a share 7 limit 9 id lost-answer").await;
    fleet.misbehave(Misbehaviour { down: true, ..Misbehaviour::default() }).await;
    let addrs: Vec<String> = (0..3).map(|n| fleet.callers(n)).collect();
    let load = Load::start(6, &addrs, |n| Ask::booking("a", &format!("b{n}"), 10));
    more(&load).await;
    let during = fleet.send(1, "set team a share 8 limit 9 id in-outage").await.unwrap();
    let result = during["result"].as_str().unwrap_or_default().to_owned();
    assert_that!(result, any![eq("pending"), eq("refused")]);
    more(&load).await;
    fleet.misbehave(Misbehaviour::default()).await;
    // A pending command comes into force by itself; one that never left the host had no effect.
    let told_share = if result == "pending" { 8 } else { 7 };
    until("what was told of the command in force", || share_is(&fleet, told_share)).await;
    fleet.order(0, "set team a share 8 limit 9 id after-outage").await;
    let repeat = fleet.send(2, "set team a share 7 limit 9 id lost-answer").await.unwrap();
    assert_that!(repeat["result"].as_str(), some(eq("accepted")));
    assert_that!(share_is(&fleet, 8).await, eq(true), "a repeat of an older command does not revert");
    let told = load.stop().await;
    assert_that!(check::answers(&told, &fleet.all_records().await), is_empty());
}

/// Sends a command while every host's appends take effect and no answer of the log comes back, so that the
/// same entry stands on the log several times.
async fn order_with_lost_answers(fleet: &Fleet, line: &str) {
    fleet.entries.iter().for_each(|e| e.log_proxy.set(Mode::LoseAnswers));
    let heal = async {
        until("the entry twice on the log", || async {
            let page = fleet.log_records().await;
            page.entries.iter().filter(|e| e.data.contains("lost-answer")).count() >= 2
        })
        .await;
        fleet.entries.iter().for_each(|e| e.log_proxy.set(Mode::Pass));
    };
    tokio::join!(fleet.order(0, line), heal);
}

async fn share_is(fleet: &Fleet, share: u64) -> bool {
    let mut all = true;
    for number in 0..3 {
        let rows = fleet.query(number, "show teams").await.unwrap_or_default();
        all &= rows.first().is_some_and(|row| row["share"] == share);
    }
    all
}
