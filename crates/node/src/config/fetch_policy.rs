//! Decides when a process that lags behind fetches the configuration from a peer.
//!
//! The store sends each version to every process by itself. On a slow link a second copy takes
//! bandwidth from that one, and copies that are begun at each report of a peer let none arrive.
//! So there is one transfer at a time, and none while the store's copy is on its way.

use std::time::Instant;

use crate::timing::{CONFIG_FETCH_RETRY_DELAY, CONFIG_STORE_GRACE};

/// What this process knows of the store.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct StoreState {
    /// The store answered the last call.
    pub is_answering: bool,
    /// When data of the store last arrived.
    pub last_data: Option<Instant>,
}

/// State of the transfers from peers.
#[derive(Debug, Default)]
pub(super) struct FetchPolicy {
    is_fetching: bool,
    /// When a version that is not in force was first reported.
    behind_since: Option<Instant>,
    /// When the last transfer failed.
    failed_at: Option<Instant>,
}

impl FetchPolicy {
    /// Returns whether to begin a transfer, after a peer has reported its version. If so,
    /// [`FetchPolicy::on_ended`] must follow.
    pub fn begins(&mut self, now: Instant, is_behind: bool, store: StoreState) -> bool {
        if !is_behind {
            self.behind_since = None;
            return false;
        }
        let behind_since = *self.behind_since.get_or_insert(now);
        let waits_for_store = || {
            let last = store.last_data.map_or(behind_since, |at| at.max(behind_since));
            store.is_answering && now.saturating_duration_since(last) < CONFIG_STORE_GRACE
        };
        let has_just_failed = self
            .failed_at
            .is_some_and(|at| now.saturating_duration_since(at) < CONFIG_FETCH_RETRY_DELAY);
        if self.is_fetching || has_just_failed || waits_for_store() {
            return false;
        }
        self.is_fetching = true;
        true
    }

    /// Returns whether a transfer is in progress.
    pub fn is_fetching(&self) -> bool {
        self.is_fetching
    }

    /// Records the end of a transfer.
    pub fn on_ended(&mut self, now: Instant, is_received: bool) {
        self.is_fetching = false;
        self.failed_at = (!is_received).then_some(now);
    }
}
