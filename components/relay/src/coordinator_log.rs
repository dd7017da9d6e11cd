//! Records that the coordinator keeps in its partition for its successors.

use std::collections::{BTreeMap, BTreeSet};

use shard::Record;

use crate::node::Node;
use crate::partition::{self, Outcome};
use crate::platform::Store;
use crate::repeat::Pace;

/// Partition and epoch under which the coordinator's records are stored.
pub struct LogTarget<'a> {
    /// Daemon that is the coordinator.
    pub node: &'a Node,
    /// The platform's store.
    pub store: &'a dyn Store,
    /// The coordinator's partition.
    pub partition: u32,
    /// The coordinator's epoch.
    pub epoch: u64,
}

/// Writer of the coordinator's partition, and the machines with recent orders.
#[derive(Debug, Default)]
pub struct CoordinatorLog {
    /// Sequence number of the last stored record.
    pub sequence: u64,
    /// Another coordinator writes to the partition, or this one has given it up.
    pub lost: bool,
    /// Pace at which the store answers.
    pub pace: Pace,
    /// Wall-clock time of the last order for each machine; stored before the order is sent.
    pub orders: BTreeMap<String, u64>,
}

impl CoordinatorLog {
    /// Reads the orders from their stored form.
    pub fn parse_orders(&mut self, text: &str) {
        let row = |line: &str| {
            let (machine, at) = line.split_once(' ')?;
            Some((machine.to_owned(), at.parse().ok()?))
        };
        self.orders = text.lines().filter_map(row).collect();
    }

    /// Stored form of the orders: one line with machine and time for each.
    pub fn orders_text(&self) -> String {
        self.orders.iter().map(|(machine, at)| format!("{machine} {at}\n")).collect()
    }

    /// Appends a record and returns whether it is stored.
    pub async fn append(&mut self, target: &LogTarget<'_>, record: Record) -> bool {
        let owner = (target.partition, target.epoch);
        let is_owner = || target.node.holds_partition(target.partition, target.epoch);
        let sequence = self.sequence + 1;
        match partition::append(target.store, owner, sequence, &[record], &self.pace, is_owner).await {
            Outcome::Stored => {
                self.sequence += 1;
                return true;
            }
            Outcome::NotStored => tracing::info!("duty: record not stored"),
            Outcome::Lost => self.lost = true,
        }
        false
    }
}

/// Stored progress of a wave.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WaveProgress {
    /// Wall-clock time at which the wave was first seen; 0 if none is stored.
    pub started_at: u64,
    /// Machines whose maintenance has begun.
    pub started: BTreeSet<String>,
}

impl WaveProgress {
    /// Reads the progress from its stored form.
    pub fn parse(text: &str) -> Self {
        let mut words = text.split_whitespace();
        let started_at = words.next().and_then(|w| w.parse().ok()).unwrap_or(0);
        Self { started_at, started: words.map(str::to_owned).collect() }
    }

    /// Stored form: the start time and the names of the machines, separated by spaces.
    pub fn to_text(&self) -> String {
        let names = self.started.iter().map(String::as_str);
        std::iter::once(self.started_at.to_string().as_str()).chain(names).collect::<Vec<_>>().join(" ")
    }
}
