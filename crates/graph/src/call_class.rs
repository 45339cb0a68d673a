/// Calls up to this length are short, in milliseconds.
const SHORT_MS: f64 = 40.0;

/// Calls from this length on are long, in milliseconds.
const LONG_MS: f64 = 250.0;

/// Length class of a call for advice. Short calls must not stand behind long ones.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum CallClass {
    /// Up to 40 ms.
    Short,
    /// Up to 250 ms.
    Middle,
    /// Longer.
    Long,
}

impl CallClass {
    /// All classes, the shortest first.
    pub const ALL: [CallClass; CallClass::COUNT] =
        [CallClass::Short, CallClass::Middle, CallClass::Long];

    /// Number of classes.
    pub const COUNT: usize = 3;

    /// Returns the class of a call of an expected length, in milliseconds.
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
