//! Watch on the configuration in the store.
//!
//! The last known configuration stays in force while the store is unavailable.

use sycamore_core::store::{CONFIG, Versioned, decode_value};
use sycamore_platform::store::Store;
use sycamore_types::config::Document;
use tokio::time::Duration;

use crate::Rollout;

/// Pause after a watch that returned nothing, so that an unavailable store is not queried in a
/// busy loop.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Adopts each new configuration from the store until the process ends.
pub async fn follow<S: Store>(store: S, rollout: Rollout) {
    let mut seen = 0;
    loop {
        match store.watch(CONFIG, seen).await {
            Some(value) => {
                seen = value.revision;
                rollout.record_confirmation();
                adopt(&rollout, &value);
            }
            None => tokio::time::sleep(RETRY_PAUSE).await,
        }
    }
}

/// Adopts a stored value. A value that can't be decoded leaves the configuration as it is.
fn adopt(rollout: &Rollout, value: &Versioned) {
    let document = decode_value(&value.value)
        .and_then(|(_, body)| serde_json::from_slice::<Document>(body).ok());
    if let Some(document) = document {
        rollout.adopt(value.revision, document);
    }
}
