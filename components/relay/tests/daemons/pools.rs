//! Accepted jobs while pools come and go, and jobs that older versions have stored.

use std::collections::BTreeMap;

use googletest::prelude::*;
use prost::Message;
use relay::{Configuration, Outcome, Pool};
use shard::{JobSpec, JobState};

use crate::platform::{PARTITIONS, Platform, Worker, config};
use crate::{
    CALL_TIMEOUT, Daemon, eventually, job, quotes_partition, start_daemon, start_fleet, submit_job,
    wait_for_completion,
};

/// The usual configuration with another pool.
fn config_with(version: u64, pool: &str) -> Configuration {
    let mut config = config(version);
    config.pools.push(Pool { name: pool.into(), spare: false });
    config
}

/// Name of a pool beside which older versions would have given the test service another partition.
fn displacing_pool() -> String {
    let displaces = |name: &String| {
        let partitions = config_with(1, name).new_partitions(PARTITIONS - 1, &BTreeMap::new());
        partitions["quotes"] != quotes_partition()
    };
    (0..100).map(|n| format!("a{n}")).find(displaces).expect("such a name")
}

pub async fn configure(platform: &Platform, daemons: &[Daemon], config: Configuration) {
    let version = config.version;
    platform.state.lock().config = Some(config);
    for daemon in daemons {
        let in_force = || daemon.node.config().is_some_and(|c| c.version == version);
        eventually("the configuration is in force", || async { in_force() }).await;
    }
}

/// Writes a job as an older version has stored it.
fn store_job(platform: &Platform, partition: u32, spec: &JobSpec) {
    let mut state = platform.state.lock();
    let records = state.partitions.entry(partition).or_default();
    records.insert(format!("j:{}", spec.id), spec.encode_to_vec());
}

/// Expects a state at each daemon, as soon as it answers.
async fn expect_state(daemons: &[Daemon], n: usize, expected: JobState) {
    let id = format!("{n:016x}");
    for daemon in daemons {
        let mut outcome = Outcome::Refused { retry_ms: 0 };
        while matches!(outcome, Outcome::Refused { .. }) {
            outcome = daemon.node.job_state("quotes", &id, CALL_TIMEOUT).await;
        }
        expect_that!(outcome, eq(Outcome::State(expected)), "job {n}");
    }
}

// Guards against accepted jobs that are denied, stopped and run again when the configuration adds a pool.
#[gtest]
#[tokio::test]
async fn accepted_jobs_stay_known_and_run_once_while_pools_come_and_go() {
    let (platform, daemons) = start_fleet(3).await;
    submit_job(&daemons[0].node, 1).await;
    wait_for_completion(&daemons[0].node, 1).await;
    let pool = displacing_pool();
    for version in 2..6 {
        let next = if version % 2 == 0 { config_with(version, &pool) } else { config(version) };
        configure(&platform, &daemons, next).await;
        expect_state(&daemons, 1, JobState::Completed).await;
        // The request arrives once more.
        submit_job(&daemons[version as usize % 3].node, 1).await;
        submit_job(&daemons[0].node, 10 + version as usize).await;
        wait_for_completion(&daemons[1].node, 10 + version as usize).await;
    }
    expect_that!(platform.state.lock().starts.len(), eq(2 * 5));
}

// Guards against jobs that are lost with a pool that the configuration no longer has while its owner changes.
#[gtest]
#[tokio::test]
async fn jobs_of_a_pool_that_is_gone_are_carried_out_by_the_next_owner() {
    let (platform, daemons) = start_fleet(2).await;
    submit_job(&daemons[0].node, 1).await;
    let mut without = config(2);
    without.queues.clear();
    without.pools.retain(|p| p.name != "quotes");
    without.pools.push(Pool { name: displacing_pool(), spare: false });
    platform.state.lock().config = Some(without);
    // All daemons are replaced by one that has not seen the pool.
    {
        let mut state = platform.state.lock();
        for daemon in &daemons {
            state.rejected.insert(daemon.member.clone());
        }
    }
    let next = start_daemon(&platform, 9, true).await;
    wait_for_completion(&next.node, 1).await;
    expect_that!(platform.state.lock().assignments.len(), ge(2));
}

// Guards against jobs of an older version that are unknown because the configuration has changed meanwhile.
#[gtest]
#[tokio::test]
async fn jobs_that_an_older_version_has_stored_are_found_and_carried_out() {
    let (platform, _) = start_fleet(0).await;
    let partition = (0..PARTITIONS - 1).find(|p| *p != quotes_partition()).expect("another partition");
    let stored = |n| JobSpec { accepted_at: 1, epoch: 64, ..job(n) };
    // Most are in one partition. The last one was stored before yet another change.
    for n in 1..4 {
        store_job(&platform, partition, &stored(n));
    }
    store_job(&platform, quotes_partition(), &stored(4));
    let daemons = [start_daemon(&platform, 0, true).await, start_daemon(&platform, 1, true).await];
    for n in 1..4 {
        wait_for_completion(&daemons[n % 2].node, n).await;
    }
    let stray = daemons[0].node.clone();
    eventually("the stray job is known", || async {
        let state = stray.job_state("quotes", &format!("{:016x}", 4), CALL_TIMEOUT).await;
        matches!(state, Outcome::State(JobState::Queued | JobState::Running))
    })
    .await;
    // Their requests arrive once more.
    for n in 1..5 {
        submit_job(&daemons[0].node, n).await;
        submit_job(&daemons[1].node, n).await;
    }
    expect_that!(
        daemons[1].node.count_waiting(&config(1).queues[0], CALL_TIMEOUT).await,
        eq(Outcome::Count(1))
    );
    expect_that!(
        daemons[1].node.cancel("quotes", &format!("{:016x}", 4), CALL_TIMEOUT).await,
        eq(Outcome::Done)
    );
    expect_that!(platform.state.lock().starts.len(), eq(6));
}

// Guards against jobs that an older daemon accepts, during a roll-out, in a partition that newer ones do not know.
#[gtest]
#[tokio::test]
async fn a_service_without_stored_jobs_gets_the_partition_that_older_versions_use() {
    let (platform, _) = start_fleet(0).await;
    // The only stored job is one of the other pool, where that version had it.
    let pool = displacing_pool();
    let partitions = config_with(1, &pool).new_partitions(PARTITIONS - 1, &BTreeMap::new());
    let elsewhere = (0..PARTITIONS - 1).find(|p| *p != partitions[&pool]).expect("another partition");
    store_job(&platform, elsewhere, &JobSpec { service: pool.clone(), accepted_at: 1, epoch: 64, ..job(1) });
    platform.state.lock().config = Some(config_with(1, &pool));
    let daemon = start_daemon(&platform, 0, true).await;
    eventually("the daemon is ready", || async { daemon.node.ready() }).await;
    submit_job(&daemon.node, 2).await;
    let state = platform.state.lock();
    expect_true!(state.partitions[&partitions["quotes"]].contains_key(&format!("j:{}", job(2).id)));
}

// Guards against a shard that keeps commanding a worker of a service whose partition is another one.
#[gtest]
#[tokio::test]
async fn workers_of_a_new_pool_are_commanded_by_its_own_shard() {
    let (platform, daemons) = start_fleet(2).await;
    submit_job(&daemons[0].node, 1).await;
    let pool: &'static str = Box::leak(displacing_pool().into_boxed_str());
    let mut next = config_with(2, pool);
    let queue = relay::Queue {
        name: "p".into(),
        path_prefix: "/p/".into(),
        service: pool.into(),
        ..next.queues[0].clone()
    };
    next.queues.push(queue);
    let worker = Worker { service: Some(pool), ..Worker::default() };
    platform.state.lock().workers.insert("p0".into(), worker);
    configure(&platform, &daemons, next).await;
    let spec = JobSpec { queue: "p".into(), service: pool.into(), ..job(2) };
    eventually("the job is accepted", || async {
        daemons[1].node.submit("", spec.clone(), CALL_TIMEOUT).await == Outcome::Done
    })
    .await;
    let id = spec.id.clone();
    eventually("the job is completed", || async {
        daemons[0].node.job_state(pool, &id, CALL_TIMEOUT).await == Outcome::State(JobState::Completed)
    })
    .await;
    wait_for_completion(&daemons[1].node, 1).await;
    expect_that!(platform.state.lock().starts.len(), eq(4));
}
