//! The clocks of this machine.

use nix::time::{ClockId, clock_gettime};

pub use edge::wall_ms;

/// Milliseconds on a monotonic clock that also advances while the machine is suspended.
#[must_use]
pub fn monotonic_ms() -> u64 {
    clock_gettime(ClockId::CLOCK_BOOTTIME).map_or(0, |t| {
        let millis = t.tv_sec() * 1_000 + t.tv_nsec() / 1_000_000;
        u64::try_from(millis).unwrap_or(0)
    })
}
