//! The configuration in force, read from the store or received from peers. Within one
//! process its version never decreases.

mod evacuations;
mod fetch_policy;
mod from_peer;
mod from_store;
#[cfg(test)]
mod tests;

use std::sync::{Arc, Mutex};
use std::time::Instant;

use bytes::Bytes;
pub(crate) use evacuations::{Evacuated, Evacuations};
use fetch_policy::{FetchPolicy, StoreState};
use sycamore_platform::http::Activity;
use sycamore_platform::site::Config;
use sycamore_wire::encode_frame;
use tokio::sync::watch;

use crate::clock::millis;
use crate::metrics::Meters;
use crate::peer::Reply;
use crate::revision::History;
use crate::timing::{BUSY_LINK_TIME, CONFIG_WATCH_WAIT, STORE_STEADY_TIME};

/// A configuration, and the reply to processes that ask for it.
#[derive(Debug, Default)]
pub(crate) struct LoadedConfig {
    pub config: Config,
    /// Encoded once, because many processes may ask at the same time.
    pub reply: Bytes,
}

/// When the store replied to this process.
#[derive(Debug, Default)]
struct StoreReplies {
    /// Time of the last reply.
    last: Option<Instant>,
    /// Time of the first reply since a call last failed.
    first: Option<Instant>,
}

/// Shares the configuration in force between the tasks of the process.
#[derive(Clone, Debug)]
pub(crate) struct Configs {
    sender: Arc<watch::Sender<Option<Arc<LoadedConfig>>>>,
    store_replies: Arc<Mutex<StoreReplies>>,
    /// When data of the store last arrived.
    store_activity: Activity,
    fetches: Arc<Mutex<FetchPolicy>>,
    /// Responses of the store to all tasks of this process.
    pub revisions: History,
    pub evacuations: Evacuations,
    meters: Meters,
}

impl Configs {
    pub fn new(meters: Meters) -> Configs {
        let sender = Arc::new(watch::Sender::new(None));
        let (store_replies, store_activity, fetches, revisions) = Default::default();
        let evacuations = Evacuations::new(meters.clone(), false);
        Configs { sender, store_replies, store_activity, fetches, revisions, evacuations, meters }
    }

    /// Follows the evacuations of failure domains too.
    pub fn with_evacuations(self) -> Configs {
        let evacuations = Evacuations::new(self.meters.clone(), true);
        Configs { evacuations, ..self }
    }

    pub fn current(&self) -> Option<Arc<LoadedConfig>> {
        self.sender.borrow().clone()
    }

    pub fn subscribe(&self) -> watch::Receiver<Option<Arc<LoadedConfig>>> {
        self.sender.subscribe()
    }

    /// Returns the version in force, 0 before the first configuration.
    pub fn version(&self) -> u64 {
        self.current().map_or(0, |current| current.config.catalog.version)
    }

    /// Returns whether the store has replied, or sent a part of a large reply, within twice
    /// [`CONFIG_WATCH_WAIT`]. A refusal is no reply.
    pub fn is_store_reachable(&self) -> bool {
        let last = self.store_replies.lock().map(|replies| replies.last).unwrap_or(None);
        last.max(self.store_activity.last_bulk())
            .is_some_and(|at| at.elapsed() < 2 * CONFIG_WATCH_WAIT)
    }

    /// Returns whether the store has replied to the last call.
    pub fn is_store_answering(&self) -> bool {
        self.store_replies.lock().is_ok_and(|replies| replies.first.is_some())
    }

    /// Returns whether the store has replied to every call for [`STORE_STEADY_TIME`].
    pub fn is_store_steady(&self) -> bool {
        let first = self.store_replies.lock().map(|replies| replies.first).unwrap_or(None);
        self.is_store_reachable() && first.is_some_and(|at| at.elapsed() >= STORE_STEADY_TIME)
    }

    /// Records that the store has replied now.
    pub fn record_store_reply(&self) {
        if let Ok(mut replies) = self.store_replies.lock() {
            let now = Instant::now();
            replies.last = Some(now);
            replies.first.get_or_insert(now);
        }
    }

    /// Returns whether a large configuration is arriving.
    pub fn is_receiving(&self) -> bool {
        let last_bulk = self.store_activity.last_bulk();
        last_bulk.is_some_and(|at| at.elapsed() < BUSY_LINK_TIME)
            || self.fetches.lock().is_ok_and(|policy| policy.is_fetching())
    }

    /// Returns whether to fetch the configuration from a peer now.
    fn begins_fetch(&self, is_behind: bool) -> bool {
        let is_answering = self.is_store_answering();
        let store = StoreState { is_answering, last_data: self.store_activity.last() };
        let policy = self.fetches.lock();
        policy.is_ok_and(|mut policy| policy.begins(Instant::now(), is_behind, store))
    }

    fn end_fetch(&self, is_received: bool) {
        if let Ok(mut policy) = self.fetches.lock() {
            policy.on_ended(Instant::now(), is_received);
        }
    }

    fn record_store_failure(&self) {
        if let Ok(mut replies) = self.store_replies.lock() {
            replies.first = None;
        }
    }

    /// Records the version that another process has in force.
    fn record_known_version(&self, version: u64) {
        let version = version as i64;
        if version > self.meters.config_known.get() {
            self.meters.config_known.set(version);
        }
    }

    /// Counts an attempt to receive a configuration, and logs a failed one with its duration.
    fn record_transfer(&self, origin: &str, started: Instant, failure: Option<&str>) {
        let outcome = if failure.is_some() { "failed" } else { "received" };
        self.meters.config_transfers.with_label_values(&[origin, outcome]).inc();
        if let Some(error) = failure {
            let (version, ms) = (self.version(), millis(started.elapsed()));
            let known_version = self.meters.config_known.get();
            log::warn!(
                target: "config", origin, error, ms, version, known_version;
                "configuration not received"
            );
        }
    }

    /// Puts a configuration into force if it is newer than the current one.
    pub fn apply_if_newer(&self, source: Vec<u8>, origin: &str) {
        let config = match Config::parse(&source) {
            Ok(config) => config,
            Err(error) => {
                log::error!(target: "config", origin, error:%; "ignoring a malformed configuration");
                return;
            }
        };
        let version = config.catalog.version;
        if version <= self.version() {
            return;
        }
        let reply = encode_frame(&Reply::Config(Some(source))).unwrap_or_default();
        let loaded = Arc::new(LoadedConfig { config, reply });
        // Another copy may have come into force meanwhile, so the version is compared again.
        let is_applied = self.sender.send_if_modified(|current| {
            let now = current.as_ref().map_or(0, |current| current.config.catalog.version);
            let is_newer = version > now;
            if is_newer {
                self.meters.config.set(version as i64);
                *current = Some(loaded);
            }
            is_newer
        });
        if is_applied {
            log::info!(target: "config", version, origin; "configuration applied");
        }
    }
}
