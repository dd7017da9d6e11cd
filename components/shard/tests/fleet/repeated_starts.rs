//! What becomes of runs and tasks whose start has been sent more than once.

use crate::support::{Fleet, TICK_MS, job, long_running, step};
use crate::unanswered::{advance_to_start, fleet_with_late_start, runs, set_ready};
use googletest::prelude::*;
use shard::{Input, RunOutcome, StartReply, StartRequest, StepSpec, TaskId};

/// Ends the only run on a worker.
fn end_run(fleet: &mut Fleet, worker: &str, outcome: RunOutcome) {
    let worker = fleet.workers.get_mut(worker).expect("a worker");
    let (task, run) = worker.running.pop_first().expect("a run");
    worker.end_run(TaskId::parse(&task).expect("a task id"), run.run, outcome);
}

/// Guards against a run that goes on after its job was cancelled, as it had been kept.
#[gtest]
fn a_kept_run_is_stopped_once_its_job_is_cancelled() {
    let (mut fleet, first) = fleet_with_late_start(2_000);
    set_ready(&mut fleet, &first, false);
    fleet.lose_stops = true;
    fleet.advance(3_000);
    set_ready(&mut fleet, &first, true);
    fleet.lose_stops = false;
    fleet.advance(3_000);
    assert_eq!(runs(&fleet), 1);
    fleet.cancel("a");
    fleet.advance(10_000);
    expect_that!(runs(&fleet), eq(0));
}

/// Guards against a task that waits for a worker which it avoids, as it was started there with one lost answer.
#[gtest]
fn a_task_whose_confirmed_run_failed_is_not_held_to_its_worker() {
    let mut fleet = Fleet::known(2, 4_000);
    fleet.work_ms = 60_000;
    fleet.drop_start_replies = true;
    fleet.submit(job("a", vec![step(1, 100)]));
    advance_to_start(&mut fleet, 1);
    let first = fleet.start_requests[0].worker.clone();
    fleet.advance(20);
    fleet.drop_start_replies = false;
    fleet.advance(1_500);
    end_run(&mut fleet, &first, RunOutcome::Failed);
    fleet.advance(1_000);
    expect_that!(fleet.start_requests.len(), eq(2));
}

/// Guards against a long-running task without a run while a worker has room.
#[gtest]
fn a_long_running_task_leaves_a_worker_that_answers_no_start_within_seconds() {
    let mut fleet = Fleet::known(2, 4_000);
    fleet.call_delay = Some(60_000);
    fleet.submit(long_running("a", 1, 100));
    fleet.advance(50);
    fleet.call_delay = None;
    let first = fleet.start_requests[0].worker.clone();
    fleet.lose_starts_to = Some(first.clone());
    while fleet.stops.is_empty() {
        fleet.advance(TICK_MS);
    }
    fleet.advance(3_000);
    expect_that!(fleet.start_requests.last().expect("a start").worker, not(eq(&first)));
}

/// Guards against a start that is sent again to an incarnation of another kind.
#[gtest]
fn a_start_is_not_repeated_on_a_worker_that_has_lost_the_required_label() {
    let mut fleet = Fleet::known(2, 4_000);
    fleet.work_ms = 60_000;
    fleet.call_delay = Some(60_000);
    fleet.submit(job("a", vec![StepSpec { label: "a".into(), ..step(1, 100) }]));
    advance_to_start(&mut fleet, 1);
    fleet.call_delay = None;
    let first = fleet.start_requests[0].worker.clone();
    fleet.advance(TICK_MS);
    fleet.crash(&first);
    for entry in &mut fleet.listed {
        entry.labels[0] = if entry.id == first { "b".into() } else { "a".into() };
    }
    fleet.send_worker_list();
    fleet.advance(5_000);
    expect_that!(fleet.start_requests.len(), eq(2));
    fleet.advance(10_000);
    expect_that!(fleet.workers[&first].starts, is_empty());
}

/// Guards against a member of a gang that starts and waits alone.
#[gtest]
fn a_member_of_a_gang_whose_others_have_ended_is_not_started_again() {
    let mut fleet = Fleet::known(3, 200);
    fleet.work_ms = 60_000;
    fleet.lose_starts_to = Some("w2".into());
    fleet.submit(job("a", vec![StepSpec { gang: true, ..step(3, 200) }]));
    fleet.advance(1_500);
    // The others waited in vain.
    end_run(&mut fleet, "w0", RunOutcome::Interrupted);
    end_run(&mut fleet, "w1", RunOutcome::Interrupted);
    fleet.advance(100);
    fleet.lose_starts_to = None;
    fleet.advance(6_000);
    expect_false!(fleet.workers["w2"].starts.iter().any(|(_, run)| *run == 1));
    expect_that!(runs(&fleet), eq(3));
}

/// Guards against two long-running tasks that wait for one another on a worker which takes no starts.
#[gtest]
fn two_long_running_tasks_of_a_step_leave_a_worker_that_answers_no_start() {
    let mut fleet = Fleet::known(2, 4_000);
    let mut spec = long_running("a", 2, 100);
    spec.steps[0].max_colocated = 0;
    fleet.lose_starts_to = Some("w0".into());
    fleet.submit(spec);
    fleet.advance(60_000);
    expect_that!(runs(&fleet), eq(2));
}

/// Guards against a stop, without a look at the worker, of a long-running task that an earlier start has put to work.
#[gtest]
fn a_repeated_start_that_is_refused_for_health_stops_nothing() {
    let mut fleet = Fleet::known(1, 4_000);
    fleet.call_delay = Some(2_000);
    fleet.submit(long_running("a", 1, 100));
    advance_to_start(&mut fleet, 1);
    fleet.call_delay = None;
    fleet.lose_starts_to = Some("w0".into());
    advance_to_start(&mut fleet, 2);
    let StartRequest { worker, task_id, run, .. } = fleet.start_requests[1].clone();
    fleet.apply(Input::StartResult { worker, task_id, run, reply: StartReply::Unwell });
    fleet.advance(3_000);
    expect_that!(fleet.stops, is_empty());
    expect_that!(runs(&fleet), eq(1));
}
