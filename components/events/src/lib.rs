//! Time line of events over all entry hosts, in causal order.
//!
//! Each host stamps its events with a hybrid logical clock, which follows the wall clock but never runs
//! behind a stamp received from a peer. Merging the events of all hosts by stamp keeps every cause before its
//! effects. Each host keeps a bounded number of its newest events.

use std::collections::VecDeque;

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

const LOGICAL_BITS: u32 = 16;

/// Hybrid logical clock; stamps are milliseconds with a counter below.
#[derive(Debug, Default)]
pub struct Clock {
    last: Mutex<u64>,
}

impl Clock {
    /// Stamp for a local event or a message to send.
    pub fn tick(&self, wall_ms: u64) -> u64 {
        self.observe(0, wall_ms)
    }

    /// Stamp for a message received with a peer's stamp.
    pub fn observe(&self, stamp: u64, wall_ms: u64) -> u64 {
        let mut last = self.last.lock();
        *last = (*last + 1).max(stamp.saturating_add(1)).max(wall_ms << LOGICAL_BITS);
        *last
    }
}

/// Milliseconds since the Unix epoch of a stamp.
#[must_use]
pub const fn stamp_ms(stamp: u64) -> u64 {
    stamp >> LOGICAL_BITS
}

/// What an event is about; fields are empty where they do not apply.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Hybrid logical clock.
    pub stamp: u64,
    /// Entry host that saw it.
    pub host: String,
    /// Kind, as a short word.
    pub kind: String,
    /// Job or request id.
    #[serde(default)]
    pub job: String,
    /// Worker.
    #[serde(default)]
    pub worker: String,
    /// Team.
    #[serde(default)]
    pub team: String,
    /// Availability zone.
    #[serde(default)]
    pub zone: String,
    /// What happened, in words.
    #[serde(default)]
    pub note: String,
}

/// Bounded store of one host's events.
#[derive(Debug)]
pub struct Store {
    host: String,
    most: usize,
    clock: Clock,
    events: Mutex<VecDeque<Event>>,
}

impl Store {
    /// A store that keeps the newest `most` events.
    #[must_use]
    pub fn new(host: &str, most: usize) -> Self {
        Self { host: host.to_owned(), most, clock: Clock::default(), events: Mutex::default() }
    }

    /// The clock that stamps events and messages.
    #[must_use]
    pub const fn clock(&self) -> &Clock {
        &self.clock
    }

    /// Adds an event; its stamp and host are set here.
    pub fn add(&self, wall_ms: u64, event: Event) {
        let mut events = self.events.lock();
        let stamp = self.clock.tick(wall_ms);
        events.push_back(Event { stamp, host: self.host.clone(), ..event });
        if events.len() > self.most {
            events.pop_front();
        }
    }

    /// Events after a stamp, oldest first.
    #[must_use]
    pub fn since(&self, stamp: u64) -> Vec<Event> {
        self.events.lock().iter().filter(|e| e.stamp > stamp).cloned().collect()
    }
}

/// Which events to show; empty fields match all.
#[derive(Debug, Clone, Default)]
pub struct Filter {
    /// Job or request id.
    pub job: String,
    /// Worker or entry host.
    pub host: String,
    /// Team.
    pub team: String,
    /// Availability zone.
    pub zone: String,
}

impl Filter {
    /// True if an event is to be shown.
    #[must_use]
    pub fn matches(&self, event: &Event) -> bool {
        let same = |wanted: &str, found: &str| wanted.is_empty() || wanted == found;
        same(&self.job, &event.job)
            && (same(&self.host, &event.worker) || same(&self.host, &event.host))
            && same(&self.team, &event.team)
            && same(&self.zone, &event.zone)
    }
}

/// Merges the events of several hosts in causal order.
#[must_use]
pub fn merge(parts: Vec<Vec<Event>>) -> Vec<Event> {
    let mut all: Vec<Event> = parts.into_iter().flatten().collect();
    all.sort_by(|a, b| (a.stamp, &a.host).cmp(&(b.stamp, &b.host)));
    all
}
