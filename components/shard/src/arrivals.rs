//! Forecast of the work that callers will submit to a service.
//!
//! Answers a load whose queues take turns: a queue's rate rises within seconds to several times its mean, and a
//! machine that is ordered now helps only after its move. Waiting tasks show a shortage too late, when the
//! pool's free capacity is used up. The forecast is the rate of arriving work, extended by its growth over the
//! time that a move takes. The growth counts only as far as it exceeds the scatter of random arrivals, so that
//! a queue with few jobs does not order machines for each of them.

use std::collections::VecDeque;

use crate::Ms;
use crate::millis::to_float;

/// Length of the two spans whose rates are compared.
const SPAN_MS: Ms = 600;
/// Most that growth can raise the current rate, so that a sudden step is not extended without limit.
const MAX_GROWTH: f64 = 1.4;

/// One arrival: its time, its work in thousandths of a core times milliseconds, and its priority.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    at: Ms,
    work: f64,
    priority: u32,
}

/// Recent arrivals at a service.
#[derive(Clone, Debug, Default)]
pub(crate) struct Arrivals {
    recent: VecDeque<Arrival>,
}

impl Arrivals {
    /// Adds a job with its expected work.
    pub fn record(&mut self, at: Ms, work: f64, priority: u32) {
        self.forget(at);
        self.recent.push_back(Arrival { at, work, priority });
    }

    /// Highest priority, which is the lowest number, of the arrivals that the forecast is based on.
    pub fn highest_priority(&self, now: Ms) -> Option<u32> {
        let recent = self.recent.iter().filter(|a| a.at + 2 * SPAN_MS > now);
        recent.map(|a| a.priority).min()
    }

    fn forget(&mut self, now: Ms) {
        while self.recent.front().is_some_and(|a| a.at + 2 * SPAN_MS <= now) {
            self.recent.pop_front();
        }
    }

    /// Capacity in thousandths of a core that the work arriving `lead` from now will occupy.
    pub fn forecast(&self, now: Ms, lead: Ms) -> f64 {
        let (newer_work, newer) = self.total(now.saturating_sub(SPAN_MS), now);
        let (older_work, older) = self.total(now.saturating_sub(2 * SPAN_MS), now.saturating_sub(SPAN_MS));
        if newer + older == 0.0 {
            return 0.0;
        }
        let span = to_float(SPAN_MS);
        let mean_work = (newer_work + older_work) / (newer + older);
        let rate = newer_work / span;
        let growth = (newer - older - (newer + older).sqrt()).max(0.0) * mean_work / span;
        let grown = rate + growth * (to_float(lead) + span / 2.0) / span;
        let steady = (newer_work + older_work) / (2.0 * span);
        grown.min(rate * MAX_GROWTH).max(steady)
    }

    /// Work and number of arrivals after `from` and up to `to`.
    fn total(&self, from: Ms, to: Ms) -> (f64, f64) {
        let within = self.recent.iter().filter(|a| a.at > from && a.at <= to);
        within.fold((0.0, 0.0), |(work, count), a| (work + a.work, count + 1.0))
    }
}
