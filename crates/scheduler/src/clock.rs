//! The clocks of the process.
//!
//! Deadlines are measured on the monotonic clock, since the wall clock of a host can jump. The
//! wall clock only dates decision records.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The monotonic clock on which all times of the decision core are based.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    started_at: Instant,
}

/// Reading of the clock at the start of the process. Not zero, since the core uses zero for
/// "never".
const START_READING: Duration = Duration::from_secs(1);

impl Clock {
    pub(crate) fn start() -> Clock {
        Clock { started_at: Instant::now() }
    }

    /// Returns the time since the start of the process, plus [`START_READING`].
    pub(crate) fn now(&self) -> Duration {
        START_READING + self.started_at.elapsed()
    }
}

/// Returns the wall-clock time of the host in milliseconds since the Unix epoch.
pub(crate) fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
