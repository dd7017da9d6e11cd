//! Workers that restart under their ids while calls for their earlier incarnation are on their way.

use crate::support::{Fleet, job, step};
use googletest::prelude::*;
use shard::Ms;

/// Time after which every lease has expired that a worker holds now.
const LEASES_EXPIRED_MS: Ms = 11_000;

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

/// Guards against a start that reaches the next incarnation after its task has started elsewhere.
#[gtest]
fn an_unanswered_start_is_stopped_at_the_next_incarnation_before_its_task_starts_elsewhere() {
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

/// Delays a poll that grants a lease by the present clock.
fn delay_poll(fleet: &mut Fleet, delay: Ms) {
    fleet.call_delay = Some(delay);
    fleet.advance(1_100);
    fleet.call_delay = None;
}
