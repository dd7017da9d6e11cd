//! A request with an idempotency key runs at most once.

use std::time::{Duration, Instant};

use edge::{Fetcher, Verdict};
use googletest::prelude::*;
use standin::worker::FaultMode;
use trial::caller::{Ask, call};
use trial::fleet::{Fleet, Plan};
use trial::proxy::Mode;
use trial::{check, until};

/// Exit code of an entry host that other members have fenced.
const FENCED_EXIT_CODE: i32 = 3;
/// Time within which a partition's end has to show.
const RECOVERY_TIME: Duration = Duration::from_secs(30);
/// Pause between two tries of a request.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

fn plan() -> Plan {
    let extra =
        "timing: { fresh_ms: 800, dead_ms: 3000, beat_ms: 100, probe_ms: 300, deadline_ms: 4000 },".into();
    Plan { extra, ..Plan::new(env!("CARGO_BIN_EXE_lagoonrelay").as_ref()) }
}

async fn count_starts(fleet: &Fleet, body: &str) -> usize {
    fleet.all_records().await.iter().filter(|r| r.body == body).count()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn runs_once_across_a_killed_entry_host_with_a_lost_answer() {
    let mut fleet = Fleet::start(plan()).await;
    fleet.set_up(&[("a", 1, 8)], 2).await;
    let addr = fleet.callers(0);
    let first =
        tokio::spawn(async move { call(&Fetcher::default(), &addr, &Ask::booking("a", "b1", 400)).await });
    until("the booking starts", || async { count_starts(&fleet, "b1").await == 1 }).await;
    if let Some(process) = &mut fleet.entries[0].process {
        process.kill();
    }
    let answer = first.await.unwrap();
    assert_that!(answer.status, eq(0), "the first answer is lost");
    for host in [1, 2] {
        let answer = call(&Fetcher::default(), &fleet.callers(host), &Ask::booking("a", "b1", 400)).await;
        assert_that!(answer.ran(), eq(true), "{answer:?}");
    }
    assert_that!(count_starts(&fleet, "b1").await, eq(1));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn runs_once_while_its_first_host_is_paused_between_claim_and_start() {
    let fleet = Fleet::start(plan()).await;
    fleet.set_up(&[("a", 1, 8)], 2).await;
    let mut answers = Vec::new();
    for round in 0..6 {
        let body = format!("p{round}");
        let addr = fleet.callers(0);
        let ask = Ask::booking("a", &body, 50);
        let first_ask = ask.clone();
        let first = tokio::spawn(async move { call(&Fetcher::default(), &addr, &first_ask).await });
        tokio::time::sleep(std::time::Duration::from_millis(round)).await;
        if let Some(process) = &fleet.entries[0].process {
            process.pause();
        }
        answers.push(call(&Fetcher::default(), &fleet.callers(1), &ask).await);
        if let Some(process) = &fleet.entries[0].process {
            process.resume();
        }
        answers.push(first.await.unwrap());
        fleet.wait_ready(0).await;
    }
    let records = fleet.all_records().await;
    assert_that!(answers.iter().any(trial::caller::Told::ran), eq(true));
    let twice: Vec<String> =
        check::answers(&answers, &records).into_iter().filter(|broken| broken.contains("times")).collect();
    assert_that!(twice, is_empty());
}

/// Starts a host again that was fenced after its silence: it has exited, and a supervisor restarts it.
fn restart_if_fenced(fleet: &mut Fleet, host: usize) {
    let exit_code = fleet.entries[host].process.as_mut().and_then(trial::process::Process::exit_code);
    match exit_code {
        None => {}
        Some(FENCED_EXIT_CODE) => fleet.start_entry(host),
        Some(code) => panic!("entry host {host} has exited with code {code}"),
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn runs_once_while_entry_hosts_cannot_reach_one_another() {
    run_once_around_a_partition(Duration::ZERO, Duration::ZERO).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn runs_once_when_a_partition_of_entry_hosts_heals_link_by_link() {
    run_once_around_a_partition(Duration::from_millis(1_500), Duration::from_millis(500)).await;
}

/// Partitions all entry hosts for `longer` than three bookings take; the links of the last host heal `later`
/// than the first link.
async fn run_once_around_a_partition(longer: Duration, later: Duration) {
    let mut fleet = Fleet::start(plan()).await;
    fleet.set_up(&[("a", 1, 8)], 2).await;
    fleet.set_between(0, 1, Mode::Silent);
    fleet.set_between(0, 2, Mode::Silent);
    fleet.set_between(1, 2, Mode::Silent);
    let mut answers = Vec::new();
    for host in 0..3 {
        answers.push(call(&Fetcher::default(), &fleet.callers(host), &Ask::booking("a", "cut", 5)).await);
    }
    for answer in &answers {
        assert_that!(answer.verdict, eq(Some(Verdict::MayHaveRun)), "{answer:?}");
    }
    tokio::time::sleep(longer).await;
    fleet.set_between(0, 2, Mode::Pass);
    tokio::time::sleep(later).await;
    fleet.set_between(0, 1, Mode::Pass);
    fleet.set_between(1, 2, Mode::Pass);
    let deadline = Instant::now() + RECOVERY_TIME;
    while !call(&Fetcher::default(), &fleet.callers(1), &Ask::booking("a", "cut", 5)).await.ran() {
        assert_that!(Instant::now(), lt(deadline), "the booking runs after the partition");
        restart_if_fenced(&mut fleet, 1);
        tokio::time::sleep(RETRY_PAUSE).await;
    }
    assert_that!(count_starts(&fleet, "cut").await, eq(1));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn runs_once_when_a_worker_loses_its_answer() {
    let fleet = Fleet::start(Plan { workers: 3, ..plan() }).await;
    fleet.set_up(&[("a", 1, 8)], 2).await;
    for worker in 0..3 {
        fleet.set_mood(worker, FaultMode::LosingAnswers).await;
    }
    let http = Fetcher::default();
    for host in 0..3 {
        let answer = call(&http, &fleet.callers(host), &Ask::booking("a", "lost", 5)).await;
        assert_that!(answer.ran(), eq(true), "{answer:?}");
        let answer = call(&http, &fleet.callers(host), &Ask::single("a", &format!("s{host}"), 5)).await;
        assert_that!(answer.ran(), eq(true), "{answer:?}");
    }
    assert_that!(count_starts(&fleet, "lost").await, eq(1));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn tells_that_it_may_have_run_when_the_worker_has_restarted() {
    let mut fleet = Fleet::start(Plan { workers: 1, zones: 1, ..plan() }).await;
    fleet.set_up(&[("a", 1, 8)], 1).await;
    assert_that!(
        call(&Fetcher::default(), &fleet.callers(0), &Ask::booking("a", "gone", 5)).await.ran(),
        eq(true)
    );
    fleet.restart_worker(0).await;
    let answer = call(&Fetcher::default(), &fleet.callers(1), &Ask::booking("a", "gone", 5)).await;
    assert_that!(answer.verdict, eq(Some(Verdict::MayHaveRun)), "{answer:?}");
    assert_that!(count_starts(&fleet, "gone").await, eq(0), "the restarted worker does not run it again");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn runs_once_when_open_connections_to_workers_go_silent() {
    let fleet = Fleet::start(Plan { workers: 3, ..plan() }).await;
    fleet.set_up(&[("a", 1, 8)], 2).await;
    let http = Fetcher::default();
    for number in 0..9 {
        let answer =
            call(&http, &fleet.callers(number % 3), &Ask::quote("a", &format!("w{number}"), 5)).await;
        assert_that!(answer.ran(), eq(true), "{answer:?}");
    }
    for worker in &fleet.workers {
        worker.proxy.silence_open();
    }
    for host in 0..3 {
        let answer = call(&http, &fleet.callers(host), &Ask::booking("a", &format!("q{host}"), 5)).await;
        assert_that!(answer.ran(), eq(true), "{answer:?}");
        assert_that!(count_starts(&fleet, &format!("q{host}")).await, eq(1));
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn tells_that_it_may_have_run_when_every_answer_of_a_worker_is_lost() {
    let fleet = Fleet::start(Plan { workers: 1, zones: 1, ..plan() }).await;
    fleet.set_up(&[("a", 1, 8)], 1).await;
    let http = Fetcher::default();
    assert_that!(call(&http, &fleet.callers(0), &Ask::single("a", "before", 5)).await.ran(), eq(true));
    fleet.workers[0].proxy.set(Mode::LoseAnswers);
    let mut answers = Vec::new();
    answers.push(call(&http, &fleet.callers(0), &Ask::single("a", "single", 5)).await);
    answers.push(call(&http, &fleet.callers(0), &Ask::booking("a", "keyed", 5)).await);
    answers.push(call(&http, &fleet.callers(0), &Ask::quote("a", "quote", 5)).await);
    assert_that!(count_starts(&fleet, "single").await, eq(1), "it ran, but its answer is lost");
    assert_that!(answers[0].verdict, eq(Some(Verdict::MayHaveRun)));
    assert_that!(check::answers(&answers, &fleet.all_records().await), is_empty());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn never_tells_not_run_of_a_quote_whose_first_try_ran() {
    let fleet = Fleet::start(Plan { workers: 1, zones: 1, ..plan() }).await;
    fleet.set_up(&[("a", 1, 8)], 1).await;
    let http = Fetcher::default();
    assert_that!(call(&http, &fleet.callers(0), &Ask::quote("a", "before", 5)).await.ran(), eq(true));
    fleet.workers[0].proxy.set(Mode::LoseAnswers);
    let answer = call(&http, &fleet.callers(0), &Ask::quote("a", "lost", 5)).await;
    assert_that!(count_starts(&fleet, "lost").await, ge(1), "it ran, but its answer is lost");
    assert_that!(answer.verdict, eq(Some(Verdict::MayHaveRun)), "{answer:?}");
}
