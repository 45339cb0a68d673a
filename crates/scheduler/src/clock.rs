use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The monotonic clock of the process, as the decision core counts it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    started_at: Instant,
}

/// Reading of the clock at start. Not zero, which the core uses for "never".
const START_READING: Duration = Duration::from_secs(1);

impl Clock {
    pub(crate) fn start() -> Clock {
        Clock { started_at: Instant::now() }
    }

    pub(crate) fn now(&self) -> Duration {
        START_READING + self.started_at.elapsed()
    }
}

/// Returns the time of the host, in milliseconds since 1970.
pub(crate) fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
