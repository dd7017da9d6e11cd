//! Jobs that have a ready task and nothing running: what the owner reports of them, and what must not hold them up.

use crate::support::{Fleet, TICK_MS, job, long_running, step, worker_info};
use googletest::prelude::*;
use shard::{Input, JobSpec, JobState, Obstacle, Resources, StepSpec};
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
    fleet.submit(job("a", vec![StepSpec { label: "x".into(), ..step(1, 1_000) }]));
    fleet.advance(100);
    let found = fleet.shard.find_standstill().expect("a standstill");
    expect_that!(found.obstacle, eq(Obstacle::Capacity));
    expect_that!((found.workers.unsuitable, found.workers.unlisted), eq((1, 1)));
}

/// Time in milliseconds that jobs may have nothing running although a worker has room.
const STANDSTILL_LIMIT_MS: u64 = 3_000;
/// Time in milliseconds for which a cordon has to hold without being renewed: the longest time from the last look
/// at the worker to an order for its machine that takes effect.
const ORDER_TIME_MS: u64 = 3_000;

fn cordon(fleet: &mut Fleet) {
    for worker in ["w0", "w1"] {
        fleet.apply(Input::Cordon { worker: worker.into(), cordoned: true });
    }
}

#[gtest]
fn workers_whose_cordon_nobody_renews_are_used_again() {
    let mut fleet = Fleet::new(2, 4_000);
    fleet.advance(100);
    cordon(&mut fleet);
    fleet.submit(job("a", vec![step(2, 2_000)]));
    fleet.advance(ORDER_TIME_MS);
    expect_that!(fleet.start_requests.len(), eq(0));
    fleet.advance(STANDSTILL_LIMIT_MS);
    expect_that!(fleet.job_state("a"), some(eq(JobState::Completed)));
}

#[gtest]
fn workers_whose_cordon_is_renewed_get_no_tasks() {
    let mut fleet = Fleet::new(2, 4_000);
    fleet.advance(100);
    fleet.submit(job("a", vec![step(2, 2_000)]));
    for _ in 0..100 {
        cordon(&mut fleet);
        fleet.advance(10 * TICK_MS);
    }
    expect_that!(fleet.start_requests.len(), eq(0));
}

#[gtest]
fn workers_of_a_rack_that_crash_and_come_back_under_their_ids_are_used_again() {
    let mut fleet = Fleet::new(4, 4_000);
    fleet.submit(long_running("a", 4, 1_000));
    fleet.advance(1_000);
    expect_that!(fleet.workers.values().filter(|w| !w.running.is_empty()).count(), eq(4));
    let all = fleet.listed.clone();
    for id in ["w0", "w1"] {
        fleet.crash(id);
        fleet.workers.get_mut(id).expect("a worker").unreachable = true;
    }
    fleet.advance(7_000);
    fleet.listed.truncate(0);
    fleet.listed.extend(all.iter().filter(|w| w.id == "w2" || w.id == "w3").cloned());
    fleet.send_worker_list();
    fleet.advance(800);
    for id in ["w0", "w1"] {
        fleet.workers.get_mut(id).expect("a worker").unreachable = false;
    }
    fleet.listed = all;
    fleet.send_worker_list();
    fleet.advance(STANDSTILL_LIMIT_MS);
    expect_that!(fleet.workers.values().filter(|w| !w.running.is_empty()).count(), eq(4));
}

#[gtest]
fn steps_whose_label_no_worker_has_hold_up_no_other_job() {
    let mut fleet = Fleet::new(2, 4_000);
    let hopeless = StepSpec { label: "x".into(), long_running: true, ..step(1, 1_000) };
    fleet.submit(job("hopeless", vec![hopeless; 30]));
    fleet.advance(100);
    fleet.submit(job("a", vec![step(1, 1_000)]));
    fleet.advance(STANDSTILL_LIMIT_MS);
    expect_that!(fleet.job_state("a"), some(eq(JobState::Completed)));
}

#[gtest]
fn long_running_steps_that_lack_distinct_workers_hold_up_no_other_job() {
    let mut fleet = Fleet::new(3, 16_000);
    for n in 0..30 {
        fleet.submit(long_running(&format!("lasting{n}"), 5, 100));
    }
    fleet.advance(1_000);
    fleet.submit(job("a", vec![step(1, 1_000)]));
    fleet.advance(STANDSTILL_LIMIT_MS);
    expect_that!(fleet.job_state("a"), some(eq(JobState::Completed)));
}

#[gtest]
fn steps_of_many_sizes_that_lack_room_hold_up_no_smaller_job() {
    let mut fleet = Fleet::new(3, 4_000);
    fleet.work_ms = 60_000;
    fleet.submit(job("runs", vec![step(3, 3_000)]));
    fleet.advance(100);
    for n in 0..30 {
        fleet.submit(job(&format!("large{n}"), vec![step(1, 1_500 + n * 10)]));
    }
    fleet.advance(100);
    fleet.submit(job("small", vec![step(1, 500)]));
    fleet.advance(100);
    expect_that!(fleet.job_state("small"), some(eq(JobState::Running)));
}

#[gtest]
fn tasks_that_long_running_ones_leave_no_room_for_keep_no_worker_free() {
    let mut fleet = Fleet::new(3, 4_000);
    fleet.submit(long_running("lasting", 3, 1_000));
    fleet.advance(1_000);
    for n in 0..6 {
        fleet.submit(job(&format!("large{n}"), vec![step(1, 3_500)]));
    }
    fleet.advance(100);
    // Eighteen at a time for half a second each; long past the objective, the order is that of acceptance.
    fleet.submit(job("small", vec![step(600, 500)]));
    fleet.advance(40_000);
    expect_that!(fleet.job_state("small"), some(eq(JobState::Completed)));
}

/// Workers that the service lacks after a job has stood still for two looks.
fn lacking(fleet: &mut Fleet) -> u64 {
    for _ in 0..3 {
        fleet.shard.find_standstill();
        fleet.advance(1_000);
    }
    fleet.shard.service_load("quotes", 0, 0).lacking
}

#[gtest]
fn a_service_lacks_workers_for_a_step_that_uses_each_worker_once() {
    let mut fleet = Fleet::new(3, 16_000);
    fleet.submit(long_running("a", 5, 1_000));
    expect_that!(lacking(&mut fleet), eq(2));
}

#[gtest]
fn a_service_lacks_a_worker_for_a_task_that_long_running_ones_leave_no_room_for() {
    let mut fleet = Fleet::new(3, 4_000);
    fleet.submit(long_running("a", 3, 1_000));
    fleet.advance(1_000);
    fleet.submit(job("large", vec![step(1, 3_500)]));
    expect_that!(lacking(&mut fleet), eq(1));
}

#[gtest]
fn a_service_lacks_no_workers_for_tasks_that_will_have_room_or_never_can() {
    let mut fleet = Fleet::new(3, 4_000);
    fleet.work_ms = 60_000;
    fleet.submit(job("runs", vec![step(3, 3_000)]));
    fleet.advance(1_000);
    fleet.submit(job("waits", vec![step(1, 3_000)]));
    fleet.submit(job("larger", vec![step(1, 5_000)]));
    fleet.submit(job("labelled", vec![StepSpec { label: "x".into(), ..step(1, 1_000) }]));
    expect_that!(lacking(&mut fleet), eq(0));
}

#[gtest]
fn a_job_with_more_tasks_than_one_record_lists_stops_no_other_job() {
    let mut fleet = Fleet::new(2, 64_000);
    fleet.submit(job("f000000000000001", vec![step(12_000, 1)]));
    fleet.advance(100);
    fleet.submit(job("a", vec![step(2, 1_000)]));
    fleet.advance(STANDSTILL_LIMIT_MS);
    expect_that!(fleet.job_state("a"), some(eq(JobState::Completed)));
    fleet.advance(10_000);
    expect_that!(fleet.job_state("f000000000000001"), some(eq(JobState::Completed)));
}

#[gtest]
fn a_task_whose_percent_takes_long_is_not_stopped() {
    let mut fleet = Fleet::new(2, 4_000);
    fleet.work_ms = 400_000;
    let slow = StepSpec { estimate: 400_000, ..step(1, 1_000) };
    fleet.submit(job("a", vec![slow]));
    fleet.advance(410_000);
    expect_that!(fleet.job_state("a"), some(eq(JobState::Completed)));
    expect_that!(fleet.start_requests.len(), eq(1));
}

#[gtest]
fn a_task_that_is_much_longer_than_estimated_makes_its_way() {
    let mut fleet = Fleet::new(4, 4_000);
    fleet.work_ms = 400_000;
    fleet.submit(job("a", vec![step(1, 1_000)]));
    fleet.advance(500_000);
    expect_that!(fleet.job_state("a"), some(eq(JobState::Completed)));
}
