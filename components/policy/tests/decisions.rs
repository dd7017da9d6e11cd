//! Shares and placement.

use googletest::prelude::*;
use policy::{Avoid, Candidate, Choice, Claimant, choose, distance, is_needier, max_min, pick};
use rand::SeedableRng;
use rand::rngs::StdRng;

fn team(share: f64, running: f64) -> Claimant {
    Claimant { share, running, usage: 0.0 }
}

#[gtest]
fn starts_the_team_furthest_below_its_share() {
    expect_eq!(pick(&[team(1.0, 3.0), team(4.0, 8.0)]), Some(1));
    expect_eq!(pick(&[team(1.0, 3.0), team(4.0, 16.0)]), Some(0));
    expect_eq!(pick(&[team(1.0, 3.0)]), Some(0));
    expect_eq!(pick(&[]), None);
}

#[gtest]
fn repays_a_team_that_was_starved() {
    let starved = Claimant { usage: 0.0, ..team(1.0, 2.0) };
    let sated = Claimant { usage: 4.0, ..team(1.0, 2.0) };
    expect_eq!(pick(&[sated, starved]), Some(1));
}

#[gtest]
fn hands_a_slot_only_to_a_team_well_below() {
    expect_true!(is_needier(&team(1.0, 1.0), &team(1.0, 4.0)));
    expect_false!(is_needier(&team(1.0, 4.0), &team(1.0, 4.0)));
    expect_false!(is_needier(&team(1.0, 9.0), &team(1.0, 4.0)));
}

#[gtest]
fn lends_unused_share() {
    expect_that!(max_min(10.0, &[1.0, 1.0], &[2.0, 99.0]), elements_are![near(2.0, 1e-9), near(8.0, 1e-9)]);
    expect_that!(max_min(10.0, &[1.0, 4.0], &[99.0, 99.0]), elements_are![near(2.0, 1e-9), near(8.0, 1e-9)]);
    expect_that!(max_min(10.0, &[1.0, 1.0], &[1.0, 2.0]), elements_are![near(1.0, 1e-9), near(2.0, 1e-9)]);
}

#[gtest]
fn measures_distance_from_fair_parts() {
    expect_that!(distance(&[5.0, 5.0], &[5.0, 5.0]), near(0.0, 1e-9));
    expect_that!(distance(&[10.0, 0.0], &[5.0, 5.0]), near(0.5, 1e-9));
}

#[gtest]
fn places_nothing_on_a_full_worker() {
    let mut rng = StdRng::seed_from_u64(1);
    let full = Candidate { load: 8, slots: 8, avoid: Avoid::No };
    let free = Candidate { load: 7, slots: 8, avoid: Avoid::Zone };
    for choice in [Choice::TwoChoices, Choice::LeastLoaded, Choice::Random] {
        expect_eq!(choose(choice, &[full, free], &mut rng), Some(1));
        expect_eq!(choose(choice, &[full], &mut rng), None);
    }
}

#[gtest]
fn prefers_another_zone_after_a_failure() {
    let mut rng = StdRng::seed_from_u64(1);
    let here = Candidate { load: 0, slots: 8, avoid: Avoid::Zone };
    let there = Candidate { load: 5, slots: 8, avoid: Avoid::No };
    expect_eq!(choose(Choice::LeastLoaded, &[here, there], &mut rng), Some(1));
}

#[gtest]
fn keeps_away_from_a_worker_that_failed_the_request() {
    let mut rng = StdRng::seed_from_u64(1);
    let failed = Candidate { load: 0, slots: 8, avoid: Avoid::Worker };
    let zone = Candidate { load: 7, slots: 8, avoid: Avoid::Zone };
    for choice in [Choice::TwoChoices, Choice::LeastLoaded, Choice::Random] {
        expect_eq!(choose(choice, &[failed, zone, failed], &mut rng), Some(1));
    }
}
