//! Times at which refused callers may return.
//!
//! Callers that are refused together must not return together. Each gets a slot, and the slots follow one another at
//! the rate at which room comes free for them. A job that returns in its slot is accepted and deferred last. The slots
//! are only in the owner's memory: after a change of owner a returning job is treated as a new one.

use std::collections::{BTreeSet, HashMap};

/// Part of a customer's room that its slots may fill; the rest serves new jobs.
const RETURN_SHARE: f64 = 0.5;
/// Shortest time until a return; `Retry-After` is in whole seconds.
const MIN_RETRY_MS: f64 = 1_000.0;
/// Longest time until a return. Later slots are not promised.
pub const MAX_RETRY_MS: f64 = 30_000.0;
/// Time that a slot is kept for its caller: `Retry-After` is rounded up by less than 1 s, and callers need a
/// second for a connection and retries.
const KEEP_MS: u64 = 2_000;
/// Time before its slot at which a caller is let in, for clocks that differ and timers that fire early.
const EARLY_MS: f64 = 50.0;
/// Most slots, of some 100 bytes each.
pub const MAX_SLOTS: usize = 10_000;

/// Slots of refused callers, by the ids of their jobs.
#[derive(Clone, Debug, Default)]
pub struct Returns {
    slots: HashMap<String, f64>,
    /// Slots in whole milliseconds and ids, in the order of the slots.
    order: BTreeSet<(u64, String)>,
    /// When room for the next slot is free, by customer.
    next: HashMap<String, f64>,
}

impl Returns {
    /// Milliseconds until the caller of a refused job with this work may return. `room` is the capacity that the
    /// customer has, so that its promised jobs take nothing of what others have.
    pub fn refuse(&mut self, now: f64, (customer, id): (&str, &str), work: f64, room: f64) -> f64 {
        self.forget(now);
        if let Some(slot) = self.slots.get(id) {
            return (slot - now).max(MIN_RETRY_MS);
        }
        let next = self.next.get(customer).copied().unwrap_or(0.0);
        let slot = next.max(now + MIN_RETRY_MS);
        if room <= 0.0 || slot > now + MAX_RETRY_MS || self.slots.len() >= MAX_SLOTS {
            return MAX_RETRY_MS;
        }
        self.next.insert(customer.to_owned(), slot + work / (room * RETURN_SHARE));
        self.slots.insert(id.to_owned(), slot);
        self.order.insert((whole(slot), id.to_owned()));
        slot - now
    }

    /// Whether the job returns in its slot, which ends with this.
    pub fn claim(&mut self, now: f64, id: &str) -> bool {
        self.forget(now);
        let Some(slot) = self.slots.get(id).copied().filter(|slot| now + EARLY_MS >= *slot) else {
            return false;
        };
        self.slots.remove(id);
        self.order.remove(&(whole(slot), id.to_owned()));
        true
    }

    /// Number of slots that are kept.
    #[must_use]
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Whether no slot is kept.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// Drops slots whose callers have not returned.
    fn forget(&mut self, now: f64) {
        while self.order.first().is_some_and(|(slot, _)| slot + KEEP_MS < whole(now)) {
            if let Some((_, id)) = self.order.pop_first() {
                self.slots.remove(&id);
            }
        }
        self.next.retain(|_, next| *next > now);
    }
}

#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "a time in milliseconds")]
const fn whole(ms: f64) -> u64 {
    ms as u64
}
