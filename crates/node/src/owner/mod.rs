//! The owner: the one process that decides which task runs on which worker.
//!
//! A worker is a host that runs tasks. The engine (`sycamore_graph`) runs on a control
//! thread of its own and returns actions; async tasks carry these out: they write the
//! log, send requests to workers, and ask the advice service. A new owner rebuilds the
//! engine from the log. Every request carries the owner's epoch as a fencing token.

mod advice;
mod calls;
mod confirm;
mod confirmation;
mod control;
mod evacuation;
mod execute;
mod executors;
mod handle;
#[cfg(debug_assertions)]
mod injected_bug;
mod journal;
mod listing;
mod page;
mod records;
mod recover;
mod skipped;
#[cfg(test)]
mod tests;
mod write_timeout;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use sycamore_graph::catalog::Catalog;
use sycamore_graph::{Engine, Event, PreemptionTiming, Recovered, Timing};
use sycamore_platform::site::{MAX_FINISHED_PER_POLL, Settings, Store, StoreError};
use tokio::sync::mpsc;

use advice::Callers;
use confirmation::Confirmation;
pub(crate) use handle::Handle;

use crate::clock::{Clock, millis};
use crate::node::Node;
use crate::ownership::{CurrentOwner, OwnerRecord};
use crate::timing::{START_STOP_TIMEOUT, STORE_RETRY, STORE_TIMEOUT, UNCONFIRMED_RECOVERY_TIME};

/// Added to the platform's retention time for the state of a finished job, in
/// milliseconds: clocks of hosts differ, and callers start counting at different moments.
const STATUS_MARGIN_MS: u64 = 30_000;

/// Part of the process's memory that the jobs known to the owner may take, as a divisor. A successor
/// with a third of the memory can hold as much beside what it grants callers.
const JOB_MEMORY_DIVISOR: usize = 6;

/// State shared by the tasks of one owner.
#[derive(Debug)]
pub(crate) struct Shared {
    /// Log writes have been failing for a while.
    pub is_store_unavailable: AtomicBool,
    /// Revision of the owner record under which this process is the owner.
    owner_rev: u64,
    /// When the record last certainly had that revision.
    confirmation: Confirmation,
    /// The hosts that make calls for advice.
    callers: Callers,
}

/// Why this process stops being the owner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum EndReason {
    /// Another process has a higher epoch, or a part of this owner has ended.
    Deposed,
    /// A worker has seen a higher fencing token.
    Fenced,
    /// This process is stopping.
    Stopping,
}

/// Runs this process as the owner until it loses ownership or stops.
///
/// `record` is the owner record that this process has written, `rev` its revision in the
/// store. Log writes require that the record is still at this revision. `confirmed_ms` is
/// [`Clock::uptime_ms`] before the call that has written or found it was sent.
pub(crate) async fn run(node: &Arc<Node>, record: OwnerRecord, rev: u64, confirmed_ms: u64) {
    node.ownership.set_current(CurrentOwner::Recovering { epoch: record.epoch });
    let shared = Arc::new(Shared::new(rev, node.clock, confirmed_ms));
    let recovered = tokio::select! {
        recovered = read_log_as_owner(node, &shared) => recovered,
        () = node.outranked.notified() => None,
    };
    let Some((recovered, pages)) = recovered else {
        log::info!(target: "lead", epoch = record.epoch; "replaced before it owned");
        node.ownership.set_current(CurrentOwner::Unknown);
        return;
    };
    if node.is_stopping() {
        node.ownership.set_current(CurrentOwner::Unknown);
        resign(node, record, rev).await;
        return;
    }
    // Reading the log shows that the store is reachable, even if the configuration watch
    // has not noticed yet.
    node.configs.record_store_reply();
    let catalog = initial_catalog(node).await;
    log::info!(
        target: "lead", epoch = record.epoch, pages = pages.len(), jobs = recovered.job_count(),
        config = catalog.version; "owning"
    );
    let timing = Timing {
        lease_ms: node.settings.lease_ms,
        max_ends_per_report: MAX_FINISHED_PER_POLL,
        capacity_max_age_ms: capacity_max_age_ms(&node.settings),
        max_job_bytes: node.settings.memory_bytes / JOB_MEMORY_DIVISOR,
        usage_half_life_ms: node.options.usage_half_life_ms(),
        preemption: preemption_timing(&node.settings),
        status_retention_ms: node.settings.status_ms + STATUS_MARGIN_MS,
        ..Timing::default()
    };
    let engine = Engine::new(node.clock.now(), timing, catalog, recovered);
    let (actions, received) = mpsc::unbounded_channel();
    let control = match control::spawn(engine, node, actions, shared.clone()) {
        Ok(control) => control,
        Err(error) => {
            log::error!("control thread failed to start: {error}");
            return;
        }
    };
    let handle = Handle::new(record.epoch, control, shared.clone());
    // Before any list of workers, so that the engine places nothing without it.
    let evacuations = evacuation::begin(node, &handle);
    node.ownership.set_current(CurrentOwner::Local(handle.clone()));
    // The previous owner's list, as this process may not have been pinged by all of them yet.
    node.record_members(&node.ownership.peers());
    let journal = journal::Journal::new(node, handle.clone(), shared.clone(), pages);
    let end = tokio::select! {
        end = execute::run(node.clone(), handle.clone(), received, journal) => end,
        _ = listing::run(node.clone(), handle.clone()) => EndReason::Deposed,
        _ = forward_config(node, &handle) => EndReason::Deposed,
        end = confirm::run(node, &shared, record.epoch) => end,
        () = evacuation::forward(evacuations, &handle) => EndReason::Deposed,
        () = node.outranked.notified() => EndReason::Deposed,
        () = node.must_resign.notified() => EndReason::Stopping,
    };
    log::info!(target: "lead", epoch = record.epoch, why:? = end; "ownership ended");
    handle.stop();
    node.ownership.set_current(CurrentOwner::Unknown);
    // A fenced owner whose record still stands has to claim a higher epoch.
    if matches!(end, EndReason::Fenced | EndReason::Stopping) {
        resign(node, record, rev).await;
    }
}

/// Reads the log, and the evacuated failure domains so that nothing is placed by an old set of
/// them. Returns `None` if this process is stopping or another one has replaced the
/// owner record, which does not make the read fail.
async fn read_log_as_owner(
    node: &Node,
    shared: &Shared,
) -> Option<(Recovered, Vec<journal::Page>)> {
    loop {
        let found = recover::read(&node.store, &node.configs.evacuations).await;
        if let Err(error) = &found {
            log::warn!(target: "store", error:%; "state read failed; retrying");
            tokio::time::sleep(STORE_RETRY).await;
        }
        let is_owner = shared.is_recently_confirmed(UNCONFIRMED_RECOVERY_TIME)
            || shared.confirm(&node.store).await.is_ok_and(|is_owner| is_owner);
        match found {
            _ if !is_owner => return None,
            Ok(found) => return Some(found),
            Err(_) if node.is_stopping() => return None,
            Err(_) => {}
        }
    }
}

/// Returns the time after the last write of a worker's entry for which its capacity is used to place
/// tasks: a worker that shrinks right after the write may be used at its former capacity for
/// `stability_ms` and one interval of its writes, and an order may be under way for some of it.
fn capacity_max_age_ms(settings: &Settings) -> u64 {
    let usable_ms = settings.stability_ms + settings.heartbeat_ms;
    usable_ms.saturating_sub(millis(START_STOP_TIMEOUT))
}

/// Returns what preemption costs. `None` if the settings don't name all of it: preemption is off
/// then.
fn preemption_timing(settings: &Settings) -> Option<PreemptionTiming> {
    Some(PreemptionTiming {
        stop_ms: settings.stop_ms?,
        checkpoint_ms: settings.checkpoint_ms?,
        restore_ms: settings.restore_ms?,
    })
}

/// Returns the catalog in force, for which it waits up to [`STORE_TIMEOUT`].
///
/// Falls back to an empty catalog, with which the engine can decide little.
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

/// Marks the owner record as vacant, so that another process takes over at once.
async fn resign(node: &Arc<Node>, record: OwnerRecord, rev: u64) {
    let vacant = OwnerRecord { is_vacant: true, ..record };
    match vacant.write(&node.store, rev).await {
        Ok(_) | Err(StoreError::Conflict) => {}
        Err(error) => log::warn!("failed to resign; peers must detect it themselves: {error}"),
    }
}

/// Passes each newer configuration to the engine.
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
    /// `owner_rev` is the revision of the record that this process has written or read by a call that
    /// it sent at `confirmed_ms` of [`Clock::uptime_ms`].
    fn new(owner_rev: u64, clock: Clock, confirmed_ms: u64) -> Shared {
        let confirmation = Confirmation::new(clock, confirmed_ms);
        let (is_store_unavailable, callers) = (AtomicBool::new(false), Callers::default());
        Shared { is_store_unavailable, owner_rev, confirmation, callers }
    }

    /// Returns whether this process was certainly the owner, by the store, within a time before now.
    pub fn is_recently_confirmed(&self, time: Duration) -> bool {
        self.confirmation.store_age() < time
    }

    /// Reads the owner record, and returns whether this process is still the owner.
    ///
    /// # Errors
    ///
    /// Returns the store's error if the record can't be read.
    pub async fn confirm(&self, store: &Store) -> Result<bool, StoreError> {
        let started_ms = self.confirmation.begin();
        let (_, rev) = OwnerRecord::read(store).await?;
        let is_owner = rev == self.owner_rev;
        if is_owner {
            self.confirmation.record(started_ms);
        }
        Ok(is_owner)
    }

    pub fn set_store_unavailable(&self, is_unavailable: bool) {
        if self.is_store_unavailable.swap(is_unavailable, Ordering::Relaxed) != is_unavailable {
            log::warn!(target: "store", is_away = is_unavailable; "log store availability changed");
        }
    }
}
