//! Options of the process, which operators set on its command line.

use std::time::Duration;

/// Longest half-life of past use: 30 days. Use that old says little about a team.
pub(crate) const MAX_USAGE_HALF_LIFE: Duration = Duration::from_secs(30 * 24 * 3_600);

/// Options of the process. By default there are no metrics and past use plays no part.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Options {
    metrics_port: Option<u16>,
    usage_half_life: Duration,
}

impl Options {
    /// Serves the metrics on a port of the host.
    #[must_use]
    pub fn with_metrics_port(mut self, port: Option<u16>) -> Options {
        self.metrics_port = port;
        self
    }

    /// Takes the past use of teams into account, which counts half after `half_life`. Zero leaves
    /// it out.
    ///
    /// # Errors
    ///
    /// Returns a message if the half-life is above 30 days.
    pub fn with_usage_half_life(mut self, half_life: Duration) -> Result<Options, String> {
        if half_life > MAX_USAGE_HALF_LIFE {
            return Err(format!("at most {} seconds", MAX_USAGE_HALF_LIFE.as_secs()));
        }
        self.usage_half_life = half_life;
        Ok(self)
    }

    pub(crate) fn metrics_port(&self) -> Option<u16> {
        self.metrics_port
    }

    /// Returns the half-life of past use in milliseconds, zero if it plays no part.
    pub(crate) fn usage_half_life_ms(&self) -> u64 {
        self.usage_half_life.as_millis() as u64
    }
}
