//! Copies of slow tasks: steps that wait for a straggler end in time, and no fault of either run costs more than it.

use crate::support::{Fleet, job, step};
use googletest::prelude::*;
use shard::{CopyOutcome, Input, JobSpec, JobState, Resources, StartRequest, StepSpec};
use std::collections::HashMap;

/// Mean work of a task in milliseconds, of the customer's load.
pub const WORK_MS: u64 = 850;
/// Work of a straggler in milliseconds, 7 times as much.
pub const STRAGGLER_MS: u64 = 7 * WORK_MS;
/// Objective of a step of such tasks in milliseconds: 1.6 times its work plus 600 ms.
pub const OBJECTIVE_MS: u64 = WORK_MS * 16 / 10 + 600;

pub fn speculative(count: u32, cpu: u64) -> StepSpec {
    StepSpec { speculative: true, estimate: WORK_MS, ..step(count, cpu) }
}

/// The last task of a step is a straggler in its first run.
fn last_is_slow(request: &StartRequest, work_ms: u64) -> u64 {
    if request.task_id.index == 7 && request.run == 1 { STRAGGLER_MS } else { work_ms }
}

pub fn fleet(workers: usize) -> Fleet {
    let mut fleet = Fleet::new(workers, 4_000);
    fleet.work_ms = WORK_MS;
    fleet.work_for = last_is_slow;
    fleet.advance(1_200);
    fleet
}

/// Time in milliseconds until a job has completed, at most 20 s.
fn completion_ms(fleet: &mut Fleet, id: &str) -> u64 {
    let start = fleet.now;
    while fleet.job_state(id) != Some(JobState::Completed) && fleet.now < start + 20_000 {
        fleet.advance(10);
    }
    fleet.now - start
}

pub fn starts_of(fleet: &Fleet, index: u32) -> Vec<(String, u32)> {
    let starts = fleet.start_requests.iter().filter(|r| r.task_id.index == index);
    starts.map(|r| (r.worker.clone(), r.run)).collect()
}

/// Runs a job with one straggler until its copy has started; returns the workers of the first run and the copy.
pub fn until_copied(fleet: &mut Fleet, spec: JobSpec) -> (String, String) {
    fleet.submit(spec);
    let end = fleet.now + 4_000;
    while starts_of(fleet, 7).len() < 2 && fleet.now < end {
        fleet.advance(10);
    }
    let starts = starts_of(fleet, 7);
    assert_eq!(starts.len(), 2, "a first run and a copy");
    (starts[0].0.clone(), starts[1].0.clone())
}

/// Advances until the shard has planned a copy, whose start it has not sent yet.
fn until_planned(fleet: &mut Fleet) {
    let end = fleet.now + 4_000;
    while fleet.shard.take_copy_outcomes().is_empty() {
        assert!(fleet.now < end, "a copy");
        fleet.advance(10);
    }
}

pub fn plain_job() -> JobSpec {
    job("a", vec![speculative(8, 1_000)])
}

/// Nothing runs, all ends are acknowledged, and no customer is charged for anything.
pub fn assert_idle(fleet: &Fleet) {
    expect_true!(fleet.workers.values().all(|w| w.running.is_empty() && w.ended.is_empty()));
    for usage in fleet.shard.usage().values() {
        expect_that!(usage.used, eq(Resources::default()));
    }
    expect_that!(fleet.shard.service_load("quotes", 0, 0).used, eq(0));
}

#[gtest]
fn a_step_with_one_straggler_ends_in_time_with_copies_and_not_without() {
    let mut with = fleet(40);
    with.submit(plain_job());
    expect_that!(completion_ms(&mut with, "a"), le(OBJECTIVE_MS));
    expect_that!(with.start_requests.len(), eq(9));
    with.advance(3_000);
    assert_idle(&with);
    let mut without = fleet(40);
    without.submit(job("a", vec![step(8, 1_000)]));
    expect_that!(completion_ms(&mut without, "a"), gt(OBJECTIVE_MS));
    expect_that!(without.start_requests.len(), eq(8));
}

#[gtest]
fn a_straggler_is_copied_in_time_whenever_its_worker_was_last_polled() {
    // With one task a worker, no end of a sibling brings a report of the straggler.
    for offset in (0..1_000).step_by(50) {
        let mut fleet = fleet(40);
        fleet.advance(offset);
        fleet.submit(job("a", vec![StepSpec { max_colocated: 1, ..speculative(8, 1_000) }]));
        expect_that!(completion_ms(&mut fleet, "a"), le(OBJECTIVE_MS), "offset {offset}");
    }
}

#[gtest]
fn a_run_on_a_worker_that_hangs_is_copied_before_its_lease_expires() {
    let mut fleet = fleet(40);
    fleet.work_for = |_, work_ms| work_ms;
    fleet.submit(job("a", vec![StepSpec { max_colocated: 1, ..speculative(8, 1_000) }]));
    fleet.advance(100);
    let hung = starts_of(&fleet, 7)[0].0.clone();
    fleet.workers.get_mut(&hung).expect("a worker").unreachable = true;
    let took = 100 + completion_ms(&mut fleet, "a");
    expect_that!(took, lt(5_000));
    expect_that!(starts_of(&fleet, 7).len(), eq(2));
    fleet.workers.get_mut(&hung).expect("a worker").unreachable = false;
    fleet.advance(8_000);
    assert_idle(&fleet);
}

#[gtest]
fn ends_of_both_runs_at_the_same_time_complete_the_task_once() {
    let mut fleet = fleet(40);
    let after = StepSpec { depends_on: vec![0], ..step(1, 1_000) };
    let (first, copy) = until_copied(&mut fleet, job("a", vec![speculative(8, 1_000), after]));
    fleet.advance(200);
    let now = fleet.now;
    for worker in [&first, &copy] {
        let running = &mut fleet.workers.get_mut(worker).expect("a worker").running;
        let run = running.get_mut("a.0.0.7").expect("a run");
        run.work_ms = now + 50 - run.started_at;
    }
    fleet.advance(4_000);
    expect_that!(fleet.job_state("a"), some(eq(JobState::Completed)));
    expect_that!(fleet.start_requests.len(), eq(10));
    assert_idle(&fleet);
}

#[gtest]
fn a_copy_whose_worker_crashes_leaves_the_first_run_alone() {
    let mut fleet = fleet(40);
    let (_, copy) = until_copied(&mut fleet, plain_job());
    fleet.advance(200);
    fleet.crash(&copy);
    fleet.advance(STRAGGLER_MS);
    expect_that!(fleet.job_state("a"), some(eq(JobState::Completed)));
    expect_that!(fleet.start_requests.len(), eq(9));
    expect_that!(fleet.shard.take_copy_outcomes(), eq(&vec![CopyOutcome::Started, CopyOutcome::Dropped]));
    assert_idle(&fleet);
}

#[gtest]
fn a_copy_whose_start_is_unanswered_or_never_arrives_leaves_the_first_run_alone() {
    for arrives in [true, false] {
        let mut fleet = fleet(40);
        fleet.submit(plain_job());
        until_planned(&mut fleet);
        let first = starts_of(&fleet, 7)[0].0.clone();
        fleet.drop_start_replies = true;
        for (_, worker) in fleet.workers.iter_mut().filter(|(id, _)| **id != first) {
            worker.unreachable = !arrives;
        }
        fleet.advance(100);
        fleet.drop_start_replies = false;
        fleet.workers.values_mut().for_each(|w| w.unreachable = false);
        fleet.advance(STRAGGLER_MS + 2_000);
        expect_that!(fleet.job_state("a"), some(eq(JobState::Completed)));
        expect_that!(starts_of(&fleet, 7).iter().filter(|(w, _)| *w == first).count(), eq(1));
        expect_that!(
            fleet.start_requests.len(),
            le(10),
            "a copy whose start never took place may be repeated once"
        );
        assert_idle(&fleet);
    }
}

#[gtest]
fn a_copy_that_is_refused_leaves_the_first_run_alone_and_is_repeated_once() {
    let mut fleet = fleet(40);
    for worker in fleet.workers.values_mut() {
        worker.barred_runs.insert("a.0.0.7".into(), 0);
    }
    fleet.submit(plain_job());
    fleet.advance(300);
    for worker in fleet.workers.values_mut() {
        worker.barred_runs.insert("a.0.0.7".into(), 1_000);
    }
    fleet.advance(STRAGGLER_MS);
    expect_that!(fleet.job_state("a"), some(eq(JobState::Completed)));
    expect_that!(starts_of(&fleet, 7).len(), eq(3));
    assert_idle(&fleet);
}

#[gtest]
fn a_copy_goes_on_alone_if_the_worker_of_the_first_run_is_lost() {
    for crashes in [true, false] {
        let mut fleet = fleet(40);
        let (first, _) = until_copied(&mut fleet, plain_job());
        fleet.advance(100);
        if crashes {
            fleet.crash(&first);
        } else {
            fleet.workers.get_mut(&first).expect("a worker").unreachable = true;
        }
        fleet.advance(1_500);
        expect_that!(fleet.job_state("a"), some(eq(JobState::Completed)));
        fleet.workers.get_mut(&first).expect("a worker").unreachable = false;
        fleet.advance(8_000);
        expect_that!(fleet.start_requests.len(), eq(9));
        assert_idle(&fleet);
    }
}

#[gtest]
fn a_copy_and_its_first_run_go_on_through_a_change_of_owner() {
    // Worker that the new owner cannot reach: none, that of the first run, that of the copy.
    for silent in 0..3 {
        let mut fleet = fleet(40);
        let (first, copy) = until_copied(&mut fleet, plain_job());
        fleet.advance(100);
        if silent > 0 {
            let id = if silent == 1 { &first } else { &copy };
            fleet.workers.get_mut(id).expect("a worker").unreachable = true;
        }
        fleet.change_owner();
        let limit = if silent == 2 { STRAGGLER_MS } else { 1_500 };
        expect_that!(completion_ms(&mut fleet, "a"), le(limit), "silent {silent}");
        expect_that!(fleet.start_requests.len(), eq(9), "silent {silent}");
        fleet.workers.values_mut().for_each(|w| w.unreachable = false);
        fleet.advance(12_000);
        assert_idle(&fleet);
    }
}

#[gtest]
fn a_job_that_is_cancelled_while_two_runs_are_on_stops_both() {
    let mut fleet = fleet(40);
    until_copied(&mut fleet, plain_job());
    fleet.advance(100);
    fleet.cancel("a");
    fleet.advance(1_000);
    expect_that!(fleet.job_state("a"), some(eq(JobState::Cancelled)));
    fleet.advance(2_000);
    expect_that!(fleet.start_requests.len(), eq(9));
    assert_idle(&fleet);
}

#[gtest]
fn a_copy_that_waits_for_its_record_is_not_started_once_the_first_run_is_done() {
    let mut fleet = fleet(40);
    fleet.submit(plain_job());
    until_planned(&mut fleet);
    fleet.log_unresponsive = true;
    let first = starts_of(&fleet, 7)[0].0.clone();
    let run = fleet.workers.get_mut(&first).expect("a worker").running.get_mut("a.0.0.7").expect("a run");
    run.work_ms = fleet.now - run.started_at;
    fleet.advance(200);
    fleet.log_unresponsive = false;
    fleet.advance(3_000);
    expect_that!(fleet.job_state("a"), some(eq(JobState::Completed)));
    expect_that!(starts_of(&fleet, 7).len(), le(2));
    assert_idle(&fleet);
}

/// Plays a step whose last task fails in all its runs, with a copy; returns the state of the job and the task's starts.
fn failing_runs(max_attempts: u32, change_owner: bool) -> (Option<JobState>, usize) {
    let mut fleet = fleet(40);
    let (first, copy) = until_copied(&mut fleet, JobSpec { max_attempts, ..plain_job() });
    fleet.advance(100);
    // The copy fails first, then the first run, whose number is lower.
    for (n, worker) in [&copy, &first].into_iter().enumerate() {
        let worker = fleet.workers.get_mut(worker).expect("a worker");
        worker.failing = true;
        worker.running.get_mut("a.0.0.7").expect("a run").work_ms = 0;
        fleet.advance(300);
        if change_owner && n == 0 {
            fleet.change_owner();
            fleet.advance(100);
        }
    }
    fleet.workers.values_mut().for_each(|w| w.failing = true);
    fleet.advance(8_000);
    (fleet.job_state("a"), starts_of(&fleet, 7).len())
}

#[gtest]
fn failures_of_both_runs_count_once_each_against_the_attempts() {
    for change_owner in [false, true] {
        expect_that!(failing_runs(2, change_owner), eq((Some(JobState::Failed), 2)));
        expect_that!(failing_runs(3, change_owner), eq((Some(JobState::Failed), 3)));
        expect_that!(failing_runs(5, change_owner), eq((Some(JobState::Failed), 5)));
    }
}

#[gtest]
fn no_copy_starts_whose_failure_could_fail_the_job() {
    let mut fleet = fleet(40);
    fleet.submit(JobSpec { max_attempts: 1, ..plain_job() });
    fleet.advance(STRAGGLER_MS + 500);
    expect_that!(fleet.job_state("a"), some(eq(JobState::Completed)));
    expect_that!(fleet.start_requests.len(), eq(8));
}

/// CPU of copies that run, in thousandths of a core: all runs of a task but one.
fn copies_cpu(fleet: &Fleet, cpu: u64) -> u64 {
    let mut runs: HashMap<&String, u64> = HashMap::new();
    for task in fleet.workers.values().flat_map(|w| w.running.keys()) {
        *runs.entry(task).or_default() += 1;
    }
    runs.values().map(|n| (n - 1) * cpu).sum()
}

#[gtest]
fn copies_take_at_most_a_tenth_of_the_capacity() {
    let mut fleet = fleet(40);
    // Half of the tasks are stragglers.
    fleet.work_for = |r, work_ms| if r.task_id.index >= 4 && r.run == 1 { STRAGGLER_MS } else { work_ms };
    for n in 0..10 {
        fleet.submit(job(&format!("j{n}"), vec![speculative(8, 1_000)]));
    }
    let mut most = 0;
    for _ in 0..800 {
        fleet.advance(10);
        most = most.max(copies_cpu(&fleet, 1_000));
    }
    expect_that!(most, all![gt(0), le(40 * 4_000 / 10)]);
}

#[gtest]
fn no_copy_starts_while_tasks_wait_for_room() {
    let mut fleet = fleet(10);
    fleet.submit(plain_job());
    fleet.advance(300);
    // More than the pool holds for longer than the straggler runs; tasks of 3 cores leave room for a copy.
    for n in 0..40 {
        fleet.submit(job(&format!("j{n}"), vec![step(2, 3_000)]));
    }
    fleet.advance(STRAGGLER_MS);
    expect_that!(fleet.job_state("a"), some(eq(JobState::Completed)));
    expect_that!(starts_of(&fleet, 7).len(), eq(1));
}

#[gtest]
fn tasks_that_fit_no_worker_keep_no_copy_from_starting() {
    let mut fleet = fleet(40);
    fleet.submit(job("huge", vec![step(1, 64_000)]));
    fleet.submit(job("label", vec![StepSpec { label: "x".into(), ..step(1, 1_000) }]));
    fleet.submit(plain_job());
    expect_that!(completion_ms(&mut fleet, "a"), le(OBJECTIVE_MS));
}

#[gtest]
fn no_task_of_another_kind_is_copied() {
    let kinds = [
        step(8, 1_000),
        StepSpec { gang: true, ..speculative(8, 1_000) },
        StepSpec { best_effort: true, ..speculative(8, 1_000) },
    ];
    for kind in kinds {
        let mut fleet = fleet(40);
        fleet.submit(job("a", vec![kind]));
        fleet.advance(STRAGGLER_MS + 1_000);
        expect_that!(fleet.start_requests.len(), eq(8));
        expect_that!(fleet.job_state("a"), some(eq(JobState::Completed)));
    }
}

#[gtest]
fn copies_stay_within_the_quota_of_their_customer() {
    for (quota, starts) in [(8_000, 9), (1_500, 8)] {
        let mut fleet = fleet(40);
        let all = Resources { cpu: 8_000, mem: 100_000, gpu: 0 };
        fleet.apply(Input::Quotas([("acme".to_owned(), all)].into()));
        fleet.submit(JobSpec { tenant: "acme".into(), ..plain_job() });
        fleet.advance(400);
        // The quota is cut to what the straggler leaves once the other tasks have ended.
        fleet.apply(Input::Quotas([("acme".to_owned(), Resources { cpu: quota, ..all })].into()));
        for _ in 0..600 {
            fleet.advance(10);
            let running: usize = fleet.workers.values().map(|w| w.running.len()).sum();
            expect_that!(running, le(8));
        }
        expect_that!(fleet.start_requests.len(), eq(starts));
        assert_idle(&fleet);
    }
}

#[gtest]
fn a_copy_of_a_run_on_a_slow_worker_goes_to_another_rack() {
    let mut fleet = fleet(20);
    for (n, info) in fleet.listed.iter_mut().enumerate() {
        info.labels = vec!["a".into(), format!("r1-{}", n / 10)];
    }
    let racks: HashMap<String, String> =
        fleet.listed.iter().map(|i| (i.id.clone(), i.labels[1].clone())).collect();
    fleet.workers.clear();
    let mut slow = Fleet::new(0, 0);
    std::mem::swap(&mut slow.listed, &mut fleet.listed);
    slow.work_ms = WORK_MS;
    // All tasks that start first on the first worker are slow.
    slow.work_for = |r, work_ms| if r.worker == "w0" { STRAGGLER_MS } else { work_ms };
    for info in &slow.listed {
        let worker = crate::support::FakeWorker { incarnation: 1, ..Default::default() };
        slow.workers.insert(info.id.clone(), worker);
    }
    slow.send_worker_list();
    slow.advance(1_200);
    slow.submit(job("a", vec![StepSpec { max_colocated: 2, ..speculative(8, 1_000) }]));
    slow.advance(2_000);
    let copies: Vec<&StartRequest> = slow.start_requests.iter().filter(|r| r.run == 2).collect();
    expect_that!(copies.len(), eq(2));
    for copy in copies {
        expect_that!(racks[&copy.worker], not(eq(&racks["w0"])));
    }
}
