//! Accepted jobs while their queue moves between services.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use relay::{Configuration, Outcome, Pool, Queue};
use shard::{JobSpec, JobState, StepSpec};

use crate::platform::{Platform, Worker, config};
use crate::pools::configure;
use crate::{CALL_TIMEOUT, Daemon, TASK_MS, eventually, job, start_daemon, start_fleet};

/// Service to which the queue moves.
const OTHER: &str = "bookings";

/// The usual configuration with a second pool; the queue is sent to one of them.
fn config_to(version: u64, service: &str) -> Configuration {
    let mut config = config(version);
    config.pools.push(Pool { name: OTHER.into(), spare: false });
    config.queues[0].service = service.into();
    config
}

async fn start_two_pools(daemons: usize) -> (Arc<Platform>, Vec<Daemon>) {
    let (platform, _) = start_fleet(0).await;
    {
        let mut state = platform.state.lock();
        state.workers.insert("b0".into(), Worker { service: Some(OTHER), ..Worker::default() });
        state.config = Some(config_to(1, "quotes"));
    }
    let mut fleet = Vec::new();
    for n in 0..daemons {
        fleet.push(start_daemon(&platform, n, true).await);
    }
    for daemon in &fleet {
        eventually("the daemon is ready", || async { daemon.node.ready() }).await;
    }
    (platform, fleet)
}

/// Hands a job in at a daemon, which sends it where its version of the configuration says.
async fn submit(daemon: &Daemon, spec: &JobSpec) {
    eventually("the job is accepted", || async {
        let service = queue(daemon).service;
        daemon.node.submit("", JobSpec { service, ..spec.clone() }, CALL_TIMEOUT).await == Outcome::Done
    })
    .await;
}

fn queue(daemon: &Daemon) -> Queue {
    daemon.node.config().map(|c| c.queues[0].clone()).unwrap_or_default()
}

async fn state_at(daemon: &Daemon, id: &str) -> Outcome {
    loop {
        let outcome = daemon.node.job_state(&queue(daemon).service, id, CALL_TIMEOUT).await;
        if !matches!(outcome, Outcome::Refused { .. }) {
            return outcome;
        }
    }
}

async fn wait_until_completed(daemon: &Daemon, id: &str) {
    eventually("the job is completed", || async {
        state_at(daemon, id).await == Outcome::State(JobState::Completed)
    })
    .await;
}

/// Whether each started run is the first one of its task.
fn each_task_ran_once(platform: &Platform) -> bool {
    let state = platform.state.lock();
    let mut tasks: Vec<&String> = state.starts.iter().map(|(task, _)| task).collect();
    let count = tasks.len();
    tasks.sort_unstable();
    tasks.dedup();
    tasks.len() == count
}

fn two_steps(n: usize) -> JobSpec {
    let mut spec = job(n);
    spec.steps.push(StepSpec { depends_on: vec![0], ..spec.steps[0].clone() });
    spec
}

// Guards against jobs that are denied, and run again when their requests come again, after their queue has moved.
#[gtest]
#[tokio::test]
async fn accepted_jobs_stay_known_and_run_once_while_their_queue_moves_and_moves_back() {
    let (platform, daemons) = start_two_pools(3).await;
    let mut jobs = Vec::new();
    for (version, service) in (2..6).zip([OTHER, "quotes", OTHER, "quotes"]) {
        // One has ended and one is at work when the queue moves.
        for n in 0..2 {
            let spec = two_steps(jobs.len());
            submit(&daemons[n], &spec).await;
            if n == 0 {
                wait_until_completed(&daemons[2], &spec.id).await;
            }
            jobs.push(spec);
        }
        configure(&platform, &daemons, config_to(version, service)).await;
        for spec in &jobs {
            for daemon in &daemons {
                expect_that!(
                    state_at(daemon, &spec.id).await,
                    not(eq(Outcome::NotFound)),
                    "version {version}"
                );
            }
            submit(&daemons[version as usize % 3], spec).await;
        }
    }
    for spec in &jobs {
        wait_until_completed(&daemons[0], &spec.id).await;
    }
    expect_that!(platform.state.lock().starts.len(), eq(8 * 4));
    expect_true!(each_task_ran_once(&platform));
}

// Guards against a job that both services accept while daemons hold different versions of the configuration.
#[gtest]
#[tokio::test]
async fn a_job_runs_once_when_daemons_with_different_versions_get_its_requests_at_once() {
    let (platform, daemons) = start_two_pools(3).await;
    // Requests by the version before the move, and by that after it.
    for n in 0..20 {
        let spec = two_steps(n);
        let calls = (0..6).map(|call| {
            let service = if call % 2 == 0 { "quotes" } else { OTHER };
            daemons[call % 3].node.submit(
                "",
                JobSpec { service: service.into(), ..spec.clone() },
                CALL_TIMEOUT,
            )
        });
        let outcomes = futures_util::future::join_all(calls).await;
        expect_that!(outcomes, contains(eq(&Outcome::Done)), "job {n}: {outcomes:?}");
    }
    for n in 0..20 {
        wait_until_completed(&daemons[0], &two_steps(n).id).await;
    }
    expect_that!(platform.state.lock().starts.len(), eq(20 * 4));
    expect_true!(each_task_ran_once(&platform));
}

// Guards against jobs that are unknown to owners and daemons that have never seen where their queue was sent.
#[gtest]
#[tokio::test]
async fn jobs_of_a_queue_that_has_moved_are_found_and_cancelled_by_daemons_that_have_not_seen_it_move() {
    let (platform, daemons) = start_two_pools(2).await;
    let endless = |n| {
        let mut spec = job(n);
        spec.steps[0].count = 1;
        spec.steps[0].cpu = 64_000;
        spec
    };
    submit(&daemons[0], &endless(1)).await;
    configure(&platform, &daemons, config_to(2, OTHER)).await;
    submit(&daemons[1], &endless(2)).await;
    submit(&daemons[0], &two_steps(3)).await;
    wait_until_completed(&daemons[1], &two_steps(3).id).await;
    // The pool to which the queue was sent first is gone, and with it all daemons.
    let mut next = config_to(3, OTHER);
    next.pools.retain(|p| p.name != "quotes");
    {
        let mut state = platform.state.lock();
        state.config = Some(next);
        for daemon in &daemons {
            state.rejected.insert(daemon.member.clone());
        }
    }
    let fresh = start_daemon(&platform, 9, true).await;
    eventually("the daemon is ready", || async { fresh.node.ready() }).await;
    for n in 1..3 {
        expect_that!(state_at(&fresh, &endless(n).id).await, eq(Outcome::State(JobState::Queued)));
    }
    expect_that!(state_at(&fresh, &two_steps(3).id).await, eq(Outcome::State(JobState::Completed)));
    for spec in [endless(1), endless(2), two_steps(3)] {
        submit(&fresh, &spec).await;
    }
    expect_that!(fresh.node.count_waiting(&queue(&fresh), CALL_TIMEOUT).await, eq(Outcome::Count(2)));
    for n in 1..3 {
        let id = endless(n).id;
        // The former owner may still hold the shard, and cannot store anything.
        eventually("the job is cancelled", || async {
            fresh.node.cancel(OTHER, &id, CALL_TIMEOUT).await == Outcome::Done
        })
        .await;
        expect_that!(state_at(&fresh, &id).await, eq(Outcome::State(JobState::Cancelled)));
    }
    expect_that!(fresh.node.cancel(OTHER, "00000000000000ff", CALL_TIMEOUT).await, eq(Outcome::NotFound));
    tokio::time::sleep(Duration::from_millis(4 * TASK_MS)).await;
    expect_true!(each_task_ran_once(&platform));
}

// Guards against a job that is accepted twice because its home's owner ends between the referral and the submission.
#[gtest]
#[tokio::test]
async fn a_job_runs_once_when_owners_end_while_requests_for_it_come_again() {
    let (platform, mut daemons) = start_two_pools(3).await;
    configure(&platform, &daemons, config_to(2, OTHER)).await;
    for round in 0..3_usize {
        let calls = (0..6).map(|call| {
            let service = if call % 2 == 0 { "quotes" } else { OTHER };
            let spec = JobSpec { service: service.into(), ..two_steps(round) };
            let node = Arc::clone(&daemons[call % daemons.len()].node);
            tokio::spawn(async move { node.submit("", spec, CALL_TIMEOUT).await })
        });
        let calls: Vec<_> = calls.collect();
        let lost = daemons.remove(0);
        platform.state.lock().rejected.insert(lost.member.clone());
        for call in calls {
            call.await.expect("an outcome");
        }
        daemons.push(start_daemon(&platform, 10 + round, true).await);
        for daemon in &daemons {
            submit(daemon, &two_steps(round)).await;
        }
        wait_until_completed(&daemons[0], &two_steps(round).id).await;
    }
    // A change of owner may start a run again, but never at the other service.
    for n in 0..3 {
        let state = platform.state.lock();
        let of_job = state.start_workers.iter().filter(|(task, _)| task.starts_with(&two_steps(n).id));
        let services: BTreeSet<_> = of_job.map(|(_, worker)| state.workers[worker].service).collect();
        expect_that!(services.len(), eq(1), "job {n}: {:?}", state.start_workers);
    }
}
