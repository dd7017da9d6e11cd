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

/// Size of a job's stored progress.
fn progress_bytes(fleet: &Fleet) -> usize {
    fleet.log["p:a"].len()
}

// Guards against a record that grows with each completed occurrence until the store refuses it, and with it the records of
// all other jobs of the shard.
#[gtest]
fn progress_is_as_large_after_thousands_of_occurrences_as_after_a_hundred() {
    let mut fleet = Fleet::new(4, 64_000);
    fleet.work_ms = 20;
    let first = WALL_CLOCK_START_MS + fleet.now;
    let repeat = Some(Repeat { first, interval: 2, count: 4_000 });
    fleet.submit(JobSpec { repeat, ..job("a", vec![step(1, 1_000)]) });
    let mut largest = 0;
    for second in 0..15 {
        fleet.advance(1_000);
        largest = largest.max(progress_bytes(&fleet));
        if second % 4 == 3 {
            fleet.change_owner();
        }
    }
    expect_that!(fleet.job_state("a"), some(eq(JobState::Completed)));
    expect_that!(fleet.start_requests.len(), ge(4_000));
    // Those in progress take a few bytes each, at most 1,000 of them.
    expect_that!(largest, lt(32 * 1_024));
    expect_that!(progress_bytes(&fleet), lt(100));
}

// Guards against occurrences of jobs in the older form that run again.
#[gtest]
fn progress_that_older_versions_have_stored_is_read() {
    let mut fleet = Fleet::new(1, 1_000);
    fleet.work_ms = 900;
    let repeat = Some(Repeat { first: WALL_CLOCK_START_MS + fleet.now + 60_000, interval: 0, count: 2_000 });
    fleet.submit(JobSpec { repeat, ..job("a", vec![step(1, 1_000)]) });
    fleet.advance(100);
    // Field 3 lists each completed occurrence: its number, and that it is complete. All but the last two.
    let listed = (0..1_998_u32).flat_map(|number| {
        let low = u8::try_from(number & 0x7f).expect("seven bits") | 0x80;
        let high = u8::try_from(number >> 7).expect("a low number");
        [0x1a, 5, 0x08, low, high, 0x10, 1]
    });
    fleet.log.insert("p:a".into(), listed.collect());
    fleet.change_owner();
    fleet.advance(70_000);
    expect_that!(started(&fleet), elements_are![eq(&1_998), eq(&1_999)]);
    expect_that!(fleet.job_state("a"), some(eq(JobState::Completed)));
}
