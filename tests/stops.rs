//! Rolling restarts interrupt no request, and accepted commands stay in force through a log outage.

use googletest::prelude::*;
use standin::log::Faults;
use trial::caller::{Ask, Load};
use trial::fleet::{Fleet, Plan};
use trial::proxy::Mode;
use trial::{check, until};

/// Requests that must run before a test takes its next step.
const STEP_REQUESTS: usize = 60;

fn plan() -> Plan {
    let extra = "timing: { fresh_ms: 1000, dead_ms: 3000, beat_ms: 100 },".into();
    Plan { extra, ..Plan::new(env!("CARGO_BIN_EXE_lagoonrelay").as_ref()) }
}

async fn run_more(load: &Load) {
    let before = load.ran();
    until("more requests run", || async { load.ran() >= before + STEP_REQUESTS }).await;
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
    run_more(&load).await;
    for host in 0..3 {
        if let Some(process) = &fleet.entries[host].process {
            process.terminate();
        }
        let mut code = None;
        while code.is_none() {
            code = fleet.entries[host].process.as_mut().and_then(trial::process::Process::exit_code);
            tokio::time::sleep(std::time::Duration::from_millis(20)).await;
        }
        assert_that!(code, some(eq(0)));
        fleet.start_entry(host);
        fleet.wait_ready(host).await;
        run_more(&load).await;
    }
    let answers = load.stop().await;
    let records = fleet.all_records().await;
    assert_that!(check::answers(&answers, &records), is_empty());
    let interrupted: Vec<_> =
        answers.iter().filter(|a| a.status == 0 && a.once && has_run(a, &records)).collect();
    assert_that!(interrupted, is_empty());
    let unresolved: Vec<_> =
        answers.iter().filter(|a| a.verdict == Some(edge::Verdict::MayHaveRun)).collect();
    assert_that!(unresolved, is_empty());
}

fn has_run(answer: &trial::caller::Told, records: &[standin::worker::Record]) -> bool {
    records.iter().any(|r| r.body == answer.body)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn keeps_configuration_in_force_across_a_log_outage_with_lost_answers() {
    let fleet = Fleet::start(plan()).await;
    fleet.set_up(&[("a", 1, 12)], 2).await;
    fleet.misbehave(Faults { lose_answers: true, ..Faults::default() }).await;
    fleet.order(0, "set team a share 6 limit 9 id lost-once").await;
    fleet.misbehave(Faults::default()).await;
    order_with_lost_answers(&fleet, "set team a share 7 limit 9 id lost-answer").await;
    fleet.misbehave(Faults { down: true, ..Faults::default() }).await;
    let addrs: Vec<String> = (0..3).map(|n| fleet.callers(n)).collect();
    let load = Load::start(6, &addrs, |n| Ask::booking("a", &format!("b{n}"), 10));
    run_more(&load).await;
    let reply = fleet.send(1, "set team a share 8 limit 9 id in-outage").await.unwrap();
    let result = reply["result"].as_str().unwrap_or_default().to_owned();
    assert_that!(result, any![eq("pending"), eq("refused")]);
    run_more(&load).await;
    fleet.misbehave(Faults::default()).await;
    // A pending command takes effect by itself; a refused one never left the host and has none.
    let expected_share = if result == "pending" { 8 } else { 7 };
    until("the outcome that the command reported is in force", || share_is(&fleet, expected_share)).await;
    fleet.order(0, "set team a share 8 limit 9 id after-outage").await;
    let reply = fleet.send(2, "set team a share 7 limit 9 id lost-answer").await.unwrap();
    assert_that!(reply["result"].as_str(), some(eq("accepted")));
    assert_that!(share_is(&fleet, 8).await, eq(true), "a repeat of an older command does not revert");
    let answers = load.stop().await;
    assert_that!(check::answers(&answers, &fleet.all_records().await), is_empty());
}

/// Sends a command while the log takes every append but all its answers are lost, so that the retries put
/// the same entry on the log several times.
async fn order_with_lost_answers(fleet: &Fleet, command: &str) {
    fleet.entries.iter().for_each(|e| e.log_proxy.set(Mode::LoseAnswers));
    let reconnect = async {
        until("the entry is on the log twice", || async {
            let page = fleet.log_records().await;
            page.entries.iter().filter(|e| e.data.contains("lost-answer")).count() >= 2
        })
        .await;
        fleet.entries.iter().for_each(|e| e.log_proxy.set(Mode::Pass));
    };
    tokio::join!(order_until_accepted(fleet, command), reconnect);
}

/// Sends a command to the first host until it is accepted. A refusal says that the command never left the
/// host, which is checked.
async fn order_until_accepted(fleet: &Fleet, command: &str) {
    loop {
        let reply = fleet.send(0, command).await.unwrap();
        if reply["result"] == "accepted" {
            return;
        }
        assert_that!(reply["result"].as_str(), some(eq("refused")), "{reply:?}");
        let page = fleet.log_records().await;
        let on_log = page.entries.iter().any(|e| e.data.contains("lost-answer"));
        assert_that!(on_log, eq(false), "refused, but on the log");
    }
}

/// True if every entry host shows the share for the only team.
async fn share_is(fleet: &Fleet, share: u64) -> bool {
    let mut all = true;
    for host in 0..3 {
        let rows = fleet.query(host, "show teams").await.unwrap_or_default();
        all &= rows.first().is_some_and(|row| row["share"] == share);
    }
    all
}
