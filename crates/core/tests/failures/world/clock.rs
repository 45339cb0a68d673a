use std::time::Duration;

/// A clock that runs a little too fast or too slow.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    /// Rate in thousandths; 1000 is exact.
    pub rate_per_mille: u32,
    /// Time at which the clock was started.
    pub started_at: Duration,
}

impl Clock {
    /// Returns what the clock shows.
    pub fn read(&self, real: Duration) -> Duration {
        (real - self.started_at) * self.rate_per_mille / 1000
    }
}
