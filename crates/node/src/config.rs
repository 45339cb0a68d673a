//! The configuration in force. It never goes back within one process.

use std::sync::Arc;
use std::time::Instant;

use sycamore_platform::site::{Config, Store, StoreError, key};
use tokio::sync::watch;

use crate::backoff::Backoff;
use crate::metrics::Meters;
use crate::timing::{CONFIG_WATCH_WAIT, STORE_RETRY, STORE_RETRY_MAX, STORE_TIMEOUT};

/// A configuration with the bytes that it was read from.
#[derive(Debug, Default)]
pub(crate) struct LoadedConfig {
    pub config: Config,
    /// For processes that can't reach the store themselves.
    pub source: Vec<u8>,
}

/// Hands out the configuration in force.
#[derive(Clone, Debug)]
pub(crate) struct Configs {
    sender: Arc<watch::Sender<Option<Arc<LoadedConfig>>>>,
    /// Time of the last answer of the store.
    last_reply: Arc<std::sync::Mutex<Option<Instant>>>,
    meters: Meters,
}

impl Configs {
    pub fn new(meters: Meters) -> Configs {
        let sender = Arc::new(watch::Sender::new(None));
        Configs { sender, last_reply: Arc::default(), meters }
    }

    pub fn current(&self) -> Option<Arc<LoadedConfig>> {
        self.sender.borrow().clone()
    }

    pub fn subscribe(&self) -> watch::Receiver<Option<Arc<LoadedConfig>>> {
        self.sender.subscribe()
    }

    /// Version in force, 0 before the first.
    pub fn version(&self) -> u64 {
        self.current().map_or(0, |current| current.config.catalog.version)
    }

    /// Tells whether the store answered a short while ago.
    pub fn is_store_reachable(&self) -> bool {
        let last_reply = self.last_reply.lock().map(|last_reply| *last_reply).unwrap_or(None);
        last_reply.is_some_and(|at| at.elapsed() < 2 * CONFIG_WATCH_WAIT)
    }

    /// Notes that the store answers.
    pub fn record_store_reply(&self) {
        if let Ok(mut last_reply) = self.last_reply.lock() {
            *last_reply = Some(Instant::now());
        }
    }

    /// Takes a configuration if it is newer.
    pub fn apply_if_newer(&self, source: Vec<u8>, origin: &str) {
        let config = match Config::parse(&source) {
            Ok(config) => config,
            Err(error) => {
                log::error!(target: "config", origin, error:%; "not used");
                return;
            }
        };
        let version = config.catalog.version;
        if version <= self.version() {
            return;
        }
        self.meters.config.set(version as i64);
        log::info!(target: "config", version, origin; "in force");
        self.sender.send_replace(Some(Arc::new(LoadedConfig { config, source })));
    }

    /// Follows the store for as long as the process lives.
    pub async fn follow_store(self, store: Store) {
        let mut backoff = Backoff::new(STORE_RETRY, STORE_RETRY_MAX);
        loop {
            let error = self.read_and_watch(&store, &mut backoff).await;
            log::debug!("configuration watch: {error}");
            backoff.pause().await;
        }
    }

    async fn read_and_watch(&self, store: &Store, backoff: &mut Backoff) -> StoreError {
        let mut after = match store.get(key::CONFIG, STORE_TIMEOUT).await {
            Ok(Some(item)) => {
                self.record_store_reply();
                self.apply_if_newer(item.value, "store");
                // The history may not reach back to the key's own last change.
                item.as_of.max(item.rev)
            }
            Ok(None) => return StoreError::Refused(404),
            Err(error) => return error,
        };
        loop {
            match store.watch(key::CONFIG, after, CONFIG_WATCH_WAIT).await {
                Ok(watched) => {
                    self.record_store_reply();
                    backoff.reset();
                    after = watched.as_of.max(after);
                    for change in watched.events {
                        if change.key == key::CONFIG && !change.removed {
                            self.apply_if_newer(change.value, "store");
                        }
                    }
                }
                Err(error) => return error,
            }
        }
    }
}
