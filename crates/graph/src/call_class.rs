//! Duration classes of calls to the advice service.
//!
//! The service handles one call at a time from each host, so that a short call behind a long
//! one would wait for all of it. The classes keep them apart.

/// Longest duration of a short call, in milliseconds.
const SHORT_MS: f64 = 40.0;

/// Shortest duration of a long call, in milliseconds.
const LONG_MS: f64 = 250.0;

/// Class of a call to the advice service by its expected duration. Each class has its
/// own concurrency limit, so that short calls do not queue behind long ones.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum CallClass {
    /// At most 40 ms.
    Short,
    /// Above 40 ms and below 250 ms.
    Middle,
    /// 250 ms or more.
    Long,
}

impl CallClass {
    /// All classes, shortest first.
    pub const ALL: [CallClass; CallClass::COUNT] =
        [CallClass::Short, CallClass::Middle, CallClass::Long];

    /// Number of classes.
    pub const COUNT: usize = 3;

    /// Returns the name of the class in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            CallClass::Short => "short",
            CallClass::Middle => "middle",
            CallClass::Long => "long",
        }
    }

    /// Returns the class of a call with an expected duration, in milliseconds.
    pub fn of(cost_ms: f64) -> CallClass {
        if cost_ms <= SHORT_MS {
            CallClass::Short
        } else if cost_ms < LONG_MS {
            CallClass::Middle
        } else {
            CallClass::Long
        }
    }
}
