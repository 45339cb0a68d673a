//! Watches for changes of the configuration, the owners document and the host list, and passes
//! them to the decision core as events.
//!
//! The core gets the new configuration and host list, but reads the owners document itself.

use std::time::Duration;

use sycamore_core::Event;
use sycamore_core::store::OWNERS;
use sycamore_platform::hosts::HostList;
use sycamore_platform::store::Store;
use sycamore_rollout::Rollout;

use crate::control::ControlHandle;

/// Time between two reads of the host list.
const HOST_LIST_INTERVAL: Duration = Duration::from_secs(1);

/// Pause after a watch that returned no change, so that an unavailable store is not called in a
/// tight loop.
const WATCH_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Passes each configuration that comes into force to the core.
pub(crate) async fn forward_config(rollout: Rollout, control: ControlHandle) {
    let mut changes = rollout.subscribe();
    while changes.changed().await.is_ok() {
        let current = changes.borrow_and_update().clone();
        let document = Box::new((*current.document).clone());
        control.send_event(Event::Config { revision: current.revision, document });
    }
}

/// Notifies the core when the owners document in the store changes.
pub(crate) async fn forward_owner_changes<S: Store>(store: S, control: ControlHandle) {
    let mut seen = 0;
    loop {
        match store.watch(OWNERS, seen).await {
            Some(value) => {
                seen = value.revision;
                control.send_event(Event::OwnersChanged);
            }
            None => tokio::time::sleep(WATCH_RETRY_DELAY).await,
        }
    }
}

/// Reads the host list regularly and passes it to the core when it has changed.
pub(crate) async fn forward_hosts<L: HostList>(list: L, control: ControlHandle) {
    let mut last = Vec::new();
    loop {
        if let Some(listed) = list.read().await
            && listed != last
        {
            last = listed.clone();
            control.send_event(Event::Hosts(listed));
        }
        tokio::time::sleep(HOST_LIST_INTERVAL).await;
    }
}
