//! Reads the platform's list of workers at an interval, and keeps their addresses.
//!
//! Addresses outlive their entry in the list, so that workers that left can still be polled
//! until their runs have ended.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Instant;

use rustc_hash::FxHashMap;
use sycamore_graph::{Event, HostEntry};
use sycamore_platform::site::{Store, StoreError, key, parse_worker_entry};
use sycamore_types::Name;

use super::Handle;
use crate::backoff::Backoff;
use crate::clock::millis;
use crate::node::Node;
use crate::timing::{STORE_RETRY_MAX, STORE_TIMEOUT, WORKER_LIST_INTERVAL};

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

/// Reads the list at an interval, and sends it to the engine whenever it has changed. Never
/// returns.
pub(super) async fn run(node: Arc<Node>, handle: Handle) {
    let mut last = Vec::new();
    let mut backoff = Backoff::new(WORKER_LIST_INTERVAL, STORE_RETRY_MAX);
    loop {
        let started = Instant::now();
        match read(&node.store, &handle.addresses).await {
            Ok(entries) => {
                backoff.reset();
                handle.addresses.set_listed(entries.len());
                if last.is_empty() {
                    log::info!(target: "worker", workers = entries.len(); "first worker list read");
                }
                if entries != last {
                    last = entries.clone();
                    handle.send(Event::Listed(entries));
                }
                handle.send(Event::ListRead { age_ms: millis(started.elapsed()) });
            }
            Err(error) => {
                log::debug!("worker list not read: {error}");
                backoff.pause().await;
                continue;
            }
        }
        tokio::time::sleep(WORKER_LIST_INTERVAL).await;
    }
}

/// Reads the whole list, and stores the addresses.
async fn read(store: &Store, addresses: &Addresses) -> Result<Vec<HostEntry>, StoreError> {
    let mut entries = Vec::new();
    let mut after = String::new();
    loop {
        let page = store.range(key::WORKER_PREFIX, &after, STORE_TIMEOUT).await?;
        for item in &page.items {
            let id = item.key.strip_prefix(key::WORKER_PREFIX).unwrap_or(&item.key);
            // Skips malformed entries, and workers that are neither ready nor draining.
            if let Some((entry, address)) = parse_worker_entry(id, &item.value) {
                addresses.set(entry.id.clone(), address);
                entries.push(entry);
            }
        }
        match page.items.last() {
            Some(last) if page.more_pages => after = last.key.clone(),
            _ => return Ok(entries),
        }
    }
}
