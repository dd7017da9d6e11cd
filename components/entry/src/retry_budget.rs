//! Retry budget: limits retries to a fraction of the traffic, so that failures do not cause a retry storm.

use parking_lot::Mutex;

const MAX_HUNDREDTHS: u32 = 10_000;

/// Balance of retries that past requests have earned, in hundredths of a retry.
#[derive(Debug)]
pub struct RetryBudget {
    hundredths: Mutex<u32>,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { hundredths: Mutex::new(MAX_HUNDREDTHS / 10) }
    }
}

impl RetryBudget {
    /// Adds the share of a retry that one request earns.
    pub fn deposit(&self, percent: u32) {
        let mut hundredths = self.hundredths.lock();
        *hundredths = (*hundredths + percent).min(MAX_HUNDREDTHS);
    }

    /// Withdraws one retry if the balance allows it.
    pub fn try_withdraw(&self) -> bool {
        let mut hundredths = self.hundredths.lock();
        let is_available = *hundredths >= 100;
        *hundredths -= if is_available { 100 } else { 0 };
        is_available
    }
}
