//! Test harness: real processes on loopback behind a fault-injecting proxy, and a checker.
//!
//! The checker's truth is what workers recorded. It compares that with what callers and operators were told.

pub mod caller;
pub mod check;
pub mod fleet;
pub mod process;
pub mod proxy;

use std::time::{Duration, Instant};

const EVENT_TIME: Duration = Duration::from_secs(60);
const EVENT_POLL: Duration = Duration::from_millis(20);

/// Waits until a condition holds.
///
/// # Panics
/// When it does not hold within a minute.
pub async fn until<F: Future<Output = bool>>(what: &str, mut holds: impl FnMut() -> F) {
    let end = Instant::now() + EVENT_TIME;
    while !holds().await {
        assert!(Instant::now() < end, "never saw: {what}");
        tokio::time::sleep(EVENT_POLL).await;
    }
}
