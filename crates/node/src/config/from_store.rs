//! Reads the configuration from the store and watches it for changes.

use std::time::Instant;

use sycamore_platform::site::{Store, StoreError, key};

use super::Configs;
use crate::backoff::Backoff;
use crate::timing::{CONFIG_WATCH_WAIT, STORE_RETRY, STORE_RETRY_MAX, STORE_TIMEOUT};

impl Configs {
    /// Reads and watches the configuration in the store until the process exits.
    pub async fn follow_store(self, store: Store) {
        let store = store.with_activity(self.store_activity.clone());
        let mut backoff = Backoff::new(STORE_RETRY, STORE_RETRY_MAX);
        loop {
            let mut started = Instant::now();
            let error = self.read_and_watch(&store, &mut backoff, &mut started).await;
            // The first configuration may not have been written yet.
            if error != StoreError::Refused(404) {
                self.record_transfer("store", started, Some(&error.to_string()));
            }
            self.record_store_failure();
            backoff.pause().await;
        }
    }

    /// Returns the error of the first call that fails, and in `started` when that call began.
    async fn read_and_watch(
        &self,
        store: &Store,
        backoff: &mut Backoff,
        started: &mut Instant,
    ) -> StoreError {
        let mut after = match store.get(key::CONFIG, STORE_TIMEOUT).await {
            Ok(Some(item)) => {
                self.record_store_reply();
                self.record_transfer("store", *started, None);
                self.apply_if_newer(item.value, "store");
                // The store may have compacted its history past the key's last change.
                item.as_of.max(item.rev)
            }
            Ok(None) => return StoreError::Refused(404),
            Err(error) => return error,
        };
        loop {
            *started = Instant::now();
            match store.watch(key::CONFIG, after, CONFIG_WATCH_WAIT).await {
                Ok(watched) => {
                    self.record_store_reply();
                    backoff.reset();
                    after = watched.as_of.max(after);
                    for change in watched.events {
                        if change.key == key::CONFIG && !change.removed {
                            self.record_transfer("store", *started, None);
                            self.apply_if_newer(change.value, "store");
                        }
                    }
                }
                Err(error) => return error,
            }
        }
    }
}
