//! Referrals of jobs whose queue has moved to another service.

use googletest::prelude::*;
use shard::{JobSpec, JobState};

use crate::support::{Fleet, TIMING, job, step};

fn submit(fleet: &mut Fleet, id: &str) -> &'static str {
    let request = fleet.submit(job(id, vec![step(1, 1_000)]));
    fleet.advance(50);
    fleet.replies[&request]
}

fn refer(fleet: &mut Fleet, id: &str, service: &str) -> (&'static str, Option<Vec<String>>) {
    let request = fleet.refer(id, service, false);
    fleet.advance(50);
    (fleet.replies[&request], fleet.services.get(&request).cloned())
}

// Guards against a job that two shards accept: a request comes again by a daemon with another version.
#[gtest]
fn a_job_that_was_referred_goes_to_the_same_service_whichever_version_its_requests_come_by() {
    let mut fleet = Fleet::new(1, 4_000);
    let there = ("referred", Some(vec!["bookings".to_owned()]));
    expect_that!(refer(&mut fleet, "a", "bookings"), eq(&there));
    for change in [false, true] {
        if change {
            fleet.change_owner();
        }
        expect_that!(refer(&mut fleet, "a", "bookings"), eq(&there));
        expect_that!(refer(&mut fleet, "a", "others"), eq(&there));
        expect_that!(submit(&mut fleet, "a"), eq("referred"));
    }
    expect_that!(fleet.job_state("a"), none());
    expect_that!(fleet.start_requests, is_empty());
}

// Guards against a job that runs again at another service after its queue has moved.
#[gtest]
fn a_job_that_was_accepted_is_not_referred() {
    let mut fleet = Fleet::new(1, 4_000);
    expect_that!(submit(&mut fleet, "a"), eq("accepted"));
    fleet.advance(1_000);
    expect_that!(refer(&mut fleet, "a", "bookings").0, eq("accepted"));
    fleet.change_owner();
    expect_that!(refer(&mut fleet, "a", "bookings").0, eq("accepted"));
    expect_that!(fleet.job_state("a"), some(eq(JobState::Completed)));
}

// Guards against a job that is accepted a second time after its queue has moved back and its referral has expired.
#[gtest]
fn a_new_job_of_a_queue_that_has_moved_is_first_looked_for_where_it_was_sent() {
    let mut fleet = Fleet::new(1, 4_000);
    refer(&mut fleet, "a", "bookings");
    fleet.advance(TIMING.retention + 2_000);
    expect_that!(fleet.log.keys().any(|k| k.starts_with("r:")), eq(false));
    fleet.change_owner();
    let request = fleet.submit(job("a", vec![step(1, 1_000)]));
    fleet.advance(50);
    expect_that!(fleet.replies[&request], eq("search"));
    expect_that!(fleet.services[&request], elements_are![eq("bookings")]);
    // The service that accepts the job is asked in any case.
    expect_that!(refer(&mut fleet, "b", "bookings").0, eq("referred"));
    expect_that!(refer(&mut fleet, "c", "others").0, eq("search"));
    let request = fleet.refer("c", "others", true);
    fleet.advance(50);
    expect_that!(fleet.replies[&request], eq("referred"));
    expect_that!(fleet.shard.referred_services("q"), elements_are![eq("bookings"), eq("others")]);
}

// Guards against an answer that a new owner does not know of.
#[gtest]
fn a_referral_is_answered_once_the_log_has_stored_it_and_refused_if_it_certainly_has_not() {
    let mut fleet = Fleet::new(1, 4_000);
    fleet.log_rejects = true;
    expect_that!(refer(&mut fleet, "a", "bookings").0, eq("refused"));
    fleet.log_rejects = false;
    expect_that!(refer(&mut fleet, "a", "others").0, eq("search"));
    fleet.log_unresponsive = true;
    let request = fleet.refer("b", "bookings", true);
    fleet.advance(100);
    expect_that!(fleet.replies.get(&request), none());
    // Requests that come after the log has stalled are refused at once.
    fleet.advance(u64::from(u32::try_from(TIMING.stall_after).expect("milliseconds")));
    expect_that!(refer(&mut fleet, "c", "bookings").0, eq("refused"));
    fleet.log_unresponsive = false;
    fleet.advance(100);
    expect_that!(fleet.replies[&request], eq("referred"));
}

// Guards against jobs of other queues that are held up by a queue that has moved.
#[gtest]
fn jobs_of_other_queues_are_accepted_as_usual() {
    let mut fleet = Fleet::new(1, 4_000);
    refer(&mut fleet, "a", "bookings");
    let request = fleet.submit(JobSpec { queue: "other".into(), ..job("b", vec![step(1, 1_000)]) });
    fleet.advance(50);
    expect_that!(fleet.replies[&request], eq("accepted"));
}
