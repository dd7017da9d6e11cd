//! Take-over of a partition from earlier owners, and appends to it.
//!
//! An epoch belongs to one take-over of one process. The store answers an append whose epoch and sequence number it
//! has seen as it answered the first one, so two users of an epoch would take each other's answers for their own.
//! An epoch in which the store expects another sequence number is therefore given up, like one that is fenced.

use std::time::Duration;

use edge::Verdict;
use shard::Record;

use crate::platform::{AppendReply, KeyedRecords, Store};
use crate::repeat::{self, Pace};

/// Attempts of an append after which it is given up, if no attempt can have stored the records.
const APPEND_ATTEMPTS: u32 = 2;

/// Outcome of an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The records are stored.
    Stored,
    /// The records are certain not to be stored; their sequence number is free.
    NotStored,
    /// Another owner uses the partition, or this one has given it up.
    Lost,
}

/// Appends records, and retries until the outcome is certain or `is_owner` is false.
pub async fn append(
    store: &dyn Store,
    (partition, epoch): (u32, u64),
    sequence: u64,
    records: &[Record],
    pace: &Pace,
    is_owner: impl Fn() -> bool + Send,
) -> Outcome {
    let mut not_stored = true;
    let mut attempts = 0;
    loop {
        match repeat::append(store, partition, epoch, sequence, records, pace).await {
            Ok(AppendReply::Stored) => return Outcome::Stored,
            Ok(reply @ (AppendReply::Fenced | AppendReply::WrongSequence(_))) => {
                tracing::warn!(part = partition, epoch, sequence, ?reply, "partition: epoch given up");
                return Outcome::Lost;
            }
            Ok(AppendReply::Busy) => {}
            Err(fault) => not_stored &= fault.verdict == Verdict::NotRun,
        }
        attempts += 1;
        if not_stored && attempts >= APPEND_ATTEMPTS {
            return Outcome::NotStored;
        }
        tokio::time::sleep(RETRY_PAUSE).await;
        if !is_owner() {
            return Outcome::Lost;
        }
    }
}

/// Pause before a call to the store is retried.
pub const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Fences earlier owners and reads the newest records of a partition. Retries until both succeed; returns
/// `None` if a newer owner has fenced the epoch, if it has been used before, or if `is_assigned` is false.
pub async fn take_over(
    store: &dyn Store,
    partition: u32,
    epoch: u64,
    is_assigned: impl Fn() -> bool + Send,
) -> Option<KeyedRecords> {
    let pace = Pace::default();
    loop {
        if !is_assigned() {
            return None;
        }
        match repeat::append(store, partition, epoch, 0, &[], &pace).await {
            Ok(AppendReply::Stored) => break,
            Ok(reply @ (AppendReply::Fenced | AppendReply::WrongSequence(_))) => {
                tracing::warn!(part = partition, epoch, ?reply, "partition: cannot take over");
                return None;
            }
            Ok(AppendReply::Busy) | Err(_) => tokio::time::sleep(RETRY_PAUSE).await,
        }
    }
    loop {
        if !is_assigned() {
            return None;
        }
        match store.read_partition(partition).await {
            Ok(records) => return Some(records),
            Err(error) => {
                tracing::warn!(part = partition, %error, "partition: cannot load records");
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}
