//! Jobs from submission to their end.

use crate::support::{Fleet, job, long_running, step};
use googletest::prelude::*;
use shard::{Input, JobSpec, JobState, Repeat, Resources, StepSpec};

#[gtest]
fn a_job_completes_after_all_its_tasks_have_run() {
    let mut fleet = Fleet::new(2, 4_000);
    let request_id = fleet.submit(job("a", vec![step(6, 1_000)]));
    fleet.advance(50);
    expect_that!(fleet.replies.get(&request_id), some(eq(&"accepted")));
    expect_that!(fleet.job_state("a"), some(eq(JobState::Running)));
    fleet.advance(1_500);
    expect_that!(fleet.job_state("a"), some(eq(JobState::Completed)));
    expect_that!(fleet.start_requests.len(), eq(6));
}

#[gtest]
fn a_repeated_submission_starts_no_second_job() {
    let mut fleet = Fleet::new(1, 4_000);
    fleet.submit(job("a", vec![step(1, 1_000)]));
    let again = fleet.submit(job("a", vec![step(1, 1_000)]));
    fleet.advance(1_000);
    let late = fleet.submit(job("a", vec![step(1, 1_000)]));
    fleet.advance(1_000);
    expect_that!(fleet.replies.get(&again), some(eq(&"accepted")));
    expect_that!(fleet.replies.get(&late), some(eq(&"accepted")));
    expect_that!(fleet.start_requests.len(), eq(1));
}

#[gtest]
fn a_step_waits_for_the_steps_before_it() {
    let mut fleet = Fleet::new(2, 4_000);
    let second = StepSpec { depends_on: vec![0], ..step(1, 1_000) };
    fleet.submit(job("a", vec![step(3, 1_000), second]));
    fleet.advance(450);
    expect_that!(fleet.start_requests.iter().filter(|r| r.task_id.step == 1).count(), eq(0));
    fleet.advance(1_500);
    expect_that!(fleet.job_state("a"), some(eq(JobState::Completed)));
}

#[gtest]
fn a_job_that_is_not_stored_is_refused_and_never_runs() {
    let mut fleet = Fleet::new(1, 4_000);
    fleet.log_rejects = true;
    let request_id = fleet.submit(job("a", vec![step(1, 1_000)]));
    fleet.advance(100);
    expect_that!(fleet.replies.get(&request_id), some(eq(&"refused")));
    fleet.log_rejects = false;
    fleet.advance(1_000);
    expect_that!(fleet.job_state("a"), none());
    expect_that!(fleet.start_requests.len(), eq(0));
}

#[gtest]
fn no_start_is_sent_before_the_log_has_recorded_the_run() {
    let mut fleet = Fleet::new(1, 4_000);
    fleet.submit(job("a", vec![step(1, 1_000)]));
    fleet.advance(10);
    fleet.log_rejects = true;
    fleet.advance(500);
    expect_that!(fleet.start_requests.len(), eq(0));
    fleet.log_rejects = false;
    fleet.advance(100);
    expect_that!(fleet.start_requests.len(), eq(1));
}

#[gtest]
fn workers_never_exceed_their_capacity() {
    let mut fleet = Fleet::new(2, 4_000);
    fleet.submit(job("a", vec![step(30, 1_500)]));
    for _ in 0..300 {
        fleet.advance(10);
        for worker in fleet.workers.values() {
            assert!(worker.running.len() <= 2, "over capacity");
        }
    }
}

#[gtest]
fn a_cancelled_job_is_stopped_and_starts_nothing_more() {
    let mut fleet = Fleet::new(1, 2_000);
    fleet.work_ms = 5_000;
    fleet.submit(job("a", vec![step(6, 1_000)]));
    fleet.advance(300);
    let request_id = fleet.cancel("a");
    fleet.advance(300);
    let started = fleet.start_requests.len();
    fleet.advance(2_000);
    expect_that!(fleet.replies.get(&request_id), some(eq(&"cancelled")));
    expect_that!(fleet.job_state("a"), some(eq(JobState::Cancelled)));
    expect_that!(fleet.workers["w0"].running.len(), eq(0));
    expect_that!(fleet.start_requests.len(), eq(started));
}

#[gtest]
fn an_unknown_job_cannot_be_cancelled() {
    let mut fleet = Fleet::new(1, 2_000);
    let request_id = fleet.cancel("nothing");
    fleet.advance(50);
    expect_that!(fleet.replies.get(&request_id), some(eq(&"unknown")));
}

#[gtest]
fn a_job_fails_after_its_attempts_are_used_up() {
    let mut fleet = Fleet::new(3, 4_000);
    fleet.submit(JobSpec { payload: "poison".into(), ..job("a", vec![step(1, 1_000)]) });
    fleet.advance(5_000);
    expect_that!(fleet.job_state("a"), some(eq(JobState::Failed)));
    expect_that!(fleet.start_requests.len(), eq(2));
}

#[gtest]
fn a_failed_task_is_retried_on_another_worker() {
    let mut fleet = Fleet::new(2, 4_000);
    fleet.workers.get_mut("w0").unwrap().failing = true;
    for n in 0..4 {
        fleet.submit(job(&format!("j{n}"), vec![step(1, 1_000)]));
    }
    fleet.advance(5_000);
    for n in 0..4 {
        expect_that!(fleet.job_state(&format!("j{n}")), some(eq(JobState::Completed)));
    }
}

#[gtest]
fn a_worker_that_fails_every_run_is_backed_off() {
    let mut fleet = Fleet::new(4, 2_000);
    fleet.work_ms = 100;
    fleet.workers.get_mut("w0").unwrap().failing = true;
    for n in 0..60 {
        fleet.submit(job(&format!("j{n}"), vec![step(1, 1_000)]));
        fleet.advance(50);
    }
    let failed = fleet.workers["w0"].starts.len();
    assert!(failed <= 6, "{failed} starts on the bad worker");
}

#[gtest]
fn a_stalled_run_is_restarted_on_another_worker() {
    let mut fleet = Fleet::new(2, 1_000);
    fleet.workers.get_mut("w0").unwrap().stalled = true;
    fleet.submit(job("a", vec![step(2, 1_000)]));
    fleet.advance(6_000);
    expect_that!(fleet.job_state("a"), some(eq(JobState::Completed)));
}

#[gtest]
fn occurrences_start_at_their_times_and_all_complete() {
    let mut fleet = Fleet::new(1, 4_000);
    let first = 1_000_000_000 + fleet.now + 1_000;
    let repeat = Some(Repeat { first, interval: 700, count: 3 });
    fleet.submit(JobSpec { repeat, ..job("a", vec![step(1, 1_000)]) });
    fleet.advance(900);
    expect_that!(fleet.start_requests.len(), eq(0));
    expect_that!(fleet.job_state("a"), some(eq(JobState::Queued)));
    fleet.advance(4_000);
    let occurrences: Vec<u32> = fleet.start_requests.iter().map(|r| r.task_id.occurrence).collect();
    expect_that!(occurrences, eq(&vec![0, 1, 2]));
    expect_that!(fleet.job_state("a"), some(eq(JobState::Completed)));
}

#[gtest]
fn a_gang_starts_whole_with_one_run_number_or_not_at_all() {
    let mut fleet = Fleet::new(2, 2_000);
    let gang = StepSpec { gang: true, ..step(5, 1_000) };
    fleet.submit(job("large", vec![gang]));
    fleet.advance(500);
    expect_that!(fleet.start_requests.len(), eq(0));
    let gang = StepSpec { gang: true, ..step(4, 1_000) };
    fleet.submit(job("fits", vec![gang]));
    fleet.advance(1_500);
    expect_that!(fleet.start_requests.len(), eq(4));
    expect_true!(fleet.start_requests.iter().all(|r| r.run == fleet.start_requests[0].run));
    expect_that!(fleet.job_state("fits"), some(eq(JobState::Completed)));
}

#[gtest]
fn tasks_share_workers_so_that_others_stay_free_for_other_pools() {
    let mut fleet = Fleet::new(4, 4_000);
    fleet.work_ms = 3_000;
    for n in 0..6 {
        fleet.submit(job(&format!("j{n}"), vec![step(1, 1_000)]));
        fleet.advance(100);
    }
    expect_that!(fleet.start_requests.len(), eq(6));
    expect_that!(fleet.shard.service_load("quotes", 1_800, 4_000).idle.len(), eq(2));
}

#[gtest]
fn tasks_of_a_step_respect_the_limit_per_worker() {
    let mut fleet = Fleet::new(3, 9_000);
    fleet.submit(long_running("a", 3, 1_000));
    fleet.advance(500);
    for worker in fleet.workers.values() {
        expect_that!(worker.running.len(), eq(1));
    }
}

#[gtest]
fn a_customer_stays_within_its_quota_on_the_shard() {
    let mut fleet = Fleet::new(2, 9_000);
    let quotas = Resources { cpu: 2_500, mem: 1_000, gpu: 0 };
    fleet.apply(Input::Quotas([("acme".to_owned(), quotas)].into()));
    fleet.submit(JobSpec { tenant: "acme".into(), ..job("a", vec![step(6, 1_000)]) });
    for _ in 0..200 {
        fleet.advance(10);
        let running: usize = fleet.workers.values().map(|w| w.running.len()).sum();
        assert!(running <= 2);
    }
    expect_that!(fleet.job_state("a"), some(eq(JobState::Completed)));
}

#[gtest]
fn nothing_starts_in_a_zone_taken_out_or_on_a_worker_that_is_not_ready() {
    let mut fleet = Fleet::new(2, 9_000);
    fleet.listed[0].zone = "z2".into();
    fleet.listed[1].ready = false;
    fleet.send_worker_list();
    fleet.apply(Input::ZonesOut(vec!["z2".into()]));
    fleet.submit(job("a", vec![step(2, 1_000)]));
    fleet.advance(1_000);
    expect_that!(fleet.start_requests.len(), eq(0));
    fleet.apply(Input::ZonesOut(Vec::new()));
    fleet.advance(2_000);
    expect_that!(fleet.job_state("a"), some(eq(JobState::Completed)));
}

#[gtest]
fn an_ended_job_is_deleted_after_the_retention_time() {
    let mut fleet = Fleet::new(1, 4_000);
    fleet.submit(job("a", vec![step(1, 1_000)]));
    fleet.advance(2_000);
    fleet.advance(100_000);
    expect_that!(fleet.job_state("a"), some(eq(JobState::Completed)));
    fleet.advance(30_000);
    expect_that!(fleet.job_state("a"), none());
    expect_true!(fleet.log.keys().all(|k| !k.contains(":a")));
}

#[gtest]
fn while_the_log_is_unresponsive_new_jobs_are_refused_and_the_sent_one_is_kept() {
    let mut fleet = Fleet::new(1, 4_000);
    fleet.log_unresponsive = true;
    let sent = fleet.submit(job("sent", vec![step(1, 1_000)]));
    fleet.advance(50);
    let queued = fleet.submit(job("queued", vec![step(1, 1_000)]));
    fleet.advance(400);
    let late = fleet.submit(job("late", vec![step(1, 1_000)]));
    fleet.advance(20);
    expect_that!(fleet.replies.get(&sent), none());
    expect_that!(fleet.replies.get(&queued), some(eq(&"refused")));
    expect_that!(fleet.replies.get(&late), some(eq(&"refused")));
    fleet.log_unresponsive = false;
    fleet.advance(3_000);
    expect_that!(fleet.replies.get(&sent), some(eq(&"accepted")));
    expect_that!(fleet.job_state("sent"), some(eq(JobState::Completed)));
    expect_that!(fleet.job_state("queued"), none());
    expect_that!(fleet.start_requests.len(), eq(1));
}

#[gtest]
fn workers_in_a_zone_taken_out_add_no_capacity_and_are_not_idle() {
    let mut fleet = Fleet::new(2, 4_000);
    fleet.listed[0].zone = "z2".into();
    fleet.send_worker_list();
    fleet.advance(100);
    let load = fleet.shard.service_load("quotes", 1_800, 4_000);
    expect_that!((load.capacity, load.idle.len()), eq((8_000, 2)));
    fleet.apply(Input::ZonesOut(vec!["z2".into()]));
    let load = fleet.shard.service_load("quotes", 1_800, 4_000);
    expect_that!(load.capacity, eq(4_000));
    expect_that!(load.idle, eq(&vec!["w1".to_owned()]));
}

#[gtest]
fn only_jobs_that_can_meet_their_objective_add_to_demand() {
    let mut fleet = Fleet::new(1, 1_000);
    fleet.work_ms = 60_000;
    fleet.submit(job("a", vec![step(3, 1_000)]));
    fleet.advance(200);
    expect_that!(fleet.shard.service_load("quotes", 1_800, 4_000).demand, eq(2_000));
    fleet.advance(9_000);
    expect_that!(fleet.shard.service_load("quotes", 1_800, 4_000).demand, eq(0));
}

/// Guards against machines for less urgent jobs before those for urgent ones: the coordinator ranks pools by this.
#[gtest]
fn the_load_tells_the_highest_priority_that_waits_and_how_much_waits_with_it() {
    let mut fleet = Fleet::new(1, 1_000);
    fleet.work_ms = 60_000;
    let load = |fleet: &Fleet| {
        let load = fleet.shard.service_load("quotes", 1_800, 4_000);
        (load.priority, load.urgent, load.demand)
    };
    expect_that!(load(&fleet), eq((u32::MAX, 0, 0)));
    fleet.submit(JobSpec { priority: 3, ..job("a", vec![step(1, 1_000)]) });
    fleet.advance(200);
    // It runs; without waiting tasks, the load tells the priority of recent arrivals.
    expect_that!(load(&fleet), eq((3, 0, 0)));
    fleet.submit(JobSpec { priority: 3, ..job("b", vec![step(2, 1_000)]) });
    fleet.submit(JobSpec { priority: 1, ..job("c", vec![step(1, 500)]) });
    fleet.submit(JobSpec { priority: 1, ..job("d", vec![step(1, 700)]) });
    fleet.submit(JobSpec { priority: 2, ..job("e", vec![step(1, 1_000)]) });
    fleet.advance(200);
    expect_that!(load(&fleet), eq((1, 1_200, 4_200)));
}

// Guards against a job that a new owner shows as queued and counts as waiting although tasks of it are done.
#[gtest]
fn a_job_with_tasks_that_are_done_is_running_at_a_new_owner() {
    let mut fleet = Fleet::new(1, 4_000);
    let too_wide = StepSpec { depends_on: vec![0], ..step(1, 64_000) };
    fleet.submit(job("a", vec![step(2, 1_000), too_wide]));
    fleet.advance(2_000);
    expect_that!(fleet.job_state("a"), some(eq(JobState::Running)));
    fleet.change_owner();
    fleet.advance(500);
    expect_that!(fleet.job_state("a"), some(eq(JobState::Running)));
    expect_that!(fleet.shard.queued_jobs("q"), eq(0));
}
