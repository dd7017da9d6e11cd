//! Take-over of a partition from earlier owners.

use std::time::Duration;

use crate::platform::{AppendReply, KeyedRecords, Store};
use crate::repeat;

/// Pause before a call to the store is retried.
pub const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Fences earlier owners and reads the newest records of a partition. Retries until both succeed; returns
/// `None` if a newer owner has fenced the epoch or `is_assigned` is false.
pub async fn take_over(
    store: &dyn Store,
    partition: u32,
    epoch: u64,
    is_assigned: impl Fn() -> bool + Send,
) -> Option<KeyedRecords> {
    loop {
        if !is_assigned() {
            return None;
        }
        match repeat::append(store, partition, epoch, 0, &[]).await {
            Ok(AppendReply::Stored | AppendReply::WrongSequence(_)) => break,
            Ok(AppendReply::Fenced) => return None,
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
