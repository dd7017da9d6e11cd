//! Ranges of all numbers in the settings.

use crate::{Fault, Settings};

/// Range of one field.
#[derive(Debug)]
pub struct Range {
    /// Field path.
    pub field: &'static str,
    /// Least accepted.
    pub low: u64,
    /// Most accepted.
    pub high: u64,
    /// Unit.
    pub unit: &'static str,
    read: fn(&Settings) -> u64,
}

impl Range {
    pub(crate) fn check(&self, settings: &Settings) -> Option<Fault> {
        let value = (self.read)(settings);
        let (field, low, high, unit) = (self.field, self.low, self.high, self.unit);
        (value < low || value > high).then_some(Fault::Range { field, value, low, high, unit })
    }
}

/// All ranges.
pub const RANGES: &[Range] = &[
    Range { field: "timing.beat_ms", low: 20, high: 2000, unit: "ms", read: |s| s.timing.beat_ms },
    Range { field: "timing.fresh_ms", low: 100, high: 4000, unit: "ms", read: |s| s.timing.fresh_ms },
    Range { field: "timing.dead_ms", low: 500, high: 120_000, unit: "ms", read: |s| s.timing.dead_ms },
    Range { field: "timing.poll_ms", low: 10, high: 2000, unit: "ms", read: |s| s.timing.poll_ms },
    Range { field: "timing.list_ms", low: 50, high: 60_000, unit: "ms", read: |s| s.timing.list_ms },
    Range { field: "timing.call_ms", low: 50, high: 10_000, unit: "ms", read: |s| s.timing.call_ms },
    Range { field: "timing.probe_ms", low: 50, high: 10_000, unit: "ms", read: |s| s.timing.probe_ms },
    Range {
        field: "timing.deadline_ms",
        low: 100,
        high: 600_000,
        unit: "ms",
        read: |s| s.timing.deadline_ms,
    },
    Range { field: "timing.drain_ms", low: 100, high: 600_000, unit: "ms", read: |s| s.timing.drain_ms },
    Range { field: "timing.append_ms", low: 10, high: 1000, unit: "ms", read: |s| s.timing.append_ms },
    Range {
        field: "limits.body_bytes",
        low: 1,
        high: 8_388_608,
        unit: "bytes",
        read: |s| s.limits.body_bytes as u64,
    },
    Range {
        field: "limits.queue_length",
        low: 1,
        high: 65_536,
        unit: "requests",
        read: |s| s.limits.queue_length as u64,
    },
    Range { field: "limits.queue_ms", low: 10, high: 600_000, unit: "ms", read: |s| s.limits.queue_ms },
    Range {
        field: "limits.claims",
        low: 1000,
        high: 2_000_000,
        unit: "claims",
        read: |s| s.limits.claims as u64,
    },
    Range {
        field: "limits.events",
        low: 16,
        high: 1_000_000,
        unit: "events",
        read: |s| s.limits.events as u64,
    },
    Range {
        field: "limits.retry_percent",
        low: 0,
        high: 100,
        unit: "percent",
        read: |s| u64::from(s.limits.retry_percent),
    },
    Range { field: "limits.tries", low: 1, high: 10, unit: "tries", read: |s| u64::from(s.limits.tries) },
    Range {
        field: "limits.checkpoint_entries",
        low: 10,
        high: 1_000_000,
        unit: "entries",
        read: |s| s.limits.checkpoint_entries,
    },
];
