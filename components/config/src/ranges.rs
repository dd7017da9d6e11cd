//! Accepted ranges of all numbers in the settings.

use crate::{Settings, SettingsError};

/// Accepted range of one field.
#[derive(Debug)]
pub struct Range {
    /// Field path.
    pub field: &'static str,
    /// Smallest accepted value.
    pub min: u64,
    /// Largest accepted value.
    pub max: u64,
    /// Unit of the value.
    pub unit: &'static str,
    read: fn(&Settings) -> u64,
}

impl Range {
    pub(crate) fn check(&self, settings: &Settings) -> Option<SettingsError> {
        let value = (self.read)(settings);
        let (field, min, max, unit) = (self.field, self.min, self.max, self.unit);
        (value < min || value > max).then_some(SettingsError::OutOfRange { field, value, min, max, unit })
    }
}

/// Ranges of all numeric fields.
pub const RANGES: &[Range] = &[
    Range { field: "timing.beat_ms", min: 20, max: 2000, unit: "ms", read: |s| s.timing.beat_ms },
    Range { field: "timing.fresh_ms", min: 100, max: 4000, unit: "ms", read: |s| s.timing.fresh_ms },
    Range { field: "timing.dead_ms", min: 500, max: 120_000, unit: "ms", read: |s| s.timing.dead_ms },
    Range { field: "timing.poll_ms", min: 10, max: 2000, unit: "ms", read: |s| s.timing.poll_ms },
    Range { field: "timing.list_ms", min: 50, max: 60_000, unit: "ms", read: |s| s.timing.list_ms },
    Range { field: "timing.call_ms", min: 50, max: 10_000, unit: "ms", read: |s| s.timing.call_ms },
    Range { field: "timing.probe_ms", min: 50, max: 10_000, unit: "ms", read: |s| s.timing.probe_ms },
    Range { field: "timing.deadline_ms", min: 100, max: 600_000, unit: "ms", read: |s| s.timing.deadline_ms },
    Range { field: "timing.drain_ms", min: 100, max: 600_000, unit: "ms", read: |s| s.timing.drain_ms },
    Range { field: "timing.append_ms", min: 10, max: 1000, unit: "ms", read: |s| s.timing.append_ms },
    Range {
        field: "limits.body_bytes",
        min: 1,
        max: 8_388_608,
        unit: "bytes",
        read: |s| s.limits.body_bytes as u64,
    },
    Range {
        field: "limits.queue_length",
        min: 1,
        max: 65_536,
        unit: "requests",
        read: |s| s.limits.queue_length as u64,
    },
    Range { field: "limits.queue_ms", min: 10, max: 600_000, unit: "ms", read: |s| s.limits.queue_ms },
    Range {
        field: "limits.claims",
        min: 1000,
        max: 2_000_000,
        unit: "claims",
        read: |s| s.limits.claims as u64,
    },
    Range {
        field: "limits.events",
        min: 16,
        max: 1_000_000,
        unit: "events",
        read: |s| s.limits.events as u64,
    },
    Range {
        field: "limits.retry_percent",
        min: 0,
        max: 100,
        unit: "percent",
        read: |s| u64::from(s.limits.retry_percent),
    },
    Range { field: "limits.tries", min: 1, max: 10, unit: "tries", read: |s| u64::from(s.limits.tries) },
    Range {
        field: "limits.checkpoint_entries",
        min: 10,
        max: 1_000_000,
        unit: "entries",
        read: |s| s.limits.checkpoint_entries,
    },
];
