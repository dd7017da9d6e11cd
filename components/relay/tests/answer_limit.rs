//! Limits on the wait for a peer's answers.

use std::time::Duration;

use googletest::prelude::*;
use relay::AnswerLimit;

/// Shortest wait that the requests of these tests are given.
const USUAL: Duration = Duration::from_millis(300);

/// Requests until one is answered, by a peer that takes `time` for each answer.
fn requests_until_answered(limit: &mut AnswerLimit, time: Duration) -> usize {
    for n in 1..100 {
        let wait = limit.get().max(USUAL);
        if time <= wait {
            limit.answered(time);
            return n;
        }
        limit.unanswered(wait);
    }
    panic!("no answer in time: {limit:?}");
}

#[gtest]
fn however_long_answers_take_one_is_waited_for_in_the_end() {
    for seconds in [0, 1, 10, 600, 86_400] {
        let mut limit = AnswerLimit::default();
        expect_that!(requests_until_answered(&mut limit, Duration::from_secs(seconds)), le(20));
    }
}

#[gtest]
fn while_answers_take_equally_long_all_are_waited_for() {
    let mut limit = AnswerLimit::default();
    let time = Duration::from_millis(900);
    requests_until_answered(&mut limit, time);
    for _ in 0..50 {
        expect_that!(requests_until_answered(&mut limit, time), eq(1));
    }
}

#[gtest]
fn the_limit_falls_again_once_answers_are_quick() {
    let mut limit = AnswerLimit::default();
    requests_until_answered(&mut limit, Duration::from_secs(60));
    for _ in 0..20 {
        limit.answered(Duration::from_millis(1));
    }
    expect_that!(limit.get(), le(USUAL));
}

#[gtest]
fn requests_that_go_unanswered_side_by_side_count_once() {
    let mut limit = AnswerLimit::default();
    for _ in 0..8 {
        limit.unanswered(USUAL);
    }
    expect_that!(limit.get(), eq(2 * USUAL));
}
