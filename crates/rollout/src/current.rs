//! Configuration in force and the time of its last confirmation.
//!
//! The time is kept because a process without recent contact to the store or a peer may miss
//! the withdrawal of a caller's key.

use std::sync::Arc;

use sycamore_types::config::Document;
use sycamore_types::id::Revision;
use tokio::sync::watch;
use tokio::time::{Duration, Instant};

/// Configuration in force, with its revision.
#[derive(Clone, Debug)]
pub struct CurrentConfig {
    /// Revision of the document in the store. Zero until the first configuration arrives.
    pub revision: Revision,
    /// Settings of teams, queues, services and hosts that operators change at run time.
    pub document: Arc<Document>,
}

/// Shared handle to the configuration in force. Clones refer to the same configuration.
#[derive(Clone, Debug)]
pub struct Rollout {
    current: Arc<watch::Sender<CurrentConfig>>,
    confirmed_at: Arc<watch::Sender<Option<Instant>>>,
}

impl Default for Rollout {
    fn default() -> Rollout {
        Rollout::new()
    }
}

impl Rollout {
    /// Creates a handle without a configuration.
    pub fn new() -> Rollout {
        let none = CurrentConfig { revision: 0, document: Arc::default() };
        Rollout {
            current: Arc::new(watch::Sender::new(none)),
            confirmed_at: Arc::new(watch::Sender::new(None)),
        }
    }

    /// Returns the configuration in force.
    pub fn current(&self) -> CurrentConfig {
        self.current.borrow().clone()
    }

    /// Returns a receiver that is notified of each change.
    pub fn subscribe(&self) -> watch::Receiver<CurrentConfig> {
        self.current.subscribe()
    }

    /// Replaces the configuration by one with a higher revision.
    ///
    /// Returns `false` and changes nothing if `revision` is not higher than the current one.
    pub fn adopt(&self, revision: Revision, document: Document) -> bool {
        self.current.send_if_modified(|current| {
            if revision <= current.revision {
                return false;
            }
            *current = CurrentConfig { revision, document: Arc::new(document) };
            true
        })
    }

    /// Records that the store or a peer has just confirmed the configuration.
    pub fn record_confirmation(&self) {
        self.confirmed_at.send_replace(Some(Instant::now()));
    }

    /// Returns whether the store or a peer has confirmed the configuration within `span`.
    pub fn is_confirmed_within(&self, span: Duration) -> bool {
        self.confirmed_at.borrow().is_some_and(|at| at.elapsed() <= span)
    }
}
