//! Log reader: recovers the tables at startup, then tails the log and applies its entries.

use std::sync::Arc;
use std::time::{Duration, Instant};

use edge::LogPage;
use fold::{CheckpointAssembler, Entry};
use wire::RawEntry;

use crate::node::{Error, Node};

const PAGE_ENTRIES: usize = 500;

/// Result of applying one page of the log.
#[derive(Debug, PartialEq, Eq)]
enum PageResult {
    /// More entries follow.
    More,
    /// No more entries can be read now.
    Exhausted,
    /// The log no longer holds the next entry.
    Truncated,
}

/// Recovers the tables from the whole log, or from its first complete checkpoint and the entries after it.
///
/// Retries for as long as the log is unavailable.
pub async fn recover(node: &Node) {
    let mut assembler = CheckpointAssembler::default();
    let mut from = 0;
    loop {
        let requested_at = Instant::now();
        let page = match node.clients.log.read(from, PAGE_ENTRIES).await {
            Ok(page) => page,
            Err(fault) => {
                tracing::warn!("tail: cannot read the log for recovery, retrying: {fault}");
                tokio::time::sleep(Duration::from_millis(node.settings.timing.poll_ms)).await;
                continue;
            }
        };
        if page.horizon == 0 || node.state.lock().tables.next_offset >= page.horizon {
            if apply_page(node, requested_at, page) == PageResult::Exhausted {
                return;
            }
            from = node.state.lock().tables.next_offset;
        } else {
            match scan_for_checkpoint(node, &mut assembler, page) {
                Some(next) => from = next,
                None => tokio::time::sleep(Duration::from_millis(node.settings.timing.poll_ms)).await,
            }
        }
    }
}

/// Looks for a complete checkpoint in a page.
///
/// Returns the offset at which to continue reading, or `None` for an empty page.
fn scan_for_checkpoint(node: &Node, assembler: &mut CheckpointAssembler, page: LogPage) -> Option<u64> {
    let last = page.entries.last()?.offset;
    for raw in page.entries {
        let Ok(entry) = serde_json::from_str::<Entry>(&raw.data) else {
            continue;
        };
        for operation in &entry.operations {
            if let Some(tables) = assembler.add_part(entry.by, operation) {
                let next = tables.next_offset;
                node.state.lock().tables = tables;
                return Some(next);
            }
        }
    }
    Some(last + 1)
}

/// Tails the log until the node stops.
///
/// # Errors
/// [`Error::LogTruncated`] if the log has dropped entries that were not applied yet.
pub async fn run(node: Arc<Node>) -> Result<(), Error> {
    let ticks = node.timer.every(Duration::from_millis(node.settings.timing.poll_ms));
    loop {
        tokio::select! {
            () = ticks.tick() => {}
            () = node.tail_wake.notified() => {}
        }
        while read_page(&node).await? == PageResult::More {}
    }
}

async fn read_page(node: &Node) -> Result<PageResult, Error> {
    let requested_at = Instant::now();
    let from = node.state.lock().tables.next_offset;
    match node.clients.log.read(from, PAGE_ENTRIES).await {
        Ok(page) => match apply_page(node, requested_at, page) {
            PageResult::Truncated => Err(Error::LogTruncated),
            next => Ok(next),
        },
        Err(fault) => {
            tracing::debug!("tail: cannot read the log: {fault}");
            Ok(PageResult::Exhausted)
        }
    }
}

/// Applies a page; a page that reaches the tail confirms the state as of `requested_at`.
fn apply_page(node: &Node, requested_at: Instant, page: LogPage) -> PageResult {
    let mut state = node.state.lock();
    if page.horizon > state.tables.next_offset {
        return PageResult::Truncated;
    }
    for raw in page.entries {
        if raw.offset == state.tables.next_offset {
            state.apply(RawEntry { offset: raw.offset, data: raw.data });
        }
    }
    let at_tail = state.tables.next_offset >= page.tail;
    if at_tail {
        state.freshness.confirm_log(requested_at);
    }
    drop(state);
    node.entries_applied.notify_waiters();
    if at_tail { PageResult::Exhausted } else { PageResult::More }
}

/// Applies log entries fetched from a peer, which also works while the log is unavailable.
pub fn apply_from_peer(node: &Node, entries: Vec<RawEntry>) {
    let mut state = node.state.lock();
    for raw in entries {
        if raw.offset == state.tables.next_offset {
            state.apply(raw);
        }
    }
    drop(state);
    node.entries_applied.notify_waiters();
}
