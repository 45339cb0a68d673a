//! Monotonic clocks of processes, which drift from the virtual time.

use std::time::Duration;

/// A clock that may run slightly too fast or too slow.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    /// Rate in thousandths of the rate of the virtual time.
    pub rate_per_mille: u32,
    /// Virtual time at which the clock showed zero.
    pub started_at: Duration,
}

impl Clock {
    /// Returns the time on the clock at a virtual time.
    pub fn read(&self, virtual_time: Duration) -> Duration {
        (virtual_time - self.started_at) * self.rate_per_mille / 1000
    }
}
