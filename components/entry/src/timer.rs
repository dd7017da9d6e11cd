//! Periodic timer for the background tasks.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Longest sleep between two checks, so that new subscribers are served in time.
const MAX_SLEEP: Duration = Duration::from_millis(50);

/// Wakes each subscriber periodically.
#[derive(Debug, Default)]
pub struct Timer {
    subscribers: Mutex<Vec<Subscriber>>,
}

#[derive(Debug)]
struct Subscriber {
    period: Duration,
    next_tick: Instant,
    wake: Arc<Notify>,
}

/// Subscription to a timer.
#[derive(Debug)]
pub struct Ticks {
    wake: Arc<Notify>,
}

impl Timer {
    /// Subscribes with a period.
    pub fn every(&self, period: Duration) -> Ticks {
        let wake = Arc::new(Notify::new());
        let next_tick = Instant::now() + period;
        self.subscribers.lock().push(Subscriber { period, next_tick, wake: Arc::clone(&wake) });
        Ticks { wake }
    }

    /// Wakes the subscribers until the future is dropped.
    pub async fn run(&self) {
        loop {
            let sleep = self.notify_due(Instant::now());
            tokio::time::sleep(sleep).await;
        }
    }

    /// Notifies the subscribers whose tick is due; returns the time to sleep until the next check.
    fn notify_due(&self, now: Instant) -> Duration {
        let mut sleep = MAX_SLEEP;
        for subscriber in self.subscribers.lock().iter_mut() {
            if subscriber.next_tick <= now {
                subscriber.wake.notify_one();
                subscriber.next_tick = now + subscriber.period;
            }
            sleep = sleep.min(subscriber.next_tick - now);
        }
        sleep
    }
}

impl Ticks {
    /// Waits for the next tick; missed ticks are merged into one.
    pub async fn tick(&self) {
        self.wake.notified().await;
    }

    /// Wakes the subscriber ahead of time.
    pub fn wake_now(&self) {
        self.wake.notify_one();
    }
}
