//! What becomes of runs and tasks whose start has been sent more than once.

use crate::unanswered::{fleet_with_late_start, runs, set_ready};
use googletest::prelude::*;

/// Guards against a run that goes on after its job was cancelled, as it had been kept.
#[gtest]
fn a_kept_run_is_stopped_once_its_job_is_cancelled() {
    let (mut fleet, first) = fleet_with_late_start(2_000);
    set_ready(&mut fleet, &first, false);
    fleet.lose_stops = true;
    fleet.advance(3_000);
    set_ready(&mut fleet, &first, true);
    fleet.lose_stops = false;
    fleet.advance(3_000);
    assert_eq!(runs(&fleet), 1);
    fleet.cancel("a");
    fleet.advance(10_000);
    expect_that!(runs(&fleet), eq(0));
}
