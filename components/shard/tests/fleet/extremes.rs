//! Jobs with numbers at their limits: no job may take its owner down or keep other jobs from running.

use crate::support::{Fleet, job, step};
use googletest::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use shard::{Input, JobSpec, JobState, Repeat, Resources, StepSpec};

/// Occurrences of a job that may be in progress at a time.
const MAX_ACTIVE: usize = 1_000;

fn limits() -> impl Strategy<Value = u64> {
    prop_oneof![Just(0), Just(1), Just(u64::from(u32::MAX)), Just(u64::MAX - 1), Just(u64::MAX), any::<u64>()]
}

fn extreme_step() -> impl Strategy<Value = StepSpec> {
    let flags = (any::<bool>(), any::<bool>(), any::<bool>(), any::<bool>(), any::<bool>());
    (1_u32..40, limits(), limits(), limits(), limits(), flags, prop_oneof![Just(0), Just(1), Just(u32::MAX)])
        .prop_map(|(count, cpu, mem, gpu, estimate, flags, bound)| StepSpec {
            count,
            cpu,
            mem,
            gpu,
            estimate,
            gang: flags.0,
            long_running: flags.1,
            best_effort: flags.2,
            checkpointing: flags.3,
            max_colocated: bound,
            disruption_budget: bound,
            latency_target: if flags.4 { u64::MAX } else { 0 },
            ..StepSpec::default()
        })
}

fn extreme_job() -> impl Strategy<Value = JobSpec> {
    let stretch = prop_oneof![Just(0.0), Just(-1.0), Just(f64::INFINITY), Just(f64::NAN), Just(2.0)];
    let repeat = (limits(), limits(), prop_oneof![Just(0_u32), Just(1), Just(u32::MAX)]);
    (prop::collection::vec(extreme_step(), 1..4), stretch, limits(), prop::option::of(repeat), any::<u32>())
        .prop_map(|(steps, stretch, target, repeat, max_attempts)| JobSpec {
            stretch,
            target,
            max_attempts,
            tenant: "a".into(),
            repeat: repeat.map(|(first, interval, count)| Repeat { first, interval, count }),
            ..job("extreme", steps)
        })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 100, failure_persistence: None, rng_seed: RngSeed::Fixed(11), ..ProptestConfig::default() })]

    #[test]
    fn a_job_with_extreme_numbers_keeps_no_other_job_from_running(spec in extreme_job()) {
        let mut fleet = Fleet::new(2, 4_000);
        let all = Resources { cpu: u64::MAX, mem: u64::MAX, gpu: u64::MAX };
        fleet.apply(Input::Quotas([("a".to_owned(), all), ("b".to_owned(), all)].into()));
        fleet.submit(spec);
        fleet.advance(400);
        let _ = fleet.shard.usage();
        let _ = fleet.shard.service_load("quotes", u64::MAX, u64::MAX);
        fleet.change_owner();
        fleet.apply(Input::Quotas([("a".to_owned(), all), ("b".to_owned(), all)].into()));
        fleet.advance(400);
        fleet.cancel("extreme");
        fleet.submit(JobSpec { tenant: "b".into(), ..job("plain", vec![step(2, 1_000)]) });
        fleet.advance(6_000);
        prop_assert_eq!(fleet.job_state("plain"), Some(JobState::Completed));
    }
}

#[gtest]
fn occurrences_without_a_pause_between_them_become_active_a_few_at_a_time() {
    let mut fleet = Fleet::new(1, 4_000);
    let repeat = Some(Repeat { first: 1, interval: 0, count: u32::MAX });
    fleet.submit(JobSpec { repeat, ..job("a", vec![step(1, 1_000)]) });
    fleet.advance(300);
    let demand = fleet.shard.service_load("quotes", 1_800, 4_000).demand;
    expect_that!(demand, le(1_000 * MAX_ACTIVE as u64));
    expect_that!(fleet.start_requests.len(), eq(4));
}

#[gtest]
fn a_task_that_fits_no_machine_adds_no_demand_for_machines() {
    let mut fleet = Fleet::new(1, 4_000);
    fleet.submit(job("a", vec![step(3, 64_000)]));
    fleet.submit(job("b", vec![step(6, 1_000)]));
    fleet.advance(100);
    expect_that!(fleet.shard.service_load("quotes", 1_800, 4_000).demand, eq(2_000));
    // An earlier version of the coordinator does not tell the largest machine.
    expect_that!(fleet.shard.service_load("quotes", 1_800, 0).demand, eq(194_000));
}

#[gtest]
fn tasks_that_fit_no_worker_keep_no_other_task_waiting() {
    let mut fleet = Fleet::new(2, 4_000);
    for n in 0..60 {
        fleet.submit(JobSpec { target: 60_000, ..job(&format!("huge{n}"), vec![step(2, 64_000)]) });
    }
    fleet.advance(50);
    fleet.submit(JobSpec { target: 60_000, ..job("plain", vec![step(2, 1_000)]) });
    fleet.advance(1_000);
    expect_that!(fleet.job_state("plain"), some(eq(JobState::Completed)));
}
