use sycamore_core::store::{CONFIG, Versioned, decode_value};
use sycamore_platform::store::Store;
use sycamore_types::config::Document;
use tokio::time::Duration;

use crate::Rollout;

/// Pause after a watch that brought nothing at once, so that a store that is
/// down is not asked without end.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Follows the configuration in the store until the process ends.
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

fn adopt(rollout: &Rollout, value: &Versioned) {
    let document = decode_value(&value.value)
        .and_then(|(_, body)| serde_json::from_slice::<Document>(body).ok());
    if let Some(document) = document {
        rollout.adopt(value.revision, document);
    }
}
