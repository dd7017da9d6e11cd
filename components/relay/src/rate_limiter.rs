//! A token bucket that keeps orders for machines within the rate that the platform accepts.

/// Seconds for which unused tokens accumulate.
const BURST_S: f64 = 0.25;

/// A token bucket; one token allows one order.
#[derive(Debug)]
pub struct RateLimiter {
    rate_per_s: f64,
    tokens: f64,
    refilled_at: u64,
}

impl RateLimiter {
    /// A full bucket for `rate_per_s` orders per second; `now` is a monotonic time in milliseconds.
    #[must_use]
    pub fn new(rate_per_s: f64, now: u64) -> Self {
        Self { rate_per_s, tokens: rate_per_s * BURST_S, refilled_at: now }
    }

    /// Adds the tokens of the time since the last refill.
    pub fn refill(&mut self, now: u64) {
        let elapsed = std::time::Duration::from_millis(now.saturating_sub(self.refilled_at)).as_secs_f64();
        self.tokens = (self.tokens + elapsed * self.rate_per_s).min((self.rate_per_s * BURST_S).max(1.0));
        self.refilled_at = now;
    }

    /// Number of orders that may be sent now.
    #[must_use]
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "between 0 and a burst")]
    pub fn available(&self) -> usize {
        self.tokens.max(0.0) as usize
    }

    /// Takes the tokens of `count` sent orders.
    pub fn take(&mut self, count: usize) {
        self.tokens -= f64::from(u32::try_from(count).unwrap_or(u32::MAX));
    }
}
