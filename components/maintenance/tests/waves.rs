//! Planning of maintenance waves.

use std::collections::{BTreeMap, BTreeSet};

use googletest::prelude::*;
use maintenance::{Action, Machine, MachineState, Outcome, Wave};

const DURATION_MS: u64 = 20_000;

fn machines(count: usize) -> Vec<Machine> {
    (0..count)
        .map(|n| Machine {
            name: format!("m{n}"),
            pool: format!("p{}", n % 3),
            state: MachineState::Up,
            zone: "z1".into(),
            worker: format!("w{n}"),
            cpu: 16_000,
        })
        .collect()
}

fn names(machines: &[Machine]) -> Vec<String> {
    machines.iter().map(|m| m.name.clone()).collect()
}

/// Simulates a wave whose machines drain within one round of planning. Returns the time of its end and the
/// maximum number of machines that were down.
fn simulate(mut machines: Vec<Machine>, max_unavailable: usize, downtime: u64) -> (u64, usize) {
    let mut wave = Wave::new(&names(&machines), max_unavailable, 0, DURATION_MS, &BTreeSet::new());
    let mut up_at: BTreeMap<String, u64> = BTreeMap::new();
    let mut max_down = 0;
    for now in (0..DURATION_MS * 3).step_by(300) {
        for machine in &mut machines {
            if up_at.get(&machine.name).is_some_and(|at| *at <= now) {
                up_at.remove(&machine.name);
                machine.state = MachineState::Up;
            }
        }
        wave.observe(now, &machines);
        let runs = wave.draining().map(|n| (n.clone(), 0)).collect();
        for action in wave.plan(now, &machines, &runs, &BTreeSet::new(), usize::MAX) {
            if let Action::Start(name) = action {
                let machine = machines.iter_mut().find(|m| m.name == name).expect("listed");
                machine.state = MachineState::Maintenance;
                up_at.insert(name.clone(), now + downtime);
                wave.record_outcome(now, &name, Outcome::Started);
            }
        }
        max_down = max_down.max(up_at.len());
        if wave.is_complete() {
            return (now, max_down);
        }
    }
    (u64::MAX, max_down)
}

#[gtest]
fn a_wave_completes_in_time_without_exceeding_max_unavailable() {
    let (end, max_down) = simulate(machines(25), 10, 2_000);
    expect_that!(end, le(DURATION_MS));
    expect_that!(max_down, le(10));
}

#[gtest]
fn max_unavailable_of_one_keeps_at_most_one_machine_down() {
    let (end, max_down) = simulate(machines(6), 1, 2_000);
    expect_that!(end, le(DURATION_MS));
    expect_that!(max_down, eq(1));
}

#[gtest]
fn maintenance_does_not_start_while_runs_remain_or_are_unknown() {
    let machines = machines(1);
    let mut wave = Wave::new(&names(&machines), 1, 0, DURATION_MS, &BTreeSet::new());
    wave.plan(0, &machines, &BTreeMap::new(), &BTreeSet::new(), usize::MAX);
    let runs = [("m0".to_owned(), 2)].into();
    expect_that!(wave.plan(5_000, &machines, &runs, &BTreeSet::new(), usize::MAX), is_empty());
    expect_that!(wave.plan(5_300, &machines, &BTreeMap::new(), &BTreeSet::new(), usize::MAX), is_empty());
}

#[gtest]
fn an_unanswered_order_counts_as_unavailable() {
    let machines = machines(2);
    let mut wave = Wave::new(&names(&machines), 1, 0, DURATION_MS, &BTreeSet::new());
    wave.plan(DURATION_MS, &machines, &BTreeMap::new(), &BTreeSet::new(), usize::MAX);
    let runs: BTreeMap<String, usize> = wave.draining().map(|n| (n.clone(), 0)).collect();
    let actions = wave.plan(DURATION_MS, &machines, &runs, &BTreeSet::new(), usize::MAX);
    let [Action::Start(name)] = &actions[..] else { panic!("{actions:?}") };
    wave.record_outcome(DURATION_MS, name, Outcome::Unknown);
    wave.observe(DURATION_MS, &machines);
    expect_that!(wave.plan(DURATION_MS + 300, &machines, &runs, &BTreeSet::new(), usize::MAX), is_empty());
    expect_false!(wave.is_complete());
}

#[gtest]
fn a_machine_that_is_no_longer_listed_leaves_the_wave() {
    let mut machines = machines(2);
    let mut wave = Wave::new(&names(&machines), 2, 0, DURATION_MS, &BTreeSet::from(["m0".to_owned()]));
    machines.remove(1);
    wave.observe(DURATION_MS, &machines);
    expect_true!(wave.is_complete());
}

#[gtest]
fn a_machine_whose_maintenance_is_refused_is_drained_again() {
    let machines = machines(1);
    let mut wave = Wave::new(&names(&machines), 1, 0, DURATION_MS, &BTreeSet::new());
    wave.plan(DURATION_MS, &machines, &BTreeMap::new(), &BTreeSet::new(), usize::MAX);
    let runs = [("m0".to_owned(), 0)].into();
    wave.plan(DURATION_MS, &machines, &runs, &BTreeSet::new(), usize::MAX);
    wave.record_outcome(DURATION_MS, "m0", Outcome::NotStarted);
    expect_that!(
        wave.plan(DURATION_MS + 300, &machines, &runs, &BTreeSet::new(), usize::MAX),
        eq(&vec![Action::Drain("m0".to_owned())])
    );
}

#[gtest]
fn idle_machines_are_drained_first_and_immediately() {
    let machines = machines(6);
    let mut wave = Wave::new(&names(&machines), 3, 0, DURATION_MS, &BTreeSet::new());
    let idle: BTreeSet<String> = ["m3", "m4", "m5"].map(str::to_owned).into();
    let actions = wave.plan(0, &machines, &BTreeMap::new(), &idle, usize::MAX);
    let drained: Vec<&str> = actions.iter().map(name_of).collect();
    expect_that!(drained, eq(&vec!["m3", "m4", "m5"]));
}

#[gtest]
fn a_new_coordinator_keeps_the_schedule_of_the_wave() {
    let machines = machines(10);
    let mut wave = Wave::new(&names(&machines), 10, 0, DURATION_MS, &BTreeSet::new());
    let actions = wave.plan(DURATION_MS / 2, &machines, &BTreeMap::new(), &BTreeSet::new(), usize::MAX);
    expect_that!(actions.len(), ge(8));
}

#[gtest]
fn a_new_coordinator_counts_machines_that_are_already_down() {
    let mut machines = machines(4);
    machines[0].state = MachineState::Maintenance;
    machines[1].state = MachineState::Moving;
    let started = BTreeSet::from(["m0".to_owned()]);
    let mut wave = Wave::new(&names(&machines), 2, 0, DURATION_MS, &started);
    wave.observe(DURATION_MS, &machines);
    wave.plan(DURATION_MS, &machines, &BTreeMap::new(), &BTreeSet::new(), usize::MAX);
    let runs = ["m2", "m3"].map(|n| (n.to_owned(), 0)).into();
    expect_that!(
        wave.plan(DURATION_MS, &machines, &runs, &BTreeSet::new(), usize::MAX),
        each(matches_pattern!(Action::Drain(_)))
    );
    expect_false!(wave.is_complete());
}

fn name_of(action: &Action) -> &str {
    match action {
        Action::Drain(name) | Action::Start(name) => name,
    }
}

#[test]
fn starts_beyond_max_orders_wait_for_the_next_round() {
    let machines = machines(6);
    let names: Vec<String> = machines.iter().map(|m| m.name.clone()).collect();
    let mut wave = Wave::new(&names, 6, 0, DURATION_MS, &BTreeSet::new());
    let idle = names.iter().cloned().collect();
    wave.plan(0, &machines, &BTreeMap::new(), &idle, usize::MAX);
    let runs: BTreeMap<String, usize> = names.iter().map(|n| (n.clone(), 0)).collect();
    for _ in 0..3 {
        assert_that!(wave.plan(100, &machines, &runs, &BTreeSet::new(), 2), len(eq(2)));
    }
    assert_that!(wave.plan(100, &machines, &runs, &BTreeSet::new(), 2), is_empty());
}

/// A wave whose only machine, `m0`, has an order without an answer, sent at time 0.
fn wave_with_unanswered_order(machines: &[Machine]) -> Wave {
    let mut wave = Wave::new(&["m0".to_owned()], 1, 0, DURATION_MS, &BTreeSet::new());
    assert_that!(order_drained(&mut wave, 0, machines), eq(&vec![Action::Start("m0".to_owned())]));
    wave.record_outcome(0, "m0", Outcome::Unknown);
    wave
}

/// Drains `m0` and returns the orders that follow.
fn order_drained(wave: &mut Wave, now: u64, machines: &[Machine]) -> Vec<Action> {
    let runs = [("m0".to_owned(), 0)].into();
    wave.plan(now, machines, &runs, &BTreeSet::new(), usize::MAX);
    wave.plan(now, machines, &runs, &BTreeSet::new(), usize::MAX)
}

/// Observes a span in which `m0` is down for maintenance, and up at its end.
fn observe_maintenance(wave: &mut Wave, machines: &mut [Machine], span: std::ops::Range<u64>) {
    machines[0].state = MachineState::Maintenance;
    for now in span.clone().step_by(100) {
        wave.observe(now, machines);
    }
    machines[0].state = MachineState::Up;
    wave.observe(span.end, machines);
}

// Guards against a wave that is complete without the maintenance of a machine which was down for another wave.
#[gtest]
fn maintenance_for_another_wave_is_not_taken_for_an_unanswered_order() {
    let mut machines = machines(1);
    let mut wave = wave_with_unanswered_order(&machines);
    let waves = [vec!["m0".to_owned()], vec!["m0".to_owned(), "m1".to_owned()]];
    wave.set_shared(&maintenance::shared_machines(waves.iter().map(Vec::as_slice)));
    observe_maintenance(&mut wave, &mut machines, 1_000..3_000);
    expect_false!(wave.is_complete());
    wave.observe(3_100, &machines);
    expect_that!(order_drained(&mut wave, 3_100, &machines), contains(eq(&Action::Start("m0".to_owned()))));
    expect_false!(wave.is_complete());
    wave.record_outcome(3_100, "m0", Outcome::Started);
    expect_true!(wave.is_complete());
}

// Guards against a second drain of a machine whose order took effect without an answer.
#[gtest]
fn maintenance_of_a_machine_of_one_wave_tells_that_its_order_took_effect() {
    let mut machines = machines(1);
    let mut wave = wave_with_unanswered_order(&machines);
    wave.set_shared(&maintenance::shared_machines([vec!["m0".to_owned()]].iter().map(Vec::as_slice)));
    observe_maintenance(&mut wave, &mut machines, 1_000..3_000);
    expect_true!(wave.is_complete());
    expect_that!(order_drained(&mut wave, 4_000, &machines), is_empty());
}

// Guards against machines that are taken for shared as one wave names them twice.
#[gtest]
fn shared_machines_are_those_of_several_waves() {
    let waves = [vec!["m0".to_owned(), "m0".to_owned(), "m1".to_owned()], vec!["m1".to_owned()]];
    let shared = maintenance::shared_machines(waves.iter().map(Vec::as_slice));
    expect_that!(shared, eq(&BTreeSet::from(["m1".to_owned()])));
}
