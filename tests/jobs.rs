//! Long-running jobs are not lost and not run twice.

use edge::Fetcher;
use googletest::prelude::*;
use http::Method;
use serde_json::Value;
use standin::log::Misbehaviour;
use standin::worker::Mood;
use trial::caller::{Ask, call};
use trial::fleet::{Fleet, Plan};
use trial::until;

/// Stated bound on how long tasks may still run in a zone taken out, if they can be moved, in ms.
const FEW_SECONDS_MS: u64 = 5000;

fn plan() -> Plan {
    let extra = "timing: { fresh_ms: 800, dead_ms: 1600, beat_ms: 100, deadline_ms: 3000 },".into();
    Plan { extra, ..Plan::new(env!("CARGO_BIN_EXE_lagoonrelay").as_ref()) }
}

async fn accept(fleet: &Fleet, number: usize, body: &str, work_ms: u64) -> String {
    let told = call(&Fetcher::default(), &fleet.callers(number), &Ask::job("a", body, work_ms)).await;
    assert_that!(told.status, eq(202), "{told:?}");
    let value: Value = serde_json::from_str(&told.text).unwrap();
    value["job"].as_str().unwrap().to_owned()
}

async fn view(fleet: &Fleet, number: usize, team: &str, id: &str) -> Option<Value> {
    let told =
        call(&Fetcher::default(), &fleet.callers(number), &Ask::about_job(team, id, Method::GET)).await;
    (told.status == 200).then(|| serde_json::from_str(&told.text).unwrap())
}

async fn ends_as(fleet: &Fleet, number: usize, id: &str, state: &str) -> Value {
    until(&format!("job {id} {state}"), || async {
        view(fleet, number, "a", id).await.is_some_and(|v| v["state"] == state)
    })
    .await;
    view(fleet, number, "a", id).await.unwrap()
}

async fn starts(fleet: &Fleet, body: &str) -> usize {
    fleet.all_records().await.iter().filter(|r| r.body == body).count()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn ends_every_job_once_when_its_host_is_killed() {
    let mut fleet = Fleet::start(plan()).await;
    fleet.set_up(&[("a", 1, 30)], 2).await;
    let mut ids = Vec::new();
    for number in 0..12 {
        ids.push(accept(&fleet, number % 3, &format!("job{number}"), 200 + 150 * number as u64).await);
    }
    until("some jobs run", || async { fleet.all_records().await.len() >= 4 }).await;
    if let Some(process) = &mut fleet.entries[1].process {
        process.kill();
    }
    for id in &ids {
        ends_as(&fleet, 0, id, "ended").await;
    }
    for number in 0..12 {
        assert_that!(starts(&fleet, &format!("job{number}")).await, eq(1), "job{number}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn accepts_a_repeated_job_once() {
    let fleet = Fleet::start(plan()).await;
    fleet.set_up(&[("a", 1, 30), ("b", 1, 30)], 2).await;
    let first = accept(&fleet, 0, "same", 50).await;
    let second = accept(&fleet, 1, "same", 50).await;
    assert_that!(second, eq(&first));
    ends_as(&fleet, 2, &first, "ended").await;
    assert_that!(starts(&fleet, "same").await, eq(1));
    assert_that!(view(&fleet, 0, "b", &first).await, none(), "another team does not see it");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn cancels_a_running_job_and_a_waiting_one() {
    let fleet = Fleet::start(plan()).await;
    fleet.set_up(&[("a", 1, 1)], 2).await;
    let running = accept(&fleet, 0, "running", 60_000).await;
    until("the job runs", || async { starts(&fleet, "running").await == 1 }).await;
    let waiting = accept(&fleet, 1, "waiting", 50).await;
    for id in [&waiting, &running] {
        let told =
            call(&Fetcher::default(), &fleet.callers(2), &Ask::about_job("a", id, Method::DELETE)).await;
        assert_that!(told.status, eq(202), "{told:?}");
    }
    ends_as(&fleet, 0, &running, "cancelled").await;
    ends_as(&fleet, 0, &waiting, "cancelled").await;
    assert_that!(starts(&fleet, "waiting").await, eq(0));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn ends_a_job_that_fails_everywhere_with_the_reason() {
    let fleet = Fleet::start(plan()).await;
    fleet.set_up(&[("a", 1, 30)], 2).await;
    let told = call(
        &Fetcher::default(),
        &fleet.callers(0),
        &Ask { path: "/jobs/quotes/run?work_ms=10&fail=true".into(), ..Ask::job("a", "hopeless", 10) },
    )
    .await;
    let id = serde_json::from_str::<Value>(&told.text).unwrap()["job"].as_str().unwrap().to_owned();
    let end = ends_as(&fleet, 1, &id, "failed").await;
    assert_that!(
        end["outcome"]["Failed"]["reason"].as_str().unwrap(),
        contains_substring("3 distinct workers")
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn runs_a_job_elsewhere_when_a_worker_fails_everything() {
    let fleet = Fleet::start(plan()).await;
    fleet.set_up(&[("a", 1, 30)], 2).await;
    fleet.set_mood(0, Mood::Failing).await;
    fleet.set_mood(1, Mood::Failing).await;
    for number in 0..8 {
        let id = accept(&fleet, 0, &format!("j{number}"), 10).await;
        ends_as(&fleet, 0, &id, "ended").await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn never_accepts_a_job_that_the_log_does_not_hold() {
    let fleet = Fleet::start(plan()).await;
    fleet.set_up(&[("a", 1, 30)], 2).await;
    fleet.misbehave(Misbehaviour { down: true, ..Misbehaviour::default() }).await;
    let told = call(&Fetcher::default(), &fleet.callers(0), &Ask::job("a", "dark", 10)).await;
    assert_that!(told.status, any![eq(503), eq(504)], "{told:?}");
    fleet.misbehave(Misbehaviour::default()).await;
    let id = accept(&fleet, 1, "dark", 10).await;
    ends_as(&fleet, 1, &id, "ended").await;
    assert_that!(starts(&fleet, "dark").await, eq(1));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn moves_running_jobs_out_of_a_zone_that_is_taken_out() {
    let fleet = Fleet::start(plan()).await;
    fleet.set_up(&[("a", 1, 30)], 2).await;
    let mut ids = Vec::new();
    for number in 0..12 {
        ids.push(accept(&fleet, number % 3, &format!("long{number}"), 8000).await);
    }
    until("all jobs run", || async { fleet.all_records().await.len() == 12 }).await;
    fleet.order(1, "take out zone z0").await;
    let accepted = edge::wall_ms();
    let in_zone = |n: usize| fleet.workers[n].info.zone == "z0";
    for id in &ids {
        ends_as(&fleet, 0, id, "ended").await;
    }
    let records = fleet.all_records().await;
    for number in 0..12 {
        let body = format!("long{number}");
        let fresh = records.iter().filter(|r| r.body == body && !r.resumed).count();
        assert_that!(fresh, eq(1), "{body} begins once");
    }
    assert_that!(records.iter().any(|r| r.resumed), eq(true), "some went on elsewhere");
    for number in (0..fleet.workers.len()).filter(|n| in_zone(*n)) {
        let left = fleet.records(number).await;
        assert_that!(trial::check::started_between(&left, accepted, u64::MAX), is_empty());
        let late: Vec<_> = left.iter().filter(|r| r.ended > accepted + FEW_SECONDS_MS).collect();
        assert_that!(late, is_empty(), "the zone is empty soon");
    }
}
