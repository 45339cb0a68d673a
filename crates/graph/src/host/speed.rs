//! How fast a host works, learned from the tasks of a step that ran on several hosts.
//!
//! Declared durations are off by half and more, but the tasks of one step are alike. So a
//! host is compared with the others that ran the same step.

/// Weight of the newest comparison in the moving average.
const SMOOTHING: f64 = 0.1;

/// Comparisons before which a host counts as ordinary, because tasks of a step differ too.
const MIN_COMPARISONS: u32 = 4;

/// Speed, as a multiple of that of other hosts, below which a host counts as slow. Sound hosts
/// of one site differ by less; most tasks with an objective miss it on a slower one.
const SLOW: f64 = 0.5;

/// Moving average of a host's speed, as a multiple of that of other hosts.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Speed {
    average: f64,
    comparisons: u32,
}

impl Default for Speed {
    fn default() -> Speed {
        Speed { average: 1.0, comparisons: 0 }
    }
}

impl Speed {
    /// Counts a task that took `took_ms`, where those of its step took `mean_ms` on average.
    pub fn compare(&mut self, took_ms: f64, mean_ms: f64) {
        self.comparisons += 1;
        // The first few comparisons weigh as much as each other.
        let weight = SMOOTHING.max(1.0 / f64::from(self.comparisons));
        self.average += weight * (mean_ms / took_ms.max(1.0) - self.average);
    }

    /// Returns whether the host takes far longer than others for the same work.
    pub fn is_slow(&self) -> bool {
        self.comparisons >= MIN_COMPARISONS && self.average < SLOW
    }
}
