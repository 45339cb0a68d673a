//! When this process was last certainly the owner.
//!
//! Another process becomes the owner without the consent of this one, which may hear of it late or
//! never. Leases and starts therefore rest on the last time at which nobody can have replaced it. That
//! time is when the call was sent whose reply showed it; the reply may be under way for long.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crate::clock::Clock;

/// The last times at which this process was certainly the owner, as [`Clock::uptime_ms`].
#[derive(Debug)]
pub(crate) struct Confirmation {
    clock: Clock,
    /// By the store.
    store_ms: AtomicU64,
    /// By the store, or by all other processes while none of them reached it.
    any_ms: AtomicU64,
}

impl Confirmation {
    /// `at_ms` is [`Confirmation::begin`] of the call by which this process became the owner.
    pub fn new(clock: Clock, at_ms: u64) -> Confirmation {
        Confirmation { clock, store_ms: AtomicU64::new(at_ms), any_ms: AtomicU64::new(at_ms) }
    }

    /// Returns the time that a call which is sent now confirms.
    pub fn begin(&self) -> u64 {
        self.clock.uptime_ms()
    }

    /// Records that by the store this process was the owner at a time. An earlier time than the last
    /// one changes nothing.
    pub fn record(&self, at_ms: u64) {
        self.store_ms.fetch_max(at_ms, Ordering::Relaxed);
        self.any_ms.fetch_max(at_ms, Ordering::Relaxed);
    }

    /// Records that at a time no other process was the owner, by what all of them say. Returns `false`
    /// without any effect if the last confirmation is more than `lease_ms` older.
    ///
    /// Within that time, a successor that has ended since, and that nobody remembers, was still
    /// waiting for the leases of workers that it did not reach.
    pub fn extend(&self, at_ms: u64, lease_ms: u64) -> bool {
        let last_ms = self.any_ms.load(Ordering::Relaxed);
        let is_continuous = at_ms <= last_ms.saturating_add(lease_ms);
        if is_continuous {
            self.any_ms.fetch_max(at_ms, Ordering::Relaxed);
        }
        is_continuous
    }

    /// Returns the time since the last confirmation. It includes time for which the host was suspended.
    pub fn age(&self) -> Duration {
        self.since(&self.any_ms)
    }

    /// Returns the time since the last confirmation by the store.
    pub fn store_age(&self) -> Duration {
        self.since(&self.store_ms)
    }

    fn since(&self, at_ms: &AtomicU64) -> Duration {
        let at_ms = at_ms.load(Ordering::Relaxed);
        Duration::from_millis(self.clock.uptime_ms().saturating_sub(at_ms))
    }
}
