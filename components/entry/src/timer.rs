//! Timer service that parts subscribe to.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio::time::Instant;

const LONGEST_SLEEP: Duration = Duration::from_millis(50);

/// Wakes its subscribers at their periods.
#[derive(Debug, Default)]
pub struct Timer {
    entries: Mutex<Vec<Entry>>,
}

#[derive(Debug)]
struct Entry {
    period: Duration,
    next: Instant,
    wake: Arc<Notify>,
}

/// One part's subscription.
#[derive(Debug)]
pub struct Ticks {
    wake: Arc<Notify>,
}

impl Timer {
    /// Subscribes to a period.
    pub fn every(&self, period: Duration) -> Ticks {
        let wake = Arc::new(Notify::new());
        let next = Instant::now() + period;
        self.entries.lock().push(Entry { period, next, wake: Arc::clone(&wake) });
        Ticks { wake }
    }

    /// Wakes subscribers until the task is dropped.
    pub async fn run(&self) {
        loop {
            let sleep = self.wake_due(Instant::now());
            tokio::time::sleep(sleep).await;
        }
    }

    fn wake_due(&self, now: Instant) -> Duration {
        let mut sleep = LONGEST_SLEEP;
        for entry in self.entries.lock().iter_mut() {
            if entry.next <= now {
                entry.wake.notify_one();
                entry.next = now + entry.period;
            }
            sleep = sleep.min(entry.next - now);
        }
        sleep
    }
}

impl Ticks {
    /// Waits for the next tick; ticks missed meanwhile count as one.
    pub async fn tick(&self) {
        self.wake.notified().await;
    }

    /// Wakes the subscriber ahead of time.
    pub fn kick(&self) {
        self.wake.notify_one();
    }
}
