//! Storms of late calls, restarts, cuts and changes of owner.
//!
//! Guards against faults of one class: a call reaches another life of its worker than the one that it was meant for, or
//! arrives after its owner reckoned with it. The rules are the platform's: one run of a task at a time, no start after
//! an end `done` that was taken note of, no stop beyond a step's budget; and all work is done in the end.

use std::collections::{BTreeMap, HashSet};
use std::ops::Range;
use std::sync::LazyLock;

use crate::storm::{Storm, troubles};
use crate::support::troubles::{Breach, Troubles, Violation};
use crate::support::{Fleet, job, long_running, step};
use googletest::prelude::*;
use shard::Input;

/// Seeds of the run in CI.
const CI_SEEDS: Range<u64> = 0..50;
/// Further ones, which broke a step's budget on 082bd02: 198 without late calls, the others with them.
const BUDGET_SEEDS: [u64; 5] = [51, 154, 198, 315, 763];
/// Breaches that the platform allows; they are counted only.
const ALLOWED: [Breach; 2] = [Breach::BudgetShortly, Breach::BudgetByLateStop];

/// Plays seeds, prints what they broke, and returns the seeds by what they broke.
fn play(seeds: impl Iterator<Item = u64>, late: bool) -> BTreeMap<Breach, Vec<u64>> {
    let mut broken: BTreeMap<Breach, Vec<u64>> = BTreeMap::new();
    for seed in seeds {
        for Violation { at, breach, task, detail } in &troubles(&mut Storm::new(seed, late).play()).violations
        {
            if !ALLOWED.contains(breach) {
                println!("seed {seed} {at} {breach:?} {task} {detail}");
            }
            let seeds = broken.entry(*breach).or_default();
            if seeds.last() != Some(&seed) {
                seeds.push(seed);
            }
        }
    }
    for (breach, seeds) in &broken {
        println!("{breach:?}: {} seeds, {:?}", seeds.len(), &seeds[..seeds.len().min(20)]);
    }
    broken
}

fn broken_rules(broken: &BTreeMap<Breach, Vec<u64>>) -> Vec<Breach> {
    broken.keys().copied().filter(|b| !ALLOWED.contains(b)).collect()
}

/// Seeds that broke a rule.
fn seeds_with(breach: Breach) -> Vec<u64> {
    static BROKEN: LazyLock<BTreeMap<Breach, Vec<u64>>> =
        LazyLock::new(|| play(CI_SEEDS.chain(BUDGET_SEEDS), true));
    BROKEN.get(&breach).cloned().unwrap_or_default()
}

/// A fleet whose breaches are collected.
fn watched_fleet() -> Fleet {
    let mut fleet = Fleet::known(3, 3_000);
    fleet.troubles = Some(Box::new(Troubles::new(0)));
    fleet
}

/// Guards against checks that find nothing.
#[gtest]
fn two_runs_of_a_task_are_found() {
    let mut fleet = watched_fleet();
    fleet.work_ms = 9_000;
    fleet.submit(job("a", vec![step(1, 1_000)]));
    fleet.advance(300);
    let (name, run) = fleet.workers.values().flat_map(|w| w.running.clone()).next().expect("a run");
    fleet.workers.values_mut().for_each(|w| drop(w.running.insert(name.clone(), run.clone())));
    fleet.advance(10);
    expect_that!(breaches(&mut fleet), contains(eq(&Breach::Twice)));
}

/// Guards against checks that find nothing.
#[gtest]
fn a_start_after_a_noted_end_is_found() {
    let mut fleet = watched_fleet();
    fleet.submit(job("a", vec![step(1, 1_000)]));
    fleet.advance(2_000);
    troubles(&mut fleet).check_starts();
    assert_eq!(breaches(&mut fleet), []);
    // The next owner knows nothing of the job.
    fleet.log.clear();
    fleet.change_owner();
    fleet.submit(job("a", vec![step(1, 1_000)]));
    fleet.advance(2_000);
    troubles(&mut fleet).check_starts();
    expect_that!(breaches(&mut fleet), contains(eq(&Breach::StartAfterDone)));
}

/// Guards against checks that find nothing.
#[gtest]
fn a_stop_beyond_the_budget_is_found() {
    let mut fleet = watched_fleet();
    troubles(&mut fleet).lasting.insert("s".into(), 2);
    fleet.submit(long_running("s", 2, 1_000));
    fleet.advance(8_000);
    for worker in fleet.workers.values_mut() {
        worker.running.remove("s.0.0.0");
    }
    fleet.advance(10);
    let (id, _) = fleet.workers.iter().find(|(_, w)| !w.running.is_empty()).expect("a run");
    let worker = id.clone();
    fleet.apply(Input::Cordon { worker, cordoned: true });
    fleet.advance(10);
    expect_that!(breaches(&mut fleet), contains(eq(&Breach::BudgetShortly)));
}

fn breaches(fleet: &mut Fleet) -> Vec<Breach> {
    troubles(fleet).violations.iter().map(|v| v.breach).collect()
}

#[gtest]
fn in_a_storm_no_task_has_two_runs_at_a_time() {
    expect_that!(seeds_with(Breach::Twice), is_empty());
}

#[gtest]
fn in_a_storm_no_task_starts_after_an_end_that_was_taken_note_of() {
    expect_that!(seeds_with(Breach::StartAfterDone), is_empty());
}

#[gtest]
fn in_a_storm_no_stop_exceeds_the_budget_of_a_step() {
    expect_that!(seeds_with(Breach::Budget), is_empty());
}

#[gtest]
fn after_a_storm_all_work_is_done() {
    expect_that!(seeds_with(Breach::Unfinished), is_empty());
    expect_that!(seeds_with(Breach::NotOnce), is_empty());
}

#[gtest]
fn in_a_storm_without_late_calls_no_rule_is_broken() {
    expect_that!(broken_rules(&play(CI_SEEDS.chain(BUDGET_SEEDS), false)), is_empty());
}

/// Seeds from `STORM_FROM` to before `STORM_TO`; without late calls if `STORM_LATE` is 0.
#[gtest]
#[ignore = "a long run, started by hand"]
fn in_a_long_storm_no_rule_is_broken() {
    let broken = play(number("STORM_FROM")..number("STORM_TO"), number("STORM_LATE") > 0);
    expect_that!(broken_rules(&broken), is_empty());
}

/// Prints what happened to the task `STORM_TASK` under the seed `STORM_SEED`, from its first line to its last one, at all
/// workers that it had to do with.
#[gtest]
#[ignore = "a trace, printed by hand"]
fn the_trace_of_a_task_is_printed() {
    let task = std::env::var("STORM_TASK").expect("STORM_TASK is set");
    let mut fleet = Storm::new(number("STORM_SEED"), number("STORM_LATE") > 0).play();
    let trace = std::mem::take(&mut troubles(&mut fleet).trace);
    let workers: HashSet<&str> = trace.iter().filter(|l| l.task == task).map(|l| l.worker.as_str()).collect();
    let concerns = |w: &str| w.is_empty() || workers.contains(w);
    let first = trace.iter().position(|l| l.task == task).unwrap_or(0);
    let last = trace.iter().rposition(|l| l.task == task).unwrap_or(0);
    let lines = trace[first..=last].iter();
    for line in lines.filter(|l| l.task == task || l.task.is_empty() && concerns(&l.worker)) {
        println!("{:>6} {:3} {:10} {}", line.at, line.worker, line.task, line.text);
    }
    for violation in troubles(&mut fleet).violations.iter().filter(|v| v.task == task) {
        println!("{violation:?}");
    }
}

fn number(variable: &str) -> u64 {
    std::env::var(variable).ok().and_then(|n| n.parse().ok()).expect("a number in the environment")
}
