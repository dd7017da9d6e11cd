//! Rate of orders for machines.

use googletest::prelude::*;
use relay::Pace;

#[test]
fn orders_stay_within_the_rate_whatever_is_asked_at_once() {
    let mut pace = Pace::new(64.0, 0);
    let mut sent = 0;
    for now in (0..10_000).step_by(120) {
        pace.refill(now);
        let most = pace.left();
        pace.take(most);
        sent += most;
    }
    // What the rate allows in ten seconds, and a quarter of a second saved up.
    assert_that!(sent, all!(ge(630), le(640 + 16)));
}

#[test]
fn a_pause_saves_up_no_more_than_a_short_burst() {
    let mut pace = Pace::new(64.0, 0);
    pace.refill(3_600_000);
    assert_that!(pace.left(), eq(16));
}

#[test]
fn a_slow_platform_still_gets_one_order_now_and_then() {
    let mut pace = Pace::new(0.5, 0);
    pace.refill(2_000);
    assert_that!(pace.left(), eq(1));
}
