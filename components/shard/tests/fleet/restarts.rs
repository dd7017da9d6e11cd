//! Workers that restart under their ids while calls for their earlier incarnation are on their way.

use crate::support::{Fleet, TICK_MS, TIMING, job, step};
use googletest::prelude::*;
use shard::{Input, Ms, StartReply};

/// Time after which every lease has expired that a worker holds now.
const LEASES_EXPIRED_MS: Ms = 11_000;

/// Longest time after which a call without an answer is carried out.
const LATE_MS: Ms = 12_000;

/// Two workers, of which only `w0` can be reached.
fn fleet() -> Fleet {
    let mut fleet = Fleet::new(2, 4_000);
    fleet.work_ms = 60_000;
    set_reachable(&mut fleet, "w1", false);
    fleet.advance(300);
    fleet
}

fn set_reachable(fleet: &mut Fleet, worker: &str, reachable: bool) {
    fleet.workers.get_mut(worker).expect("a worker").unreachable = !reachable;
}

/// Cuts `w0` off and lets `w1` be reached.
fn swap_workers(fleet: &mut Fleet) {
    set_reachable(fleet, "w0", false);
    set_reachable(fleet, "w1", true);
}

/// Sends a start with the time of the earlier incarnation's clock to the next one.
fn start_by_earlier_clock(fleet: &mut Fleet) {
    fleet.crash("w0");
    fleet.submit(job("b", vec![step(1, 100)]));
    fleet.advance(50);
    assert_eq!(fleet.start_requests.len(), 1);
}

fn starts(fleet: &Fleet, job: &str) -> usize {
    fleet.start_requests.iter().filter(|r| r.task_id.job == job).count()
}

/// Guards against a run that goes on after its owner took its lease to have expired.
#[gtest]
fn a_lease_that_the_clock_of_an_earlier_incarnation_granted_is_waited_out() {
    let mut fleet = fleet();
    start_by_earlier_clock(&mut fleet);
    fleet.advance(1_200);
    fleet.submit(job("a", vec![step(1, 100)]));
    fleet.advance(200);
    swap_workers(&mut fleet);
    fleet.advance(LEASES_EXPIRED_MS);
    expect_that!(starts(&fleet, "a"), eq(2));
}

/// Guards against the same after a change of owner.
#[gtest]
fn the_next_owner_waits_out_such_a_lease_too() {
    let mut fleet = fleet();
    start_by_earlier_clock(&mut fleet);
    fleet.advance(1_200);
    fleet.submit(job("a", vec![step(1, 100)]));
    fleet.advance(200);
    swap_workers(&mut fleet);
    fleet.change_owner();
    fleet.advance(LEASES_EXPIRED_MS);
    expect_that!(starts(&fleet, "a"), eq(2));
}

/// Guards against the same where the owner that granted the lease has not seen the restart.
#[gtest]
fn a_lease_that_an_earlier_owner_granted_by_the_earlier_clock_is_waited_out() {
    let mut fleet = fleet();
    start_by_earlier_clock(&mut fleet);
    fleet.change_owner();
    fleet.advance(500);
    fleet.submit(job("a", vec![step(1, 100)]));
    fleet.advance(200);
    swap_workers(&mut fleet);
    fleet.advance(LEASES_EXPIRED_MS);
    expect_that!(starts(&fleet, "a"), eq(2));
}

/// Guards against a run that goes on after its owner, which has met the earlier incarnation only, took its lease to
/// have expired.
#[gtest]
fn a_lease_on_an_incarnation_that_only_the_list_has_shown_is_waited_out() {
    for owner_changes in [false, true] {
        let mut fleet = fleet();
        fleet.list_incarnation("w0");
        start_by_earlier_clock(&mut fleet);
        swap_workers(&mut fleet);
        if owner_changes {
            fleet.change_owner();
        }
        fleet.advance(1_000);
        fleet.list_incarnation("w0");
        fleet.advance(LEASES_EXPIRED_MS + TIMING.overlap + LATE_MS);
        expect_that!(starts(&fleet, "b"), eq(2));
    }
}

/// Guards against a late start that the next incarnation carries out while it is cut off, after its task has started
/// elsewhere.
#[gtest]
fn an_unanswered_start_is_waited_for_while_the_list_shows_a_restarted_worker() {
    for owner_changes in [false, true] {
        let mut fleet = fleet();
        fleet.list_incarnation("w0");
        fleet.call_delay = Some(LATE_MS);
        fleet.submit(job("a", vec![step(1, 100)]));
        fleet.advance(50);
        fleet.call_delay = None;
        fleet.crash("w0");
        swap_workers(&mut fleet);
        fleet.list_incarnation("w0");
        if owner_changes {
            fleet.change_owner();
        }
        fleet.advance(LEASES_EXPIRED_MS + TIMING.overlap);
        expect_that!(starts(&fleet, "a"), eq(1));
        fleet.advance(LATE_MS);
        expect_that!(starts(&fleet, "a"), eq(2));
    }
}

/// Guards against a late start that the next incarnation takes before the raised token has reached it.
#[gtest]
fn late_calls_are_waited_for_until_a_raised_token_is_confirmed() {
    for owner_changes in [false, true] {
        let mut fleet = fleet();
        fleet.list_incarnation("w0");
        fleet.crash("w0");
        fleet.call_delay = Some(LATE_MS - 1_000);
        fleet.submit(job("a", vec![step(1, 100)]));
        fleet.advance(30);
        assert_eq!(starts(&fleet, "a"), 1);
        // The poll that waits at the worker shows the restart; the next one does not arrive.
        fleet.call_delay = Some(LATE_MS * 10);
        advance_to_answer(&mut fleet);
        fleet.call_delay = None;
        fleet.list_incarnation("w0");
        swap_workers(&mut fleet);
        if owner_changes {
            fleet.change_owner();
        }
        fleet.advance(LATE_MS + LEASES_EXPIRED_MS + TIMING.overlap);
        expect_that!(starts(&fleet, "a"), eq(2));
    }
}

/// Guards against an end of the next incarnation that is acknowledged by the count of the earlier one.
#[gtest]
fn a_poll_that_may_meet_another_incarnation_acknowledges_nothing() {
    let mut fleet = fleet();
    fleet.work_ms = 200;
    fleet.submit(job("b", vec![step(3, 100)]));
    fleet.advance(1_500);
    advance_to_answer(&mut fleet);
    fleet.advance(TIMING.poll_wait - 20);
    // The next poll is lost, and the start by which it is followed is not.
    fleet.call_delay = Some(LATE_MS * 10);
    advance_to_answer(&mut fleet);
    fleet.call_delay = None;
    fleet.crash("w0");
    fleet.submit(job("a", vec![step(1, 100)]));
    fleet.advance(50);
    assert_eq!(starts(&fleet, "a"), 1);
    fleet.advance(3_000);
    expect_that!(starts(&fleet, "a"), eq(1));
}

/// Guards against starts by the earlier clock, and against a worker that stays unused as its entry is behind.
#[gtest]
fn no_starts_are_sent_to_an_incarnation_before_it_has_answered_a_poll() {
    let mut fleet = fleet();
    fleet.list_incarnation("w0");
    fleet.advance(600);
    fleet.crash("w0");
    fleet.list_incarnation("w0");
    fleet.submit(job("a", vec![step(1, 100)]));
    fleet.advance(50);
    expect_that!(starts(&fleet, "a"), eq(0));
    fleet.advance(500);
    expect_that!(starts(&fleet, "a"), eq(1));
    // The list learns of the next restart after the owner.
    fleet.crash("w0");
    fleet.advance(1_500);
    fleet.submit(job("b", vec![step(1, 100)]));
    fleet.advance(200);
    expect_that!(starts(&fleet, "b"), eq(1));
}

/// Guards against a start that reaches the next incarnation beside another run of its task.
#[gtest]
fn an_unanswered_start_leads_to_one_run_at_the_next_incarnation() {
    let mut fleet = fleet();
    fleet.call_delay = Some(3_000);
    fleet.submit(job("a", vec![step(1, 100)]));
    fleet.advance(50);
    fleet.call_delay = None;
    fleet.crash("w0");
    set_reachable(&mut fleet, "w1", true);
    fleet.advance(6_000);
    expect_that!(starts(&fleet, "a"), eq(2));
}

/// Guards against a late poll that extends the lease of the next incarnation after its runs were planned.
#[gtest]
fn a_late_poll_for_the_earlier_incarnation_extends_no_lease_once_the_restart_is_known() {
    let mut fleet = fleet();
    delay_poll(&mut fleet, 6_000);
    fleet.crash("w0");
    fleet.advance(1_500);
    fleet.submit(job("a", vec![step(1, 100)]));
    fleet.advance(200);
    assert_eq!(starts(&fleet, "a"), 1);
    swap_workers(&mut fleet);
    fleet.advance(LEASES_EXPIRED_MS);
    expect_that!(starts(&fleet, "a"), eq(2));
}

/// Guards against a late poll that acknowledges an end of the next incarnation that nobody has seen.
#[gtest]
fn a_late_poll_for_the_earlier_incarnation_acknowledges_no_end_once_the_restart_is_known() {
    let mut fleet = fleet();
    fleet.work_ms = 200;
    fleet.submit(job("b", vec![step(3, 100)]));
    fleet.advance(500);
    delay_poll(&mut fleet, 6_000);
    fleet.crash("w0");
    fleet.work_ms = 1_000;
    fleet.advance(3_000);
    fleet.submit(job("a", vec![step(1, 100)]));
    fleet.advance(300);
    assert_eq!(starts(&fleet, "a"), 1);
    set_reachable(&mut fleet, "w0", false);
    fleet.advance(3_000);
    set_reachable(&mut fleet, "w0", true);
    fleet.advance(3_000);
    expect_that!(starts(&fleet, "a"), eq(1));
}

/// Guards against an owner that takes a call for an earlier incarnation, refused at the next one, for the loss of its shard.
#[gtest]
fn a_late_call_that_the_next_incarnation_refuses_does_not_end_the_ownership() {
    let mut fleet = fleet();
    // Shortly before the poll ends that waits at the worker.
    fleet.advance(600);
    fleet.call_delay = Some(60_000);
    fleet.submit(job("a", vec![step(1, 100)]));
    fleet.advance(20);
    fleet.call_delay = None;
    fleet.crash("w0");
    fleet.advance(200);
    assert_eq!(fleet.workers["w0"].fencing_token, fleet.epoch + 1);
    let sent = fleet.start_requests[0].clone();
    let reply = StartReply::Fenced;
    fleet.apply(Input::StartResult { worker: sent.worker, task_id: sent.task_id, run: sent.run, reply });
    fleet.advance(2_000);
    expect_that!(starts(&fleet, "a"), eq(2));
}

/// Guards against an owner that calls a worker which it has met before under a lower token, and so gives its shard up.
#[gtest]
fn a_worker_that_has_restarted_and_is_listed_again_is_called_under_no_lower_token() {
    let mut fleet = fleet();
    fleet.crash("w0");
    fleet.advance(1_500);
    let listed = fleet.listed.clone();
    fleet.listed.retain(|w| w.id != "w0");
    fleet.send_worker_list();
    set_reachable(&mut fleet, "w0", false);
    fleet.advance(8_000);
    fleet.send_worker_list();
    expect_that!(fleet.shard.worker_count(), eq(1));
    fleet.listed = listed;
    fleet.send_worker_list();
    set_reachable(&mut fleet, "w0", true);
    fleet.submit(job("a", vec![step(1, 100)]));
    fleet.advance(1_000);
    expect_that!(starts(&fleet, "a"), eq(1));
}

/// Guards against starts at a worker where calls for earlier incarnations cannot be barred any more.
#[gtest]
fn a_worker_that_restarts_more_often_than_there_are_tokens_gets_no_starts() {
    let mut fleet = fleet();
    fleet.shard.limit_tokens(fleet.epoch + 2);
    for restarts in 1..=3 {
        fleet.crash("w0");
        fleet.advance(2_000);
        let id = format!("a{restarts}");
        fleet.submit(job(&id, vec![step(1, 100)]));
        fleet.advance(300);
        expect_that!(starts(&fleet, &id), eq(usize::from(restarts < 3)));
    }
    let polls = fleet.polls_answered;
    fleet.advance(5_000);
    expect_that!(fleet.polls_answered - polls, le(6));
}

/// Advances until a poll is answered, and the next one is sent.
fn advance_to_answer(fleet: &mut Fleet) {
    let answered = fleet.polls_answered;
    while fleet.polls_answered == answered {
        fleet.advance(TICK_MS);
    }
}

/// Delays a poll that grants a lease by the present clock.
fn delay_poll(fleet: &mut Fleet, delay: Ms) {
    fleet.call_delay = Some(delay);
    fleet.advance(1_100);
    fleet.call_delay = None;
}
