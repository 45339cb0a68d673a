//! Reads what changes outside: configuration, owners and the host list.

use std::time::Duration;

use sycamore_core::Event;
use sycamore_core::store::OWNERS;
use sycamore_platform::hosts::List;
use sycamore_platform::store::Store;
use sycamore_rollout::Rollout;

use crate::control::ControlHandle;

/// Time between two reads of the host list.
const HOST_LIST_INTERVAL: Duration = Duration::from_secs(1);

/// Pause after a watch that brought nothing, so that a store that is down is
/// not asked without end.
const WATCH_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Gives the core each configuration that comes into force.
pub(crate) async fn forward_config(rollout: Rollout, control: ControlHandle) {
    let mut changes = rollout.subscribe();
    while changes.changed().await.is_ok() {
        let current = changes.borrow_and_update().clone();
        let document = Box::new((*current.document).clone());
        control.send_event(Event::Config { revision: current.revision, document });
    }
}

/// Tells the core when the owners' document changes.
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

/// Reads the host list again and again.
pub(crate) async fn forward_hosts<L: List>(list: L, control: ControlHandle) {
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
