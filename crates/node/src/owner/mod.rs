//! What the owner does: the control thread with the engine, the log, the workers.

mod advice;
mod control;
mod execute;
mod handle;
#[cfg(debug_assertions)]
mod injected_bug;
mod journal;
mod listing;
mod page;
mod records;
mod recover;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use sycamore_graph::catalog::Catalog;
use sycamore_graph::{Engine, Event, Timing};
use sycamore_platform::site::StoreError;
use tokio::sync::mpsc;

pub(crate) use handle::Handle;

use crate::node::Node;
use crate::ownership::{CurrentOwner, OwnerRecord};
use crate::timing::{STORE_RETRY, STORE_TIMEOUT};

/// Time for which a closed job stays known beyond the platform's bound, in milliseconds:
/// clocks of hosts differ, and so does the moment from which callers count.
const STATUS_MARGIN_MS: u64 = 30_000;

/// What the parts of an owner share.
#[derive(Debug, Default)]
pub(crate) struct Shared {
    /// The log has not been written for a while though records wait.
    pub is_store_unavailable: AtomicBool,
}

/// Why an owner ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum EndReason {
    /// Another process has won a higher epoch.
    Deposed,
    /// This process is stopping.
    Stopping,
}

/// Owns the workers from the moment the claim is won until it is lost.
pub(crate) async fn run(node: &Arc<Node>, claim: OwnerRecord, rev: u64) {
    node.ownership.set_current(CurrentOwner::Recovering { epoch: claim.epoch });
    let (recovered, pages) = loop {
        match recover::read_log(&node.store).await {
            Ok(found) => break found,
            Err(error) => log::warn!(target: "store", error:%; "log read failed; retrying"),
        }
        tokio::time::sleep(STORE_RETRY).await;
        // The claim may be lost meanwhile; a reader would not notice by itself.
        if !matches!(OwnerRecord::read(&node.store).await, Ok((_, now)) if now == rev)
            || node.is_stopping()
        {
            node.ownership.set_current(CurrentOwner::Unknown);
            return;
        }
    };
    if node.is_stopping() {
        node.ownership.set_current(CurrentOwner::Unknown);
        resign(node, claim, rev).await;
        return;
    }
    // The store has just answered; only the watch of the configuration may be behind.
    node.configs.record_store_reply();
    let catalog = initial_catalog(node).await;
    log::info!(
        target: "lead", epoch = claim.epoch, pages = pages.len(), jobs = recovered.job_count(),
        config = catalog.version; "owning"
    );
    let timing = Timing {
        lease_ms: node.settings.lease_ms,
        status_retention_ms: node.settings.status_ms + STATUS_MARGIN_MS,
        ..Timing::default()
    };
    let engine = Engine::new(node.clock.now(), timing, catalog, recovered);
    let (actions, received) = mpsc::unbounded_channel();
    let shared = Arc::new(Shared::default());
    let control = match control::spawn(engine, node.clock, actions) {
        Ok(control) => control,
        Err(error) => {
            log::error!("control thread failed to start: {error}");
            return;
        }
    };
    let handle = Handle::new(claim.epoch, control, shared.clone());
    node.ownership.set_current(CurrentOwner::Local(handle.clone()));
    let journal = journal::Journal::new(node, handle.clone(), shared, rev, pages);
    let end = tokio::select! {
        end = execute::run(node.clone(), handle.clone(), received, journal) => end,
        _ = listing::run(node.clone(), handle.clone()) => EndReason::Deposed,
        _ = forward_config(node, &handle) => EndReason::Deposed,
        () = node.outranked.notified() => EndReason::Deposed,
        () = node.must_resign.notified() => EndReason::Stopping,
    };
    log::info!(target: "lead", epoch = claim.epoch, why:? = end; "ownership ended");
    handle.stop();
    node.ownership.set_current(CurrentOwner::Unknown);
    if end == EndReason::Stopping {
        resign(node, claim, rev).await;
    }
}

/// Waits a moment for the configuration, without which little can be decided.
async fn initial_catalog(node: &Arc<Node>) -> Catalog {
    let mut configs = node.configs.subscribe();
    let known = configs.wait_for(|current| current.is_some());
    match tokio::time::timeout(STORE_TIMEOUT, known).await {
        Ok(Ok(current)) => current.as_ref().map(|c| c.config.catalog.clone()).unwrap_or_default(),
        _ => {
            log::warn!(
                target: "lead", epoch = node.ownership.newest_owner().map_or(0, |o| o.epoch);
                "became the owner without a configuration; using an empty one"
            );
            Catalog::default()
        }
    }
}

/// Lets another process take over at once.
async fn resign(node: &Arc<Node>, claim: OwnerRecord, rev: u64) {
    let vacant = OwnerRecord { is_vacant: true, ..claim };
    match vacant.write(&node.store, rev).await {
        Ok(_) | Err(StoreError::Conflict) => {}
        Err(error) => log::warn!("failed to resign; peers must detect it themselves: {error}"),
    }
}

async fn forward_config(node: &Arc<Node>, handle: &Handle) {
    let mut configs = node.configs.subscribe();
    loop {
        let current = configs.borrow_and_update().clone();
        if let Some(current) = current {
            handle.send(Event::Configured(current.config.catalog.clone()));
        }
        if configs.changed().await.is_err() {
            return;
        }
    }
}

impl Shared {
    pub fn set_store_unavailable(&self, is_unavailable: bool) {
        if self.is_store_unavailable.swap(is_unavailable, Ordering::Relaxed) != is_unavailable {
            log::warn!(target: "store", is_away = is_unavailable; "log store availability changed");
        }
    }
}
