//! Two runs of a task while the job goes on, and while owners follow one another.

use crate::copies::{
    STRAGGLER_MS, WORK_MS, assert_idle, fleet, plain_job, speculative, starts_of, until_copied,
};
use crate::support::{Fleet, job, step};
use googletest::prelude::*;
use prost::Message;
use shard::{Input, JobSpec, JobState, Resources, RunRecord, StepSpec, WorkerRecord};

fn worker<'a>(fleet: &'a mut Fleet, id: &str) -> &'a mut crate::support::FakeWorker {
    fleet.workers.get_mut(id).expect("a worker")
}

#[gtest]
fn the_other_run_is_stopped_while_the_job_goes_on() {
    let mut fleet = fleet(40);
    let after = StepSpec { depends_on: vec![0], ..step(1, 1_000) };
    let (first, _) = until_copied(&mut fleet, job("a", vec![speculative(8, 1_000), after]));
    fleet.advance(WORK_MS + 200);
    expect_that!(fleet.job_state("a"), some(eq(JobState::Running)));
    expect_false!(fleet.workers[&first].running.contains_key("a.0.0.7"));
}

#[gtest]
fn a_new_owner_charges_both_runs_and_waits_for_the_one_it_cannot_reach() {
    let mut fleet = fleet(40);
    let quota = Resources { cpu: 20_000, mem: 100_000, gpu: 0 };
    let quotas = Input::Quotas([("acme".to_owned(), quota)].into());
    fleet.apply(quotas.clone());
    let (first, copy) = until_copied(&mut fleet, JobSpec { tenant: "acme".into(), ..plain_job() });
    fleet.advance(100);
    worker(&mut fleet, &first).unreachable = true;
    fleet.change_owner();
    fleet.apply(quotas);
    expect_that!(fleet.shard.usage()["acme"].used.cpu, ge(2_000));
    fleet.advance(100);
    expect_that!(fleet.shard.usage()["acme"].used.cpu, eq(2_000));
    // The copy is lost. The first run may still go on where this owner cannot see it.
    fleet.crash(&copy);
    fleet.advance(1_000);
    worker(&mut fleet, &first).unreachable = false;
    fleet.advance(STRAGGLER_MS);
    expect_that!(fleet.job_state("a"), some(eq(JobState::Completed)));
    expect_that!(starts_of(&fleet, 7).len(), eq(2));
    assert_idle(&fleet);
}

#[gtest]
fn a_new_owner_does_not_wait_for_a_run_that_had_failed() {
    let mut fleet = fleet(40);
    fleet.submit(JobSpec { max_attempts: 9, ..job("a", vec![speculative(1, 1_000)]) });
    fleet.advance(100);
    let first = starts_of(&fleet, 0)[0].0.clone();
    worker(&mut fleet, &first).failing = true;
    worker(&mut fleet, &first).running.get_mut("a.0.0.0").expect("a run").work_ms = 0;
    fleet.advance(200);
    let second = starts_of(&fleet, 0)[1].0.clone();
    worker(&mut fleet, &first).unreachable = true;
    fleet.change_owner();
    fleet.advance(200);
    fleet.crash(&second);
    fleet.advance(1_000);
    expect_that!(starts_of(&fleet, 0).len(), eq(3));
    fleet.advance(2_000);
    expect_that!(fleet.job_state("a"), some(eq(JobState::Completed)));
}

#[gtest]
fn a_run_that_was_taken_for_lost_goes_on_beside_its_successor() {
    let mut fleet = fleet(40);
    fleet.work_ms = 3_000;
    fleet.submit(job("a", vec![speculative(1, 1_000)]));
    fleet.advance(300);
    let first = starts_of(&fleet, 0)[0].0.clone();
    // A poll is in progress there, and its answer shows that the worker is the same as before.
    fleet.apply(Input::PollFailed { worker: first.clone(), replaced: true, fenced: false });
    fleet.advance(1_500);
    expect_that!(starts_of(&fleet, 0).len(), eq(2));
    let running = || fleet.workers.values().filter(|w| w.running.contains_key("a.0.0.0")).count();
    expect_that!(running(), eq(2));
    fleet.advance(2_000);
    expect_that!(fleet.job_state("a"), some(eq(JobState::Completed)));
    fleet.advance(2_000);
    expect_that!(starts_of(&fleet, 0).len(), eq(2));
    assert_idle(&fleet);
}

/// Has the log record a third run of the straggler, on a worker that does not run it.
pub fn record_third_run(fleet: &mut Fleet, others: &[&String]) {
    let info = fleet.listed.iter().find(|i| !others.contains(&&i.id)).expect("another worker");
    let runs = vec![RunRecord { task_id: "a.0.0.7".into(), run: 1_000, unanswered: false }];
    let (id, addr) = (info.id.clone(), info.addr.clone());
    let record = WorkerRecord { id, addr, runs, ..WorkerRecord::default() };
    fleet.log.insert(format!("w:{}", info.id), record.encode_to_vec());
}

#[gtest]
fn the_lowest_of_three_recorded_runs_is_stopped() {
    let mut fleet = fleet(40);
    let (first, copy) = until_copied(&mut fleet, plain_job());
    fleet.advance(100);
    record_third_run(&mut fleet, &[&first, &copy]);
    fleet.change_owner();
    fleet.advance(500);
    expect_false!(fleet.workers[&first].running.contains_key("a.0.0.7"));
    expect_true!(fleet.workers[&copy].running.contains_key("a.0.0.7"));
    fleet.advance(1_500);
    expect_that!(fleet.job_state("a"), some(eq(JobState::Completed)));
    fleet.advance(2_000);
    assert_idle(&fleet);
}

#[gtest]
fn a_task_of_three_recorded_runs_never_has_three_at_a_time() {
    let mut fleet = fleet(40);
    fleet.work_for = |r, work_ms| if r.task_id.index == 7 { 2 * STRAGGLER_MS } else { work_ms };
    let (first, copy) = until_copied(&mut fleet, plain_job());
    fleet.advance(100);
    record_third_run(&mut fleet, &[&first, &copy]);
    worker(&mut fleet, &first).unreachable = true;
    fleet.change_owner();
    // Gives the new owner the duration of a fresh run.
    fleet.submit(job("b", vec![speculative(4, 1_000)]));
    fleet.advance(1_200);
    fleet.crash(&copy);
    fleet.advance(500);
    expect_that!(starts_of(&fleet, 7).len(), eq(3));
    // The lease of the first run lasts for longer than it takes to find the new one slow. The fleet checks that
    // no three runs are on.
    fleet.advance(8_000);
    worker(&mut fleet, &first).unreachable = false;
    fleet.advance(2 * STRAGGLER_MS);
    expect_that!(fleet.job_state("a"), some(eq(JobState::Completed)));
    assert_idle(&fleet);
}
