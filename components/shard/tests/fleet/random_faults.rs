//! Random faults from a fixed seed. The environment checks after every step that no task runs twice.

use std::collections::HashMap;

use crate::support::{Fleet, LogPace, TICK_MS, job, step};
use googletest::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::SeedableRng;
use rand::rngs::StdRng;
use shard::{Input, JobSpec, JobState, Resources, StepSpec};

/// Customer of the jobs.
const CUSTOMER: &str = "acme";
/// Its quota in thousandths of a core without copies and with copies: less than the four workers have.
const QUOTA_CPU: u64 = 9_000;
const QUOTA_CPU_COPIES: u64 = 6_000;

#[derive(Clone, Debug)]
enum Event {
    Submit(u32),
    Disconnect(usize),
    Reconnect(usize),
    Crash(usize),
    SetFailing(usize, bool),
    RejectAppends(bool),
    DropStartReplies(bool),
    ChangeOwner,
    Advance(u64),
    Cancel(usize),
    /// Milliseconds that the log takes to answer.
    SlowLog(u64),
    /// Seed of the answers that the log loses.
    LossyLog(u64),
    UsualLog,
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        4 => (1_u32..6).prop_map(Event::Submit),
        2 => (0_usize..4).prop_map(Event::Disconnect),
        2 => (0_usize..4).prop_map(Event::Reconnect),
        1 => (0_usize..4).prop_map(Event::Crash),
        1 => (0_usize..4, any::<bool>()).prop_map(|(w, on)| Event::SetFailing(w, on)),
        1 => any::<bool>().prop_map(Event::RejectAppends),
        1 => any::<bool>().prop_map(Event::DropStartReplies),
        1 => Just(Event::ChangeOwner),
        8 => (20_u64..1_200).prop_map(Event::Advance),
    ]
}

/// The same events, cancellations, and a log that answers late or loses answers.
fn event_of_slow_days() -> impl Strategy<Value = Event> {
    prop_oneof![
        20 => event(),
        2 => (0_usize..20).prop_map(Event::Cancel),
        3 => (200_u64..340).prop_map(Event::SlowLog),
        1 => any::<u64>().prop_map(Event::LossyLog),
        1 => Just(Event::UsualLog),
    ]
}

fn grant_quota(fleet: &mut Fleet, cpu: u64) {
    let quota = Resources { cpu, mem: 1_000_000, gpu: 0 };
    fleet.apply(Input::Quotas(HashMap::from([(CUSTOMER.to_owned(), quota)])));
}

/// Advances the time and checks that no more runs than the customer's quota allows. Each takes a core.
fn advance_within_quota(fleet: &mut Fleet, span: u64, cpu: u64) {
    for _ in 0..span.div_ceil(TICK_MS) {
        fleet.advance(TICK_MS);
        let running: usize = fleet.workers.values().map(|w| w.running.len()).sum();
        assert!(running as u64 * 1_000 <= cpu, "{running} runs at {}", fleet.now);
    }
}

/// Plays events; every second job allows copies if `speculative`.
fn run_events(events: &[Event], speculative: bool) -> (Fleet, Vec<(String, u64)>) {
    let mut fleet = Fleet::new(4, 3_000);
    let quota_cpu = if speculative { QUOTA_CPU_COPIES } else { QUOTA_CPU };
    grant_quota(&mut fleet, quota_cpu);
    if speculative {
        fleet.work_for =
            |r, work_ms| if r.run % 2 == 1 && r.task_id.index == 0 { 7 * work_ms } else { work_ms };
    }
    let mut jobs: Vec<(String, u64)> = Vec::new();
    for (n, event) in events.iter().enumerate() {
        match event {
            Event::Submit(tasks) => {
                let id = format!("j{n}");
                let speculative = speculative && jobs.len().is_multiple_of(2);
                let steps = vec![StepSpec { speculative, ..step(*tasks, 1_000) }];
                let spec = JobSpec { max_attempts: 1_000, tenant: CUSTOMER.into(), ..job(&id, steps) };
                jobs.push((id, fleet.submit(spec)));
            }
            Event::Disconnect(w) => worker(&mut fleet, *w).unreachable = true,
            Event::Reconnect(w) => worker(&mut fleet, *w).unreachable = false,
            Event::Crash(w) => fleet.crash(&format!("w{w}")),
            Event::SetFailing(w, on) => worker(&mut fleet, *w).failing = *on,
            Event::RejectAppends(on) => fleet.log_rejects = *on,
            Event::DropStartReplies(on) => fleet.drop_start_replies = *on,
            Event::ChangeOwner => {
                fleet.change_owner();
                grant_quota(&mut fleet, quota_cpu);
            }
            Event::Cancel(n) => {
                if let Some((id, _)) = jobs.get(*n) {
                    fleet.cancel(id);
                }
            }
            Event::SlowLog(delay) => fleet.log_pace = LogPace::Slow(*delay),
            Event::LossyLog(seed) => fleet.log_pace = LogPace::Lossy(Box::new(StdRng::seed_from_u64(*seed))),
            Event::UsualLog => fleet.log_pace = LogPace::Usual,
            Event::Advance(span) => advance_within_quota(&mut fleet, *span, quota_cpu),
        }
    }
    (fleet, jobs)
}

fn worker(fleet: &mut Fleet, n: usize) -> &mut crate::support::FakeWorker {
    fleet.workers.get_mut(&format!("w{n}")).expect("one of four")
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, rng_seed: RngSeed::Fixed(7), ..ProptestConfig::default() })]

    #[test]
    fn every_accepted_job_completes_once_faults_end_and_no_task_runs_twice(
        events in prop::collection::vec(event(), 5..60)
    ) {
        check_events(&events, false)?;
    }

    #[test]
    fn with_copies_every_accepted_job_completes_and_only_tasks_that_allow_it_run_twice(
        events in prop::collection::vec(event(), 5..60)
    ) {
        check_events(&events, true)?;
    }

    /// Guards against runs, capacity or quota that a job which was refused or cancelled in flight leaves behind.
    #[test]
    fn the_same_holds_with_cancellations_and_a_log_that_answers_late_or_loses_answers(
        events in prop::collection::vec(event_of_slow_days(), 5..60)
    ) {
        check_events(&events, false)?;
    }

    #[test]
    fn the_same_holds_with_copies_and_a_log_that_answers_late_or_loses_answers(
        events in prop::collection::vec(event_of_slow_days(), 5..60)
    ) {
        check_events(&events, true)?;
    }
}

/// Plays events, ends the faults and checks what became of the jobs.
fn check_events(events: &[Event], speculative: bool) -> std::result::Result<(), TestCaseError> {
    let (mut fleet, jobs) = run_events(events, speculative);
    for n in 0..4 {
        let worker = worker(&mut fleet, n);
        (worker.unreachable, worker.failing) = (false, false);
    }
    fleet.log_rejects = false;
    fleet.log_pace = LogPace::Usual;
    fleet.drop_start_replies = false;
    fleet.advance(40_000);
    let cancelled = |n: usize| events.iter().any(|e| matches!(e, Event::Cancel(c) if *c == n));
    for (n, (id, request_id)) in jobs.into_iter().enumerate() {
        if fleet.replies.get(&request_id) == Some(&"accepted") {
            let state = fleet.job_state(&id);
            let ended =
                state == Some(JobState::Completed) || cancelled(n) && state == Some(JobState::Cancelled);
            prop_assert!(ended, "{} is {:?}", id, state);
        }
        if fleet.replies.get(&request_id) == Some(&"refused") {
            prop_assert!(
                fleet.start_requests.iter().all(|r| r.task_id.job != id),
                "{} was refused and ran",
                id
            );
            prop_assert_eq!(fleet.job_state(&id), None, "{} was refused", id);
        }
    }
    for worker in fleet.workers.values() {
        prop_assert!(worker.running.is_empty());
    }
    let charged = fleet.shard.usage().get(CUSTOMER).map(|u| u.used).unwrap_or_default();
    prop_assert_eq!(charged, Resources::default(), "quota is charged without runs");
    prop_assert_eq!(fleet.shard.service_load("quotes", 0, 0).used, 0, "capacity is held without runs");
    Ok(())
}

#[gtest]
fn the_test_fleet_detects_a_task_that_runs_twice() {
    let outcome = std::panic::catch_unwind(|| {
        let mut fleet = Fleet::new(2, 3_000);
        fleet.work_ms = 9_000;
        fleet.submit(job("a", vec![step(1, 1_000)]));
        fleet.advance(300);
        let (name, run) = fleet.workers.values().flat_map(|w| w.running.clone()).next().expect("a run");
        for worker in fleet.workers.values_mut() {
            worker.running.insert(name.clone(), run.clone());
        }
        fleet.advance(10);
    });
    expect_true!(outcome.is_err());
}
