//! When this process was last certainly the owner.
//!
//! Another process becomes the owner without the consent of this one, which may hear of it late or
//! never. What is certain is only that nobody had replaced it when the store last said so.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crate::clock::Clock;

/// The last time at which this process was certainly the owner.
#[derive(Debug)]
pub(crate) struct Confirmation {
    clock: Clock,
    /// [`Clock::uptime_ms`] at that time.
    at_ms: AtomicU64,
}

impl Confirmation {
    /// `at_ms` is [`Clock::uptime_ms`] before the call that showed it was sent.
    pub fn new(clock: Clock, at_ms: u64) -> Confirmation {
        Confirmation { clock, at_ms: AtomicU64::new(at_ms) }
    }

    /// Returns the time to pass to [`Confirmation::record`] if a call that begins now confirms the
    /// ownership. The reply says nothing about the time at which it arrives.
    pub fn begin(&self) -> u64 {
        self.clock.uptime_ms()
    }

    /// Records that this process was the owner at a time. An earlier time than the last one changes
    /// nothing.
    pub fn record(&self, at_ms: u64) {
        self.at_ms.fetch_max(at_ms, Ordering::Relaxed);
    }

    /// Returns the time since this process was last certainly the owner. It includes time for which
    /// the host was suspended.
    pub fn age(&self) -> Duration {
        let at_ms = self.at_ms.load(Ordering::Relaxed);
        Duration::from_millis(self.clock.uptime_ms().saturating_sub(at_ms))
    }
}
