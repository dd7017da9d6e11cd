//! Tasks whose ends are known while a start of theirs, which went without an answer, is still on its way.

use crate::storm::troubles;
use crate::support::troubles::{Breach, Troubles};
use crate::support::{Fleet, TICK_MS, job, step};
use crate::unanswered::advance_to_start;
use googletest::prelude::*;
use shard::{Input, JobState, Ms};

/// Time after which the platform carries out no call any more, and some for the owner to act.
const LATE_LIMIT_MS: Ms = 12_000;
const SLACK_MS: Ms = 1_500;

/// When the first start reaches its worker, after it was sent.
const FIRST_AFTER_MS: Ms = 8_000;

/// A fleet of one worker whose only task is done by its second start, and when the first one reaches the worker.
fn fleet_with_repeated_start() -> (Fleet, Ms) {
    let mut fleet = Fleet::known(1, 4_000);
    fleet.call_delay = Some(FIRST_AFTER_MS);
    fleet.submit(job("a", vec![step(1, 100)]));
    advance_to_start(&mut fleet, 1);
    let arrives = fleet.now + FIRST_AFTER_MS;
    fleet.call_delay = None;
    fleet.troubles = Some(Box::new(Troubles::new(0)));
    advance_to_start(&mut fleet, 2);
    fleet.advance(fleet.work_ms + SLACK_MS);
    assert_eq!(fleet.job_state("a"), Some(JobState::Completed));
    (fleet, arrives)
}

fn unacknowledged(fleet: &Fleet) -> usize {
    fleet.workers["w0"].ended.len()
}

fn started_after_end(fleet: &mut Fleet) -> usize {
    troubles(fleet).check_starts();
    troubles(fleet).violations.iter().filter(|v| v.breach == Breach::StartAfterDone).count()
}

/// Restarts the worker so that the first start finds its next incarnation before the owner does.
fn restart_before_late_start(fleet: &mut Fleet, arrives: Ms) {
    fleet.advance(arrives - 200 - fleet.now);
    fleet.crash_for("w0", 180, 0);
    fleet.advance(2_000);
    let starts = &fleet.workers["w0"].starts;
    assert_eq!(*starts, [("a.0.0.0".to_owned(), 1)], "the start was carried out by the next incarnation");
}

/// Guards against a task that starts again, by a late start at its worker's next incarnation, after its end was
/// acknowledged.
#[gtest]
fn no_task_starts_at_the_next_incarnation_after_its_end_was_acknowledged() {
    let (mut fleet, arrives) = fleet_with_repeated_start();
    restart_before_late_start(&mut fleet, arrives);
    fleet.advance(LATE_LIMIT_MS + SLACK_MS);
    expect_that!(started_after_end(&mut fleet), eq(0));
    expect_that!(fleet.job_state("a"), some(eq(JobState::Completed)));
}

/// Guards against ends that are never acknowledged, and against ones that are too early.
#[gtest]
fn an_end_is_acknowledged_once_no_start_of_its_task_can_come() {
    let (mut fleet, _) = fleet_with_repeated_start();
    expect_that!(unacknowledged(&fleet), eq(1));
    fleet.advance(LATE_LIMIT_MS - 2 * SLACK_MS - fleet.work_ms);
    expect_that!(unacknowledged(&fleet), eq(1));
    fleet.advance(4 * SLACK_MS);
    expect_that!(unacknowledged(&fleet), eq(0));
}

/// Guards against a new owner that acknowledges at once the ends that its predecessor did not.
#[gtest]
fn the_next_owner_does_not_acknowledge_the_end_either() {
    let (mut fleet, _) = fleet_with_repeated_start();
    fleet.change_owner();
    fleet.advance(1_000);
    fleet.change_owner();
    fleet.advance(1_000);
    expect_that!(unacknowledged(&fleet), eq(1));
    expect_that!(fleet.job_state("a"), some(eq(JobState::Completed)));
    fleet.advance(LATE_LIMIT_MS + SLACK_MS);
    expect_that!(unacknowledged(&fleet), eq(0));
}

/// Guards against ends beyond the most that a worker lists at a time, which would never be seen.
#[gtest]
fn held_ends_do_not_hide_later_ones() {
    let (mut fleet, _) = fleet_with_repeated_start();
    fleet.work_ms = 100;
    fleet.submit(job("b", vec![step(700, 100)]));
    fleet.advance(5_000);
    expect_that!(fleet.job_state("b"), some(eq(JobState::Completed)));
}

/// Guards against two runs of a task at a worker's next incarnation, to which two owners had sent starts.
#[gtest]
fn the_next_owner_sends_an_unanswered_start_under_the_same_number() {
    let mut fleet = Fleet::known(3, 4_000);
    fleet.call_delay = Some(8_000);
    fleet.submit(job("a", vec![step(1, 100)]));
    advance_to_start(&mut fleet, 1);
    fleet.call_delay = None;
    // The answer is not overdue yet.
    fleet.change_owner();
    fleet.advance(2_000);
    let sent: Vec<(&str, u32)> = fleet.start_requests.iter().map(|r| (r.worker.as_str(), r.run)).collect();
    expect_that!(sent.len(), eq(2));
    expect_that!(sent[0], eq(sent[1]));
    expect_that!(fleet.job_state("a"), some(eq(JobState::Completed)));
}

/// Guards against a task that runs elsewhere while its worker, which is cordoned for a time, may still get its start.
#[gtest]
fn a_task_waits_for_the_end_of_a_cordon_while_its_start_may_come() {
    let mut fleet = Fleet::known(3, 4_000);
    fleet.call_delay = Some(8_000);
    fleet.submit(job("a", vec![step(1, 100)]));
    advance_to_start(&mut fleet, 1);
    fleet.call_delay = None;
    let worker = fleet.start_requests[0].worker.clone();
    fleet.apply(Input::Cordon { worker: worker.clone(), cordoned: true });
    fleet.advance(shard::CORDON_MS + 2_000);
    expect_true!(fleet.start_requests.iter().all(|r| r.worker == worker));
    expect_that!(fleet.job_state("a"), some(eq(JobState::Completed)));
}

/// Guards against a task that runs elsewhere while its silent worker may have begun it by a late start.
#[gtest]
fn a_task_waits_for_the_leases_of_a_silent_worker_that_may_have_begun_it() {
    let mut fleet = Fleet::known(3, 4_000);
    fleet.work_ms = 60_000;
    fleet.call_delay = Some(11_500);
    fleet.submit(job("a", vec![step(1, 100)]));
    advance_to_start(&mut fleet, 1);
    fleet.call_delay = None;
    let worker = fleet.start_requests[0].worker.clone();
    fleet.advance(TICK_MS);
    fleet.crash_for(&worker, 100, 0);
    fleet.advance(200);
    fleet.workers.get_mut(&worker).expect("a worker").unreachable = true;
    // Two runs at a time end the test.
    fleet.advance(30_000);
}
