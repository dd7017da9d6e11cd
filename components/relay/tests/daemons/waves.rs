//! Maintenance waves of the coordinator.

use googletest::prelude::*;
use relay::Wave;

use crate::{eventually, start_daemon, start_fleet};

// Guards against a wave that is published as complete though a machine was down for another wave only.
#[gtest]
#[tokio::test]
async fn each_of_two_waves_has_the_maintenance_of_a_machine_that_they_share() {
    let (platform, _) = start_fleet(0).await;
    {
        let mut state = platform.state.lock();
        state.spare_machines = vec!["m1".into()];
        let wave = |number| Wave { number, machines: vec!["m1".into()], duration_s: 20, max_down: 1 };
        state.waves = vec![wave(1), wave(2)];
        // The first order of each wave.
        state.lost_orders = 2;
    }
    let _daemon = start_daemon(&platform, 0, true).await;
    eventually("both waves are complete", || async { platform.state.lock().missing.len() == 2 }).await;
    let state = platform.state.lock();
    expect_that!(state.missing.values().flatten().collect::<Vec<_>>(), is_empty());
    expect_that!(state.maintenance, unordered_elements_are![eq(&("m1".into(), 1)), eq(&("m1".into(), 2))]);
}
