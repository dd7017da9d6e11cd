//! A log that answers late or loses answers: jobs start soon, and a batch that is not stored leaves nothing behind.

use std::collections::{BTreeMap, HashMap};

use crate::support::{FakeRun, Fleet, LogPace, TICK_MS, TIMING, job, step};
use googletest::prelude::*;
use rand::SeedableRng;
use rand::rngs::StdRng;
use shard::{Input, JobSpec, JobState, Ms, Resources, RunOutcome, StepSpec, TaskId};

/// Time of a slow log's answer: sixty times the usual 4 ms.
const SLOW_MS: Ms = 240;
/// Span in which jobs are submitted, and time between two of them.
const SPAN_MS: Ms = 10_000;
const JOB_INTERVAL_MS: Ms = 100;
/// Longest time until a worker with ends that are not stored is polled again.
const POLL_PAUSE_MS: Ms = 100;
/// Answers of the log that a job may wait for before its first start: the one in flight and its own.
const MAX_ANSWERS: usize = 2;

const fn slow() -> LogPace {
    LogPace::Slow(SLOW_MS)
}

fn lossy() -> LogPace {
    LogPace::Lossy(Box::new(StdRng::seed_from_u64(7)))
}

/// What a span of jobs came to.
#[derive(Debug, Default)]
struct Span {
    starts: usize,
    completed: usize,
    refused: usize,
    /// Most answers of the log, and longest time, between a submission and the job's first start.
    most_answers: usize,
    longest_wait: Ms,
    /// Sum of the times between submissions and first starts.
    total_wait: Ms,
    /// Longest time between the last end of a job's first step and the first start of its second one.
    longest_turn: Ms,
}

/// Submits jobs of two steps at a steady rate for a span, with free workers for all of them.
fn play(pace: LogPace) -> Span {
    let mut fleet = Fleet::new(8, 16_000);
    fleet.work_ms = 200;
    fleet.advance(200);
    fleet.log_pace = pace;
    let mut waiting: HashMap<String, (Ms, usize)> = HashMap::new();
    let mut span = Span::default();
    // Jobs whose first step has started, and when it was last seen to run.
    let mut first_steps: HashMap<String, Ms> = HashMap::new();
    let begin = fleet.now;
    while fleet.now < begin + SPAN_MS {
        if (fleet.now - begin).is_multiple_of(JOB_INTERVAL_MS) {
            let id = format!("j{}", fleet.now);
            let second = StepSpec { depends_on: vec![0], ..step(4, 500) };
            fleet.submit(job(&id, vec![step(4, 500), second]));
            waiting.insert(id, (fleet.now, fleet.log_answers));
        }
        let seen = fleet.start_requests.len();
        fleet.advance(TICK_MS);
        for request in &fleet.start_requests[seen..] {
            if let Some((at, answers)) = waiting.remove(&request.task_id.job) {
                span.most_answers = span.most_answers.max(fleet.log_answers - answers);
                span.longest_wait = span.longest_wait.max(fleet.now - at);
                span.total_wait += fleet.now - at;
            }
            if request.task_id.step == 0 {
                first_steps.insert(request.task_id.job.clone(), fleet.now);
            } else if let Some(at) = first_steps.remove(&request.task_id.job) {
                span.longest_turn = span.longest_turn.max(fleet.now - at);
            }
        }
        for task in fleet.workers.values().flat_map(|w| w.running.keys()) {
            let id = task.split('.').next().expect("job of a task");
            if let Some(at) = first_steps.get_mut(id) {
                *at = fleet.now;
            }
        }
    }
    span.starts = fleet.start_requests.len();
    let ids = (0..SPAN_MS / JOB_INTERVAL_MS).map(|n| format!("j{}", begin + n * JOB_INTERVAL_MS));
    span.refused = fleet.replies.values().filter(|r| **r == "refused").count();
    span.completed = ids.filter(|id| fleet.job_state(id) == Some(JobState::Completed)).count();
    span
}

/// Guards against a job that waits for a further answer of the log between its acceptance and its first start.
#[gtest]
fn with_a_slow_log_the_first_task_of_a_job_starts_after_at_most_two_answers() {
    let span = play(slow());
    println!("log of {SLOW_MS} ms: {span:?}");
    expect_that!(span.most_answers, le(MAX_ANSWERS));
    // Submissions and answers fall into steps of the simulated time.
    expect_that!(span.longest_wait, le(2 * (SLOW_MS + TICK_MS)));
}

/// Guards against ends that are seen late because an earlier end of their worker is not stored yet.
#[gtest]
fn with_a_slow_log_the_next_step_of_a_job_starts_after_at_most_two_answers_and_a_poll() {
    let span = play(slow());
    expect_that!(span.longest_turn, le(2 * (SLOW_MS + TICK_MS) + POLL_PAUSE_MS + TICK_MS));
}

/// Guards against polls that list the same ends again and again for as long as the log is silent.
#[gtest]
fn while_the_log_is_stalled_workers_with_ends_are_polled_only_to_renew_their_leases() {
    let mut fleet = Fleet::new(1, 4_000);
    fleet.submit(job("a", vec![step(4, 1_000)]));
    fleet.advance(300);
    fleet.log_unresponsive = true;
    fleet.advance(300 + TIMING.stall_after);
    let polls = fleet.polls_answered;
    fleet.advance(TIMING.lease);
    // A lease is renewed once the time of a poll has passed.
    expect_that!(fleet.polls_answered - polls, all![ge(1), le(1 + TIMING.lease / TIMING.poll_wait)]);
}

/// Guards against the same where each answer may take several repeats.
#[gtest]
fn with_a_log_that_loses_answers_the_first_task_of_a_job_starts_after_at_most_two_answers() {
    let span = play(lossy());
    println!("log that loses a third of its answers: {span:?}");
    expect_that!(span.most_answers, le(MAX_ANSWERS));
}

/// Guards against runs, capacity and quota that stay with a job which was refused.
#[gtest]
fn a_batch_that_is_not_stored_leaves_no_run_no_capacity_and_no_quota_behind() {
    let mut fleet = charged_fleet();
    fleet.log_pace = slow();
    let first = fleet.submit(charged("a", 2));
    fleet.advance(100);
    // Planned while the batch of the first one is in flight.
    let second = fleet.submit(charged("b", 2));
    fleet.advance(100);
    fleet.log_rejects = true;
    fleet.advance(600);
    expect_that!(fleet.replies.get(&first), some(eq(&"refused")));
    expect_that!(fleet.replies.get(&second), some(eq(&"refused")));
    assert_nothing_left(&fleet);
    fleet.log_rejects = false;
    fleet.log_pace = LogPace::Usual;
    fleet.advance(1_000);
    expect_that!(fleet.start_requests, is_empty());
    // All of the quota and the capacity can be used again, under the same ids.
    fleet.submit(charged("a", 4));
    fleet.advance(2_000);
    expect_that!(fleet.job_state("a"), some(eq(JobState::Completed)));
    expect_that!(fleet.start_requests.len(), eq(4));
}

/// Guards against jobs refused during a stall whose planned runs keep capacity, or are recorded later.
#[gtest]
fn a_job_refused_while_the_log_is_stalled_leaves_nothing_behind() {
    let mut fleet = charged_fleet();
    fleet.log_unresponsive = true;
    let sent = fleet.submit(charged("sent", 1));
    fleet.advance(50);
    let queued = fleet.submit(charged("queued", 3));
    fleet.advance(400);
    expect_that!(fleet.replies.get(&queued), some(eq(&"refused")));
    expect_that!(used(&fleet), eq(1_000));
    fleet.log_unresponsive = false;
    fleet.advance(2_000);
    expect_that!(fleet.replies.get(&sent), some(eq(&"accepted")));
    expect_that!(fleet.start_requests.len(), eq(1));
    expect_that!(used(&fleet), eq(0));
    let recorded = |id: &str| fleet.log.values().any(|v| String::from_utf8_lossy(v).contains(id));
    expect_that!((recorded("sent"), recorded("queued")), eq((true, false)));
}

/// Guards against a refused job's runs that take those of a stored job, recorded with the same worker, with them.
#[gtest]
fn a_batch_that_is_not_stored_keeps_the_runs_of_stored_jobs() {
    let mut fleet = Fleet::known(1, 4_000);
    fleet.work_ms = 1_500;
    fleet.submit(job("running", vec![step(2, 1_000)]));
    fleet.advance(500);
    let before = contents(&fleet);
    fleet.log_rejects = true;
    let refused = fleet.submit(job("refused", vec![step(2, 1_000)]));
    fleet.advance(100);
    expect_that!(fleet.replies.get(&refused), some(eq(&"refused")));
    expect_that!(contents(&fleet), eq(&before));
    fleet.log_rejects = false;
    fleet.advance(100);
    expect_that!(contents(&fleet), eq(&before));
    fleet.change_owner();
    fleet.advance(3_000);
    expect_that!(fleet.job_state("running"), some(eq(JobState::Completed)));
    expect_that!(fleet.start_requests.len(), eq(2));
}

/// Guards against a new owner that starts the tasks of a batch whose answer the old one did not get a second time.
#[gtest]
fn an_owner_change_right_after_the_batch_was_stored_starts_each_task_once() {
    let mut fleet = Fleet::new(2, 4_000);
    fleet.log_unresponsive = true;
    fleet.submit(job("a", vec![step(4, 1_000)]));
    fleet.advance(TICK_MS);
    expect_true!(fleet.log.keys().any(|k| k == "j:a"));
    fleet.change_owner();
    fleet.log_unresponsive = false;
    fleet.advance(3_000);
    expect_that!(fleet.job_state("a"), some(eq(JobState::Completed)));
    expect_that!(fleet.start_requests.len(), eq(4));
}

/// Guards against an order sent before its batch is stored, which the next owner would know nothing of.
#[gtest]
fn an_owner_change_before_the_batch_is_stored_leaves_nothing() {
    let mut fleet = Fleet::new(2, 4_000);
    fleet.advance(200);
    fleet.log_pace = slow();
    let request_id = fleet.submit(job("a", vec![step(4, 1_000)]));
    fleet.advance(SLOW_MS - TICK_MS);
    fleet.change_owner();
    fleet.advance(3_000);
    expect_that!(fleet.replies.get(&request_id), none());
    expect_that!(fleet.job_state("a"), none());
    expect_that!(fleet.start_requests, is_empty());
    expect_that!(fleet.log, is_empty());
}

/// Guards against starts and states that are shown before the log holds the job.
#[gtest]
fn nothing_of_a_job_shows_before_its_batch_is_stored() {
    let mut fleet = Fleet::new(2, 4_000);
    fleet.advance(200);
    fleet.log_pace = slow();
    let request_id = fleet.submit(job("a", vec![step(4, 1_000)]));
    while !fleet.log.contains_key("j:a") {
        expect_that!(fleet.start_requests, is_empty());
        expect_that!(fleet.replies.get(&request_id), none());
        expect_that!(fleet.job_state("a"), none());
        expect_that!(fleet.shard.queued_jobs("q"), eq(0));
        expect_that!(fleet.shard.find_standstill(), none());
        fleet.advance(TICK_MS);
    }
    expect_true!(fleet.log.keys().any(|k| k.starts_with("w:")));
    expect_that!(fleet.replies.get(&request_id), some(eq(&"accepted")));
    expect_that!(fleet.start_requests.len(), eq(4));
    expect_that!(fleet.job_state("a"), some(eq(JobState::Running)));
}

/// Guards against a job without capacity that counts as running because its record is stored.
#[gtest]
fn a_stored_job_whose_tasks_found_no_worker_is_queued() {
    let mut fleet = Fleet::new(1, 4_000);
    fleet.advance(200);
    fleet.log_pace = slow();
    fleet.submit(job("large", vec![step(1, 5_000)]));
    let demand = |fleet: &Fleet| fleet.shard.service_load("quotes", 0, 0).demand;
    fleet.advance(TICK_MS);
    expect_that!(fleet.shard.find_standstill(), none());
    expect_that!(demand(&fleet), eq(0));
    fleet.advance(2 * SLOW_MS);
    expect_that!(demand(&fleet), eq(5_000));
    expect_that!(fleet.job_state("large"), some(eq(JobState::Queued)));
    expect_that!(fleet.shard.queued_jobs("q"), eq(1));
    expect_that!(fleet.shard.find_standstill().map(|s| s.jobs), some(eq(1)));
}

/// Guards against a cancelled job whose planned runs start once the batch in flight is stored.
#[gtest]
fn a_job_cancelled_while_its_batch_is_in_flight_starts_nothing() {
    let mut fleet = charged_fleet();
    fleet.log_pace = slow();
    let submitted = fleet.submit(charged("a", 4));
    fleet.advance(100);
    let cancelled = fleet.cancel("a");
    let repeated = fleet.submit(charged("a", 4));
    expect_that!(used(&fleet), eq(0));
    fleet.advance(3 * SLOW_MS);
    expect_that!(fleet.replies.get(&submitted), some(eq(&"accepted")));
    expect_that!(fleet.replies.get(&repeated), some(eq(&"accepted")));
    expect_that!(fleet.replies.get(&cancelled), some(eq(&"cancelled")));
    expect_that!(fleet.job_state("a"), some(eq(JobState::Cancelled)));
    expect_that!(fleet.start_requests, is_empty());
    assert_nothing_left(&fleet);
}

/// Guards against reports that settle a task before its job is stored: no start of it can have been sent.
#[gtest]
fn an_end_and_a_run_reported_for_a_job_that_is_not_stored_do_not_count() {
    let mut fleet = Fleet::new(1, 4_000);
    fleet.advance(200);
    fleet.log_pace = slow();
    fleet.submit(job("a", vec![step(2, 1_000)]));
    let (now, work_ms) = (fleet.now, fleet.work_ms);
    let stray = FakeRun { run: 1, started_at: now, work_ms, long_running: true, payload: String::new() };
    let worker = fleet.workers.get_mut("w0").expect("a worker");
    worker.running.insert("a.0.0.0".into(), stray);
    worker.end_run(TaskId::parse("a.0.0.1").expect("task id"), 0, RunOutcome::Done);
    fleet.advance(200);
    expect_that!(fleet.stops, contains(eq(&("w0".to_owned(), "a.0.0.0".to_owned()))));
    fleet.advance(5_000);
    expect_that!(fleet.job_state("a"), some(eq(JobState::Completed)));
    let started = |task: &str| fleet.workers["w0"].starts.iter().filter(|(t, _)| t == task).count();
    expect_that!((started("a.0.0.0"), started("a.0.0.1")), eq((1, 1)));
}

/// Guards against a cancellation that is never answered because its job was refused.
#[gtest]
fn the_cancellation_of_a_job_whose_batch_is_not_stored_is_answered() {
    for delay in [0, 100] {
        let mut fleet = charged_fleet();
        fleet.log_pace = slow();
        fleet.log_rejects = true;
        let submitted = fleet.submit(charged("a", 4));
        fleet.advance(delay);
        let cancelled = fleet.cancel("a");
        fleet.advance(3 * SLOW_MS);
        expect_that!(fleet.replies.get(&submitted), some(eq(&"refused")), "cancelled after {delay} ms");
        expect_that!(fleet.replies.get(&cancelled), some(eq(&"unknown")), "cancelled after {delay} ms");
        assert_nothing_left(&fleet);
    }
}

/// Guards against arrivals and ready steps of refused jobs, which would order machines and slow each pass.
#[gtest]
fn refused_jobs_add_nothing_to_the_forecast_of_a_service() {
    let mut fleet = Fleet::new(2, 4_000);
    fleet.advance(200);
    fleet.log_rejects = true;
    for n in 0..300 {
        fleet.submit(job(&format!("j{n}"), vec![step(4, 1_000)]));
        fleet.advance(20);
    }
    let load = fleet.shard.service_load("quotes", 1_000, 0);
    expect_that!((load.expected, load.demand, load.used), eq((0, 0, 0)));
    expect_false!(fleet.shard.backlogged());
}

/// Guards against runs recorded before the records of their jobs, where these exceed one batch.
#[gtest]
fn no_run_is_recorded_before_its_job_where_jobs_exceed_one_batch() {
    let mut fleet = Fleet::new(4, 64_000);
    fleet.advance(200);
    fleet.log_pace = slow();
    for n in 0..20 {
        let payload = format!("work{}", " ".repeat(200_000));
        fleet.submit(JobSpec { payload, ..job(&format!("j{n}"), vec![step(2, 100)]) });
    }
    for _ in 0..300 {
        fleet.advance(TICK_MS);
        let text: String = fleet
            .log
            .iter()
            .filter(|(k, _)| k.starts_with("w:"))
            .map(|(_, v)| String::from_utf8_lossy(v).into_owned())
            .collect();
        for n in 0..20 {
            let recorded = text.contains(&format!("j{n}.0"));
            expect_true!(!recorded || fleet.log.contains_key(&format!("j:j{n}")), "run of job {n}");
        }
    }
    expect_that!(fleet.start_requests.len(), eq(40));
}

/// Guards against a further answer of the log between the end of a step and the plan of the next one.
#[gtest]
fn the_end_of_a_step_and_the_plan_of_the_next_one_share_a_batch() {
    let mut fleet = Fleet::new(1, 4_000);
    fleet.advance(200);
    let second = StepSpec { depends_on: vec![0], ..step(1, 1_000) };
    fleet.submit(job("a", vec![step(1, 1_000), second]));
    fleet.advance(100);
    fleet.log_pace = slow();
    while fleet.workers["w0"].ended.is_empty() {
        fleet.advance(TICK_MS);
    }
    let answers = fleet.log_answers;
    while fleet.start_requests.len() < 2 {
        fleet.advance(TICK_MS);
    }
    expect_that!(fleet.log_answers - answers, eq(1));
}

/// Records of the log, their bytes sorted: the runs of a worker are listed in no order.
fn contents(fleet: &Fleet) -> BTreeMap<String, Vec<u8>> {
    let mut contents = fleet.log.clone();
    contents.values_mut().for_each(|v| v.sort_unstable());
    contents
}

fn charged(id: &str, tasks: u32) -> JobSpec {
    JobSpec { tenant: "acme".into(), ..job(id, vec![step(tasks, 1_000)]) }
}

/// A fleet of one worker whose capacity the customer's quota covers.
fn charged_fleet() -> Fleet {
    let mut fleet = Fleet::new(1, 4_000);
    let quota = Resources { cpu: 4_000, mem: 100_000, gpu: 0 };
    fleet.apply(Input::Quotas(HashMap::from([("acme".to_owned(), quota)])));
    fleet.advance(200);
    fleet
}

/// CPU charged to the customer.
fn used(fleet: &Fleet) -> u64 {
    fleet.shard.usage().get("acme").map_or(0, |u| u.used.cpu)
}

/// Checks that no run, capacity or quota is held and that no worker's record is left.
fn assert_nothing_left(fleet: &Fleet) {
    expect_that!(used(fleet), eq(0));
    let load = fleet.shard.service_load("quotes", 0, 0);
    expect_that!((load.used, load.idle.len()), eq((0, fleet.workers.len())));
    expect_true!(
        fleet.log.keys().all(|k| !k.starts_with("w:")),
        "records of workers: {:?}",
        fleet.log.keys()
    );
}
