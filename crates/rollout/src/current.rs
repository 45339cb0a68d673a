use std::sync::Arc;

use sycamore_types::config::Document;
use sycamore_types::id::Revision;
use tokio::sync::watch;
use tokio::time::{Duration, Instant};

/// The configuration in force.
#[derive(Clone, Debug)]
pub struct CurrentConfig {
    /// Revision of the document. Zero while none is known.
    pub revision: Revision,
    /// The document.
    pub document: Arc<Document>,
}

/// Holds the configuration in force and tells of changes.
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
    /// Begins without a configuration.
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

    /// Returns a receiver that tells of each change.
    pub fn subscribe(&self) -> watch::Receiver<CurrentConfig> {
        self.current.subscribe()
    }

    /// Takes in a configuration. Returns whether it is newer than the present one.
    pub fn adopt(&self, revision: Revision, document: Document) -> bool {
        self.current.send_if_modified(|current| {
            if revision <= current.revision {
                return false;
            }
            *current = CurrentConfig { revision, document: Arc::new(document) };
            true
        })
    }

    /// Notes that the store or a peer has confirmed what is in force.
    pub fn record_confirmation(&self) {
        self.confirmed_at.send_replace(Some(Instant::now()));
    }

    /// Tells whether anybody has confirmed the configuration within `span`.
    pub fn is_confirmed_within(&self, span: Duration) -> bool {
        self.confirmed_at.borrow().is_some_and(|at| at.elapsed() <= span)
    }
}
