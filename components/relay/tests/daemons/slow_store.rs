//! Daemons whose store takes long for each append.

use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;

use crate::platform::Platform;
use crate::{
    CALL_TIMEOUT, Outcome, eventually, job, quotes_partition, start_fleet, submit_job, wait_for_completion,
};

/// Time for an append: sixty times the usual 4 ms.
const APPEND_TIME: Duration = Duration::from_millis(240);
/// Appends that a job may wait for before its first start: the one in flight and its own.
const MAX_APPENDS: u64 = 2;

/// Copies of appends that the test allows: the machine that runs it may once be late by as much as the store.
const MAX_COPIES: usize = 1;

/// Sequence numbers of the appends with records that the store has received for the test's shard.
fn received(platform: &Platform) -> Vec<u64> {
    let partition = partition();
    let state = platform.state.lock();
    state.received.iter().filter(|(p, _, n)| *p == partition && *n > 0).map(|(_, s, _)| *s).collect()
}

/// Sequence number of the append that the store would store next for the test's shard.
fn next_append(platform: &Platform) -> u64 {
    platform.state.lock().epochs[&partition()].1
}

fn partition() -> u32 {
    quotes_partition()
}

/// Guards against a job that waits for a further append between its acceptance and its first start.
#[tokio::test]
async fn with_a_slow_store_the_first_task_of_a_job_starts_after_at_most_two_appends() {
    let (platform, daemons) = start_fleet(1).await;
    submit_job(&daemons[0].node, 1).await;
    wait_for_completion(&daemons[0].node, 1).await;
    platform.state.lock().append_time = APPEND_TIME;
    // Its batch is in flight when the other one is submitted.
    let node = Arc::clone(&daemons[0].node);
    let first = tokio::spawn(async move { node.submit("", job(2), CALL_TIMEOUT).await });
    let before = received(&platform).last().copied().unwrap_or(0);
    eventually("an append is in flight", || async { received(&platform).last() > Some(&before) }).await;
    let in_flight = received(&platform).last().copied().unwrap_or(0);
    let outcome = daemons[0].node.submit("", job(3), CALL_TIMEOUT).await;
    assert_that!(outcome, eq(Outcome::Done));
    let starts = || platform.state.lock().starts.iter().filter(|(t, _)| t.starts_with(&name(3))).count();
    eventually("its first start", || async { starts() > 0 }).await;
    assert_that!(next_append(&platform) - in_flight, le(MAX_APPENDS));
    assert_that!(first.await, ok(eq(&Outcome::Done)));
    wait_for_completion(&daemons[0].node, 3).await;
}

/// Guards against copies of an append that a slow store handles one after another, before the next batch.
#[tokio::test]
async fn an_append_is_sent_once_while_the_store_answers_in_its_present_pace() {
    let (platform, daemons) = start_fleet(1).await;
    submit_job(&daemons[0].node, 1).await;
    wait_for_completion(&daemons[0].node, 1).await;
    platform.state.lock().append_time = APPEND_TIME;
    submit_job(&daemons[0].node, 2).await;
    wait_for_completion(&daemons[0].node, 2).await;
    let known = received(&platform).len();
    let begin = tokio::time::Instant::now();
    for n in 3..8 {
        submit_job(&daemons[0].node, n).await;
        wait_for_completion(&daemons[0].node, n).await;
    }
    let appends = received(&platform).split_off(known);
    println!("{} appends in {:?}: {appends:?}", appends.len(), begin.elapsed());
    let mut once = appends.clone();
    once.dedup();
    assert_that!(appends.len() - once.len(), le(MAX_COPIES));
}

/// Guards against a pace that stays slow, so that a lost answer holds up jobs after the store has recovered.
#[tokio::test]
async fn a_lost_answer_is_made_up_for_soon_after_the_store_has_recovered() {
    let (platform, daemons) = start_fleet(1).await;
    platform.state.lock().append_time = APPEND_TIME;
    submit_job(&daemons[0].node, 1).await;
    wait_for_completion(&daemons[0].node, 1).await;
    platform.state.lock().append_time = Duration::ZERO;
    submit_job(&daemons[0].node, 2).await;
    wait_for_completion(&daemons[0].node, 2).await;
    platform.state.lock().lost_answers = 1;
    let begin = tokio::time::Instant::now();
    submit_job(&daemons[0].node, 3).await;
    // Twice the slow time is what a pace that stayed slow would wait for.
    assert_that!(begin.elapsed(), lt(2 * APPEND_TIME));
    assert_that!(platform.state.lock().lost_answers, eq(0));
}

fn name(n: usize) -> String {
    format!("{n:016x}")
}
