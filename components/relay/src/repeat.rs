//! Calls to the store that are sent again while their answer is late.
//!
//! Answers a store that loses answers: a shard has one batch on its way at a time and a member joins anew after
//! each answer, so a lost answer would hold up all jobs of a shard, or end a membership, before the call times
//! out. Only calls that change nothing when they are repeated are made this way: an append names its epoch and
//! sequence number, and the store answers a repeated one as it answered the first.

use std::time::Duration;

use edge::{Call, Fault, Verdict};
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use shard::Record;

use crate::platform::{AppendReply, Assignment, Store};
use crate::standby::Role;

/// Time without an answer after which a call is sent again; forty times the usual time of an answer.
const REPEAT_AFTER: Duration = Duration::from_millis(150);
/// Most calls on their way at a time.
const MAX_CALLS: usize = 4;

/// Appends records.
///
/// # Errors
/// [`Fault`] with `NotRun` only if no call can have stored the records.
pub async fn append(
    store: &dyn Store,
    partition: u32,
    epoch: u64,
    sequence: u64,
    records: &[Record],
) -> Result<AppendReply, Fault> {
    let certain = |answer: &AppendReply| *answer != AppendReply::Busy;
    first_certain(|| store.append(partition, epoch, sequence, records), certain).await
}

/// Joins the group, or renews the membership.
///
/// # Errors
/// [`Fault`] of a call if none is answered.
pub async fn join(store: &dyn Store, member: &str, generation: u64, role: Role) -> Result<Assignment, Fault> {
    first_certain(|| store.join(member, generation, role), |_| true).await
}

/// Makes a call, again each time that no answer has come for a while, and returns the first certain answer.
async fn first_certain<'a, T>(
    call: impl Fn() -> Call<'a, T>,
    is_certain: impl Fn(&T) -> bool,
) -> Result<T, Fault> {
    let mut calls = FuturesUnordered::from_iter([call()]);
    let mut sent = 1;
    let mut uncertain: Option<Result<T, Fault>> = None;
    loop {
        let answer = if sent < MAX_CALLS && uncertain.is_none() {
            match tokio::time::timeout(REPEAT_AFTER, calls.next()).await {
                Ok(answer) => answer,
                Err(_) => {
                    calls.push(call());
                    sent += 1;
                    continue;
                }
            }
        } else {
            calls.next().await
        };
        match (answer, uncertain.take()) {
            (Some(Ok(answer)), _) if is_certain(&answer) => return Ok(answer),
            (Some(answer), earlier) => uncertain = Some(less_certain(answer, earlier)),
            (None, Some(answer)) => return answer,
            (None, None) => return Err(Fault::not_run("no call was made")),
        }
    }
}

/// Of two answers the one that leaves more open: a call that may have run goes before one that has not.
fn less_certain<T>(answer: Result<T, Fault>, earlier: Option<Result<T, Fault>>) -> Result<T, Fault> {
    match earlier {
        Some(Err(fault)) if fault.verdict != Verdict::NotRun => Err(fault),
        _ => answer,
    }
}
