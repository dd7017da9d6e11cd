//! What the owner reports of jobs that have a ready task and nothing running.

use crate::support::{Fleet, job, step, worker_info};
use googletest::prelude::*;
use shard::{Input, JobSpec, Obstacle, Resources};
use std::collections::HashMap;

fn of_customer(id: &str, cpu: u64) -> JobSpec {
    JobSpec { tenant: "acme".into(), ..job(id, vec![step(1, cpu)]) }
}

fn set_quota(fleet: &mut Fleet, cpu: u64) {
    let quota = Resources { cpu, mem: 100_000, gpu: 0 };
    fleet.apply(Input::Quotas(HashMap::from([("acme".to_owned(), quota)])));
}

#[gtest]
fn a_job_that_lacks_quota_is_reported_with_its_cause_and_the_time_that_it_stands() {
    let mut fleet = Fleet::new(2, 4_000);
    set_quota(&mut fleet, 1_500);
    fleet.submit(of_customer("a", 2_000));
    fleet.submit(of_customer("b", 2_000));
    fleet.advance(100);
    expect_that!(fleet.shard.find_standstill(), some(field!(&shard::Standstill.elapsed, eq(0))));
    fleet.advance(3_000);
    let found = fleet.shard.find_standstill().expect("a standstill");
    expect_that!(found.obstacle, eq(Obstacle::Quota));
    expect_that!(found.jobs, eq(2));
    expect_that!(found.elapsed, eq(3_000));
    expect_that!(found.customer, eq("acme"));
    expect_that!(found.quota.cpu, eq(1_500));
    expect_that!(found.workers.open, eq(2));
    set_quota(&mut fleet, 4_000);
    fleet.advance(100);
    expect_that!(fleet.shard.find_standstill(), none());
}

#[gtest]
fn a_job_whose_workers_are_cordoned_full_or_silent_is_reported_with_their_numbers() {
    let mut fleet = Fleet::new(3, 4_000);
    fleet.work_ms = 60_000;
    fleet.advance(100);
    fleet.apply(Input::Cordon { worker: "w0".into(), cordoned: true });
    fleet.workers.get_mut("w1").expect("a worker").unreachable = true;
    fleet.advance(1_600);
    fleet.submit(job("a", vec![step(1, 4_000)]));
    fleet.advance(100);
    expect_that!(fleet.shard.find_standstill(), none(), "a job that runs");
    fleet.submit(job("b", vec![step(1, 4_000)]));
    fleet.advance(100);
    let found = fleet.shard.find_standstill().expect("a standstill");
    expect_that!(found.task.job, eq("b"));
    expect_that!(found.obstacle, eq(Obstacle::Capacity));
    expect_that!((found.workers.cordoned, found.workers.silent, found.workers.full), eq((1, 1, 1)));
}

#[gtest]
fn a_job_that_no_worker_suits_is_reported_with_the_numbers_of_unsuitable_and_unlisted_ones() {
    let mut fleet = Fleet::new(1, 4_000);
    fleet.listed.push(shard::WorkerInfo { ready: false, ..worker_info("w1", 4_000) });
    fleet.workers.insert("w1".into(), crate::support::FakeWorker::default());
    fleet.send_worker_list();
    fleet.submit(job("a", vec![shard::StepSpec { label: "x".into(), ..step(1, 1_000) }]));
    fleet.advance(100);
    let found = fleet.shard.find_standstill().expect("a standstill");
    expect_that!(found.obstacle, eq(Obstacle::Capacity));
    expect_that!((found.workers.unsuitable, found.workers.unlisted), eq((1, 1)));
}
