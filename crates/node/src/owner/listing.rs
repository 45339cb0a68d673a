//! Reads the platform's list of workers at an interval, dates their entries, and keeps their
//! addresses.
//!
//! The age of a read says nothing about the age of the entries: workers can't write while the store
//! is away. Each entry is dated by its revision (see [`crate::revision`]).
//!
//! An entry that names no worker to use is skipped, and the others hold.
//!
//! Addresses outlive their entry in the list, so that workers that left can still be polled
//! until their runs have ended.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use rustc_hash::FxHashMap;
use sycamore_graph::{Event, HostEntry, Reading};
use sycamore_platform::site::{EntryError, StoreError, WorkerEntry, key, parse_worker_entry};
use sycamore_types::Name;

use super::Handle;
use super::skipped::Skipped;
use crate::backoff::Backoff;
use crate::clock::{Clock, millis};
use crate::node::Node;
use crate::timing::{STORE_RETRY_MAX, STORE_TIMEOUT, WORKER_LIST_INTERVAL};

/// Time without a read of the list after which that is logged: four intervals. Capacities in the list
/// are used for a few seconds only.
const LOGGED_SILENCE: Duration = Duration::from_secs(2);

/// Addresses of workers, by name.
#[derive(Debug, Default)]
pub(super) struct Addresses {
    known: std::sync::Mutex<FxHashMap<Name, SocketAddr>>,
    /// Number of workers in the last list.
    listed: AtomicUsize,
}

impl Addresses {
    pub fn get(&self, name: &str) -> Option<SocketAddr> {
        self.known.lock().ok()?.get(name).copied()
    }

    /// Returns the number of workers in the last list.
    pub fn listed(&self) -> usize {
        self.listed.load(Ordering::Relaxed)
    }

    pub fn set_listed(&self, workers: usize) {
        self.listed.store(workers, Ordering::Relaxed);
    }

    pub fn set(&self, name: Name, address: SocketAddr) {
        if let Ok(mut known) = self.known.lock() {
            known.insert(name, address);
        }
    }
}

/// The newest known entry of a worker.
#[derive(Clone, Debug)]
struct Known {
    entry: HostEntry,
    /// Revision at which it was written.
    rev: u64,
    /// Lower bound of the time at which it was written.
    written: Option<Instant>,
    /// Least time left before the worker leaves when it was written, in milliseconds. Zero if the worker
    /// does not drain.
    remaining_ms: u64,
}

/// When the list was last read, for the log.
#[derive(Debug)]
struct Reads {
    last: Instant,
    /// The log tells that the list is not read.
    is_outage_logged: bool,
}

impl Reads {
    fn new(now: Instant) -> Reads {
        Reads { last: now, is_outage_logged: false }
    }

    fn on_success(&mut self, epoch: u64) {
        let silent_ms = millis(self.last.elapsed());
        self.last = Instant::now();
        if std::mem::take(&mut self.is_outage_logged) {
            log::info!(target: "worker", epoch, silent_ms; "worker list is read again");
        }
    }

    fn on_failure(&mut self, error: &StoreError, epoch: u64) {
        if self.is_outage_logged || self.last.elapsed() < LOGGED_SILENCE {
            return;
        }
        self.is_outage_logged = true;
        let silent_ms = millis(self.last.elapsed());
        log::warn!(target: "worker", epoch, silent_ms, error:%; "worker list is not read");
    }
}

/// Reads the list at an interval, and sends it to the engine whenever it has changed, and the dates
/// of the entries that were written again. Never returns.
pub(super) async fn run(node: Arc<Node>, handle: Handle) {
    let mut known = BTreeMap::new();
    let mut skipped = Skipped::new(node.meters.clone());
    let mut backoff = Backoff::new(WORKER_LIST_INTERVAL, STORE_RETRY_MAX);
    let mut reads = Reads::new(Instant::now());
    loop {
        match read(&node, &handle.addresses, &known, &mut skipped).await {
            Ok(listed) => {
                backoff.reset();
                reads.on_success(handle.epoch);
                handle.addresses.set_listed(listed.len());
                if known.is_empty() {
                    let undated = listed.values().filter(|known| known.written.is_none()).count();
                    log::info!(
                        target: "worker", workers = listed.len(), undated;
                        "first worker list read"
                    );
                }
                // The entries come before their dates, so that no date reaches an older entry.
                if !listed.values().map(|now| &now.entry).eq(known.values().map(|was| &was.entry)) {
                    let entries = listed.values().map(|known| known.entry.clone());
                    handle.send(Event::Listed(entries.collect()));
                }
                let readings = new_readings(&listed, &known, node.clock);
                if !readings.is_empty() {
                    handle.send(Event::Dated(readings));
                }
                known = listed;
            }
            Err(error) => {
                reads.on_failure(&error, handle.epoch);
                backoff.pause().await;
                continue;
            }
        }
        tokio::time::sleep(WORKER_LIST_INTERVAL).await;
    }
}

/// Returns the dates that have changed since the last read.
fn new_readings(
    listed: &BTreeMap<Name, Known>,
    last: &BTreeMap<Name, Known>,
    clock: Clock,
) -> Vec<Reading> {
    let reading = |(name, now): (&Name, &Known)| {
        let written = now.written?;
        let was = last.get(name).filter(|was| was.entry.incarnation == now.entry.incarnation);
        (was.and_then(|was| was.written) != Some(written)).then(|| Reading {
            host: name.clone(),
            incarnation: now.entry.incarnation,
            written_ms: clock.monotonic_ms(written),
            remaining_ms: now.remaining_ms,
        })
    };
    listed.iter().filter_map(reading).collect()
}

/// Reads the whole list, dates the entries, and stores the addresses. An entry that is older than
/// the known one of the same worker does not replace it.
async fn read(
    node: &Node,
    addresses: &Addresses,
    known: &BTreeMap<Name, Known>,
    skipped: &mut Skipped,
) -> Result<BTreeMap<Name, Known>, StoreError> {
    let mut listed = BTreeMap::new();
    let config = node.configs.current();
    skipped.begin();
    let mut after = String::new();
    loop {
        let sent = Instant::now();
        let page = node.store.range(key::WORKER_PREFIX, &after, STORE_TIMEOUT).await?;
        node.configs.revisions.record(sent, page.as_of);
        for item in &page.items {
            let id = item.key.strip_prefix(key::WORKER_PREFIX).unwrap_or(&item.key);
            let WorkerEntry { host: entry, address, remaining_ms } =
                match parse_worker_entry(id, &item.value) {
                    Ok(parsed) => parsed,
                    Err(error) => {
                        skipped.add(id, error.reason(), &error);
                        continue;
                    }
                };
            let name = entry.id.clone();
            // The runs of a worker whose service is dropped still need it.
            let is_named = config.as_ref().is_none_or(|now| now.config.has_service(&entry.service));
            if !is_named && known.get(&name).is_none_or(|was| was.entry.service != entry.service) {
                skipped.add(id, "service", &EntryError::Service(entry.service));
                continue;
            }
            let current = match known.get(&name) {
                Some(was) if was.rev > item.rev => was.clone(),
                Some(was) if was.rev == item.rev => Known { entry, ..was.clone() },
                _ => Known { entry, rev: item.rev, written: None, remaining_ms },
            };
            // A later response may bound the time of the same write more closely.
            let written = current.written.max(node.configs.revisions.written_after(current.rev));
            addresses.set(name.clone(), address);
            listed.insert(name, Known { written, ..current });
        }
        for row in &page.malformed {
            skipped.add(row.key.as_deref().unwrap_or_default(), "row", &row.reason);
        }
        match page.next {
            Some(next) => after = next,
            None => break,
        }
    }
    skipped.end();
    Ok(listed)
}
