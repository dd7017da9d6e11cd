//! How long to wait for the answers of a peer.
//!
//! A limit that is shorter than the time of every answer would be as good as no connection at all: a host that gets
//! little processor time, or is far away, answers each request too late. So the limit follows the peer. It doubles
//! with each request that goes unanswered, until an answer comes in time, and is at least twice the time of the last
//! answers.

use std::time::Duration;

/// Limit on the wait for answers of one peer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AnswerLimit(Duration);

impl AnswerLimit {
    /// The limit; zero for a peer that answers at once.
    #[must_use]
    pub const fn get(self) -> Duration {
        self.0
    }

    /// An answer came after this time.
    pub fn answered(&mut self, elapsed: Duration) {
        self.0 = (self.0 / 2).max(elapsed.saturating_mul(2));
    }

    /// No answer came within this time.
    pub fn unanswered(&mut self, waited: Duration) {
        self.0 = self.0.max(waited.saturating_mul(2));
    }
}
