//! Starts that get no answer and are carried out seconds later, at the incarnation that they were meant for or the next.

use crate::support::{Fleet, TICK_MS, TIMING, job, long_running, step};
use googletest::prelude::*;
use shard::Ms;

/// A fleet of two workers, and the worker to which the start of the only task of job `a` is on its way.
pub fn fleet_with_late_start(delay: Ms) -> (Fleet, String) {
    let mut fleet = Fleet::known(2, 4_000);
    fleet.work_ms = 60_000;
    fleet.call_delay = Some(delay);
    fleet.submit(job("a", vec![step(1, 100)]));
    fleet.advance(50);
    fleet.call_delay = None;
    let worker = fleet.start_requests[0].worker.clone();
    (fleet, worker)
}

pub fn set_reachable(fleet: &mut Fleet, worker: &str, reachable: bool) {
    fleet.workers.get_mut(worker).expect("a worker").unreachable = !reachable;
}

pub fn set_ready(fleet: &mut Fleet, worker: &str, ready: bool) {
    fleet.listed.iter_mut().filter(|w| w.id == worker).for_each(|w| w.ready = ready);
    fleet.send_worker_list();
}

pub fn runs(fleet: &Fleet) -> usize {
    fleet.workers.values().map(|w| w.running.len()).sum()
}

/// Advances until so many starts have been sent.
pub fn advance_to_start(fleet: &mut Fleet, number: usize) {
    for _ in 0..1_000 {
        if fleet.start_requests.len() >= number {
            return;
        }
        fleet.advance(TICK_MS);
    }
    panic!("start {number} was not sent");
}

/// Guards against a stop that ends a long-running task after a late start has put it to work.
#[gtest]
fn an_unanswered_start_is_sent_again_to_its_worker_instead_of_a_stop() {
    let mut fleet = Fleet::known(2, 4_000);
    fleet.call_delay = Some(3_000);
    fleet.submit(long_running("a", 1, 100));
    fleet.advance(50);
    fleet.call_delay = None;
    fleet.advance(6_000);
    let first = &fleet.start_requests[0];
    expect_true!(fleet.start_requests.iter().all(|r| r.worker == first.worker && r.run == first.run));
    expect_that!(fleet.stops, is_empty());
    expect_that!(runs(&fleet), eq(1));
}

/// Guards against a task that waits for a worker which takes no starts but answers polls.
#[gtest]
fn a_task_leaves_a_worker_that_answers_no_start_of_it() {
    let (mut fleet, first) = fleet_with_late_start(60_000);
    for _ in 0..2_500 {
        // Each further start to this worker is delayed as well, its polls are not.
        let due = fleet.start_requests.last().is_some_and(|r| r.worker == first);
        fleet.lose_starts_to = due.then(|| first.clone());
        fleet.advance(TICK_MS);
    }
    let last = fleet.start_requests.last().expect("a start");
    expect_that!(last.worker, not(eq(&first)));
    expect_that!(fleet.stops.len(), eq(1));
    expect_that!(runs(&fleet), eq(1));
}

/// Guards against a stop, sent again without a look, that ends a task which a late start has put to work meanwhile.
#[gtest]
fn a_run_that_shows_up_after_an_unanswered_stop_is_kept() {
    let (mut fleet, first) = fleet_with_late_start(2_000);
    // The worker is to get no more tasks, so the run is stopped; that gets no answer either.
    set_ready(&mut fleet, &first, false);
    fleet.lose_stops = true;
    fleet.advance(3_000);
    set_ready(&mut fleet, &first, true);
    fleet.lose_stops = false;
    fleet.advance(3_000);
    expect_that!(fleet.stops, not(is_empty()));
    expect_that!(fleet.start_requests.len(), eq(1));
    expect_that!(runs(&fleet), eq(1));
}

/// Guards against two runs of a task, one of them begun in the next incarnation of a worker by a start whose run had been
/// stopped in the earlier one.
#[gtest]
fn a_late_start_in_the_next_incarnation_meets_no_other_run() {
    let (mut fleet, first) = fleet_with_late_start(6_000);
    fleet.advance(2_000);
    fleet.crash(&first);
    set_reachable(&mut fleet, &first, false);
    fleet.advance(6_000);
    set_reachable(&mut fleet, &first, true);
    fleet.advance(10_000);
    expect_that!(runs(&fleet), eq(1));
}

/// Guards against the same after a restart that ended the run.
#[gtest]
fn a_task_is_started_again_on_the_worker_that_an_earlier_start_may_reach() {
    let (mut fleet, first) = fleet_with_late_start(9_000);
    // Tasks go to the worker with the least room.
    fleet.listed.iter_mut().filter(|w| w.id != first).for_each(|w| w.capacity.cpu = 200);
    fleet.send_worker_list();
    advance_to_start(&mut fleet, 2);
    fleet.advance(100);
    fleet.crash(&first);
    advance_to_start(&mut fleet, 3);
    expect_that!(fleet.start_requests[2].worker, eq(&first));
    expect_that!(fleet.start_requests[2].run, gt(fleet.start_requests[0].run));
}

/// Guards against a stop of the only run of a task, as its owner takes the run of an earlier incarnation to go on.
#[gtest]
fn the_only_run_of_a_task_is_kept_if_a_late_start_began_it_in_the_next_incarnation() {
    let (mut fleet, first) = fleet_with_late_start(11_000);
    advance_to_start(&mut fleet, 2);
    fleet.advance(100);
    fleet.crash(&first);
    advance_to_start(&mut fleet, 3);
    fleet.advance(300);
    fleet.crash(&first);
    set_reachable(&mut fleet, &first, false);
    while runs(&fleet) == 0 {
        fleet.advance(TICK_MS);
    }
    set_reachable(&mut fleet, &first, true);
    fleet.advance(3_000);
    expect_that!(fleet.stops, is_empty());
    expect_that!(fleet.start_requests.len(), eq(3));
    expect_that!(runs(&fleet), eq(1));
}

/// Guards against the same where the start is still waited for when the worker falls silent.
#[gtest]
fn a_silence_bars_a_start_that_is_still_waited_for() {
    let mut fleet = Fleet::known(1, 4_000);
    fleet.work_ms = 60_000;
    // Its poll fails after the timeout of a request.
    set_reachable(&mut fleet, "w0", false);
    fleet.advance(TIMING.request_timeout - 100);
    fleet.call_delay = Some(6_000);
    fleet.submit(job("a", vec![step(1, 100)]));
    advance_to_start(&mut fleet, 1);
    fleet.call_delay = None;
    fleet.crash("w0");
    set_reachable(&mut fleet, "w0", true);
    let token = fleet.workers["w0"].fencing_token;
    while fleet.workers["w0"].fencing_token == token {
        fleet.advance(TICK_MS);
    }
    set_reachable(&mut fleet, "w0", false);
    fleet.advance(7_000);
    expect_that!(fleet.workers["w0"].starts, is_empty());
}

/// Guards against a late start that the next incarnation takes after its first answer to the owner.
#[gtest]
fn the_first_answer_after_a_silence_bars_the_calls_from_before() {
    let (mut fleet, first) = fleet_with_late_start(6_000);
    fleet.advance(600);
    set_reachable(&mut fleet, &first, false);
    fleet.advance(2_000);
    fleet.crash(&first);
    set_reachable(&mut fleet, &first, true);
    let token = fleet.workers[&first].fencing_token;
    while fleet.workers[&first].fencing_token == token {
        fleet.advance(TICK_MS);
    }
    set_reachable(&mut fleet, &first, false);
    fleet.advance(5_000);
    expect_that!(fleet.workers[&first].starts, is_empty());
}

/// Guards against a count of waiting jobs that leaves out those whose starts were not carried out.
#[gtest]
fn a_job_whose_start_is_unanswered_counts_as_waiting_until_it_has_begun() {
    let (mut fleet, first) = fleet_with_late_start(60_000);
    fleet.lose_starts_to = Some(first);
    fleet.advance(4_000);
    expect_that!(fleet.start_requests.len(), gt(1));
    expect_that!(fleet.shard.queued_jobs("q"), eq(1));
    fleet.lose_starts_to = None;
    fleet.advance(3_000);
    expect_that!(fleet.shard.queued_jobs("q"), eq(0));
}
