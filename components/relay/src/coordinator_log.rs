//! Records that the coordinator keeps in its partition for its successors.

use std::collections::{BTreeMap, BTreeSet};

use edge::{Fault, Verdict};
use shard::Record;

use crate::platform::{AppendReply, Store};
use crate::repeat;

/// Partition and epoch under which the coordinator's records are stored.
pub struct LogTarget<'a> {
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
    /// A record that may have been stored, because the reply to its append was lost.
    pub uncertain: Option<Record>,
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

    /// Appends a record and returns whether it is stored. An uncertain record is appended again first, under
    /// its own sequence number.
    pub async fn append(&mut self, target: &LogTarget<'_>, record: Record) -> bool {
        if let Some(uncertain) = self.uncertain.take()
            && !self.append_once(target, uncertain).await
        {
            return false;
        }
        self.append_once(target, record).await
    }

    async fn append_once(&mut self, target: &LogTarget<'_>, record: Record) -> bool {
        let records = [record];
        match repeat::append(target.store, target.partition, target.epoch, self.sequence + 1, &records).await
        {
            Ok(AppendReply::Stored) => {
                self.sequence += 1;
                return true;
            }
            Err(Fault { verdict: Verdict::MayHaveRun | Verdict::Ran, .. }) => {
                self.uncertain = records.into_iter().next();
            }
            answer => tracing::info!(?answer, "duty: record not stored"),
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
