//! What this owner may order and conclude when it can't tell whether another process has replaced it.
//!
//! A successor may have become the owner at any time since the last confirmation of this one. It fences
//! the hosts that it reaches, and goes on renewing their leases. It takes the leases of the others for
//! expired [`Timing::lease_ms`](crate::Timing::lease_ms), with allowances, after it has become the owner.
//! So this owner
//!
//! - gives no host a lease that ends later than that time after the last confirmation,
//! - takes no lease for expired that ends after the last confirmation by the store. Other processes
//!   can't rule out a successor that has renewed it and has ended since.

use super::Engine;

impl Engine {
    /// Records when this process was last certainly the owner, and when the store last said so.
    pub(super) fn confirm_ownership(&mut self, at_ms: u64, by_store_ms: u64) {
        let could_start = self.may_start_tasks();
        self.confirmed_ms = Some(at_ms);
        self.store_confirmed_ms = by_store_ms;
        self.needs_dispatch |= self.may_start_tasks() && !could_start;
    }

    /// Returns the longest lease that may be granted now, in milliseconds. Zero if none may be.
    pub(super) fn max_lease_ms(&self) -> u64 {
        let Some(confirmed_ms) = self.confirmed_ms else { return 0 };
        (confirmed_ms + self.timing.lease_ms).saturating_sub(self.now.monotonic_ms)
    }

    /// Returns the time up to which leases that have ended count as expired, in milliseconds.
    pub(super) fn leases_expired_until_ms(&self) -> u64 {
        self.store_confirmed_ms.min(self.now.monotonic_ms)
    }

    /// Returns whether tasks may be started now. A start request grants a lease, too.
    pub(super) fn may_start_tasks(&self) -> bool {
        self.max_lease_ms() >= self.timing.start_ttl_ms.min(self.timing.lease_ms / 2)
    }

    /// Returns for how long a start request that is sent now is valid, in milliseconds.
    pub(super) fn start_ttl_ms(&self) -> u64 {
        self.timing.start_ttl_ms.min(self.max_lease_ms())
    }
}
