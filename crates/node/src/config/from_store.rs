//! Reads the configuration and the evacuated failure domains from the store and watches them for
//! changes.

use std::time::Instant;

use sycamore_platform::site::{Store, StoreError, key};

use super::Configs;
use crate::backoff::Backoff;
use crate::timing::{CONFIG_WATCH_WAIT, STORE_RETRY, STORE_RETRY_MAX, STORE_TIMEOUT};

/// Size of a watch's response that is received in any case, in bytes. 10 Mbit/s carry it in
/// half a second.
const MIN_WATCH_BYTES: u64 = 512 * 1024;

/// Largest growth from one version to the next that a watch receives.
const MAX_WATCH_GROWTH: f64 = 1.5;

/// Size of a value in the store's responses, which hold it in base64.
const BASE64_FACTOR: f64 = 4.0 / 3.0;

impl Configs {
    /// Reads and watches the configuration in the store until the process exits.
    pub async fn follow_store(self, store: Store) {
        let store = store.with_activity(self.store_activity.clone());
        let mut backoff = Backoff::new(STORE_RETRY, STORE_RETRY_MAX);
        loop {
            let mut started = Instant::now();
            let error = self.read_and_watch(&store, &mut backoff, &mut started).await;
            // Several versions came at once, of which a read receives only the newest.
            if matches!(error, StoreError::TooLarge(_)) {
                continue;
            }
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
        // Read first, since a configuration may take seconds over a slow link. What changes meanwhile
        // is in the first response of the watch, which begins at the revision of this reading.
        let evacuated = self.evacuations.read(store).await;
        let after = match store.get(key::CONFIG, STORE_TIMEOUT).await {
            Ok(Some(item)) => {
                self.record_store_reply();
                self.revisions.record(*started, item.as_of);
                self.record_transfer("store", *started, None);
                self.apply_if_newer(item.value, "store");
                // The store may have compacted its history past the key's last change.
                item.as_of.max(item.rev)
            }
            Ok(None) => return StoreError::Refused(404),
            Err(error) => return error,
        };
        let (prefix, mut after) = match evacuated {
            Ok(Some(revision)) => (key::OPERATOR_PREFIX, revision),
            Ok(None) => (key::CONFIG, after),
            Err(error) => return error,
        };
        loop {
            *started = Instant::now();
            let max_bytes = self.max_watch_bytes();
            match store.watch(prefix, after, CONFIG_WATCH_WAIT, max_bytes).await {
                Ok(watched) => {
                    self.record_store_reply();
                    self.revisions.record(*started, watched.as_of);
                    backoff.reset();
                    after = watched.as_of.max(after);
                    self.evacuations.apply_changes(&watched);
                    let malformed = watched.malformed.into_iter().next();
                    for change in watched.events {
                        if change.key == key::CONFIG && !change.removed {
                            self.record_transfer("store", *started, None);
                            self.apply_if_newer(change.value, "store");
                        }
                    }
                    // What has changed is unknown, so that all is read again.
                    if let Some(row) = malformed {
                        return StoreError::Unknown(format!("a change can't be read: {row:?}"));
                    }
                }
                Err(error) => return error,
            }
        }
    }

    /// Returns the size up to which a watch holds one new version, not several. A larger
    /// version is read like several ones, which costs a round trip.
    fn max_watch_bytes(&self) -> u64 {
        let current = self.current().map_or(0, |current| current.reply.len());
        MIN_WATCH_BYTES.max((MAX_WATCH_GROWTH * BASE64_FACTOR * current as f64) as u64)
    }
}
