//! Occurrences of scheduled jobs across changes of owner.

use googletest::prelude::*;
use shard::{JobSpec, JobState, Repeat};

use crate::support::{Fleet, job, step};

/// Wall clock at monotonic time 0.
const WALL_CLOCK_START_MS: u64 = 1_000_000_000;
/// Time for which the only worker is busy.
const BUSY_MS: u64 = 6_000;

/// A worker that is busy until the objectives of the first occurrences of job `a` have passed, so that a later one starts
/// before them.
fn late_occurrences() -> Fleet {
    let mut fleet = Fleet::new(1, 1_000);
    fleet.work_ms = BUSY_MS;
    fleet.submit(job("busy", vec![step(1, 1_000)]));
    fleet.advance(300);
    fleet.work_ms = 1_000;
    let repeat = Some(Repeat { first: WALL_CLOCK_START_MS + fleet.now + 100, interval: 1_000, count: 6 });
    fleet.submit(JobSpec { repeat, stretch: 1.0, target: 1_500, ..job("a", vec![step(1, 1_000)]) });
    fleet.advance(BUSY_MS);
    fleet
}

fn started(fleet: &Fleet) -> Vec<u32> {
    let of_job = fleet.start_requests.iter().filter(|r| r.task_id.job == "a");
    of_job.map(|r| r.task_id.occurrence).collect()
}

// Guards against occurrences that never run because a later one has started when the owner is lost.
#[gtest]
fn occurrences_that_wait_while_a_later_one_runs_are_carried_out_by_the_next_owner() {
    for pause in [100, 700, 1_200, 2_500] {
        let mut fleet = late_occurrences();
        fleet.advance(pause);
        assert!(started(&fleet)[0] > 0, "a later occurrence starts first: {:?}", started(&fleet));
        fleet.change_owner();
        fleet.advance(12_000);
        let mut occurrences = started(&fleet);
        occurrences.sort_unstable();
        expect_that!(occurrences, eq(&vec![0, 1, 2, 3, 4, 5]), "owner changed after {pause} ms");
        expect_that!(fleet.job_state("a"), some(eq(JobState::Completed)));
    }
}

// Guards against the same loss when owners follow each other, with occurrences that are not due yet.
#[gtest]
fn each_occurrence_runs_once_at_its_time_while_owners_follow_each_other() {
    let mut fleet = Fleet::new(2, 1_000);
    fleet.work_ms = 900;
    let first = WALL_CLOCK_START_MS + fleet.now + 500;
    let repeat = Some(Repeat { first, interval: 400, count: 20 });
    fleet.submit(JobSpec { repeat, ..job("a", vec![step(1, 1_000)]) });
    let mut early = Vec::new();
    for _ in 0..30 {
        fleet.advance(430);
        let now = WALL_CLOCK_START_MS + fleet.now;
        early.extend(started(&fleet).into_iter().filter(|n| first + u64::from(*n) * 400 > now));
        fleet.change_owner();
    }
    fleet.advance(10_000);
    expect_that!(early, is_empty());
    let mut occurrences = started(&fleet);
    occurrences.sort_unstable();
    expect_that!(occurrences, eq(&(0..20).collect::<Vec<u32>>()));
    expect_that!(fleet.job_state("a"), some(eq(JobState::Completed)));
}

// Guards against occurrences that a new owner ranks as if they had just become due.
#[gtest]
fn a_new_owner_ranks_an_occurrence_by_the_time_at_which_it_was_due() {
    let mut fleet = Fleet::new(1, 1_000);
    fleet.work_ms = BUSY_MS;
    fleet.submit(job("busy", vec![step(1, 1_000)]));
    fleet.advance(300);
    let repeat = Some(Repeat { first: WALL_CLOCK_START_MS + fleet.now + 100, interval: 1_000, count: 1 });
    fleet.submit(JobSpec { repeat, target: 30_000, ..job("a", vec![step(1, 1_000)]) });
    fleet.advance(2_000);
    fleet.submit(JobSpec { target: 30_000, ..job("b", vec![step(1, 1_000)]) });
    fleet.advance(500);
    fleet.change_owner();
    fleet.advance(BUSY_MS);
    let order: Vec<&str> = fleet.start_requests.iter().map(|r| r.task_id.job.as_str()).collect();
    expect_that!(order[..2], elements_are![eq(&"busy"), eq(&"a")]);
}
