//! Monotonic and wall clock time in milliseconds, as the engine takes it.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use nix::time::{ClockId, clock_gettime};
use sycamore_graph::Moment;

/// Time of the monotonic clock at the start of the process, in milliseconds, so that it can express
/// times before.
const START_MS: u64 = 3_600_000;

/// Reads the monotonic and the wall clock together.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    origin: Instant,
}

impl Clock {
    pub fn new() -> Clock {
        Clock { origin: Instant::now() }
    }

    /// Returns a time as [`Moment::monotonic_ms`], rounded down.
    pub fn monotonic_ms(&self, at: Instant) -> u64 {
        START_MS + millis(at.saturating_duration_since(self.origin))
    }

    /// Returns the time since the host booted, in milliseconds. Unlike [`Instant`] it includes the
    /// time for which the host was suspended.
    pub fn uptime_ms(&self) -> u64 {
        let uptime = clock_gettime(ClockId::CLOCK_BOOTTIME);
        millis(uptime.map_or_else(|_| self.origin.elapsed(), Duration::from))
    }

    pub fn now(&self) -> Moment {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
        Moment { monotonic_ms: START_MS + millis(self.origin.elapsed()), unix_ms: millis(unix) }
    }
}

/// Converts a duration to whole milliseconds.
pub(crate) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
