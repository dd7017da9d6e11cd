//! Time line of the events of all entry hosts, in causal order.
//!
//! Each host stamps its events with a hybrid logical clock, which follows the wall clock but is never behind
//! a stamp received from a peer. Merging the events of all hosts by stamp therefore puts every cause before
//! its effects. Each host keeps a bounded number of its newest events.

use std::collections::VecDeque;

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

/// Low bits of a stamp that hold the logical counter.
const LOGICAL_BITS: u32 = 16;

/// Hybrid logical clock; a stamp is the wall time in milliseconds, followed by a logical counter.
#[derive(Debug, Default)]
pub struct Clock {
    last_stamp: Mutex<u64>,
}

impl Clock {
    /// Advances the clock for a local event or an outgoing message and returns the stamp.
    pub fn tick(&self, wall_ms: u64) -> u64 {
        self.observe(0, wall_ms)
    }

    /// Advances the clock past the stamp of a received message and returns the new stamp.
    pub fn observe(&self, stamp: u64, wall_ms: u64) -> u64 {
        let mut last = self.last_stamp.lock();
        *last = (*last + 1).max(stamp.saturating_add(1)).max(wall_ms << LOGICAL_BITS);
        *last
    }
}

/// Wall time of a stamp, in milliseconds since the Unix epoch.
#[must_use]
pub const fn stamp_ms(stamp: u64) -> u64 {
    stamp >> LOGICAL_BITS
}

/// An event; fields that do not apply are empty.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Stamp of the hybrid logical clock.
    pub stamp: u64,
    /// Entry host that recorded the event.
    pub host: String,
    /// Kind of the event, such as `join`.
    pub kind: String,
    /// Job or request id.
    #[serde(default)]
    pub job: String,
    /// Worker name.
    #[serde(default)]
    pub worker: String,
    /// Team name.
    #[serde(default)]
    pub team: String,
    /// Availability zone.
    #[serde(default)]
    pub zone: String,
    /// Description of the event.
    #[serde(default)]
    pub note: String,
}

/// Bounded store of one host's events.
#[derive(Debug)]
pub struct Store {
    host: String,
    capacity: usize,
    clock: Clock,
    events: Mutex<VecDeque<Event>>,
}

impl Store {
    /// A store that keeps the newest `capacity` events.
    #[must_use]
    pub fn new(host: &str, capacity: usize) -> Self {
        Self { host: host.to_owned(), capacity, clock: Clock::default(), events: Mutex::default() }
    }

    /// The clock that stamps events and messages.
    #[must_use]
    pub const fn clock(&self) -> &Clock {
        &self.clock
    }

    /// Adds an event; sets its stamp and host.
    pub fn add(&self, wall_ms: u64, event: Event) {
        let mut events = self.events.lock();
        let stamp = self.clock.tick(wall_ms);
        events.push_back(Event { stamp, host: self.host.clone(), ..event });
        if events.len() > self.capacity {
            events.pop_front();
        }
    }

    /// Events after a stamp, oldest first.
    #[must_use]
    pub fn since(&self, stamp: u64) -> Vec<Event> {
        self.events.lock().iter().filter(|e| e.stamp > stamp).cloned().collect()
    }
}

/// Filter of events; an empty field matches all.
#[derive(Debug, Clone, Default)]
pub struct Filter {
    /// Job or request id.
    pub job: String,
    /// Name of a worker or an entry host.
    pub host: String,
    /// Team name.
    pub team: String,
    /// Availability zone.
    pub zone: String,
}

impl Filter {
    /// True if all fields match the event.
    #[must_use]
    pub fn matches(&self, event: &Event) -> bool {
        let matches = |pattern: &str, value: &str| pattern.is_empty() || pattern == value;
        matches(&self.job, &event.job)
            && (matches(&self.host, &event.worker) || matches(&self.host, &event.host))
            && matches(&self.team, &event.team)
            && matches(&self.zone, &event.zone)
    }
}

/// Merges the events of several hosts in causal order.
#[must_use]
pub fn merge(events_by_host: Vec<Vec<Event>>) -> Vec<Event> {
    let mut events: Vec<Event> = events_by_host.into_iter().flatten().collect();
    events.sort_by(|a, b| (a.stamp, &a.host).cmp(&(b.stamp, &b.host)));
    events
}
