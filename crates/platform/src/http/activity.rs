//! Time at which data last arrived from a server.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

/// When a client last received a part of a response. Clones share the time.
#[derive(Clone, Debug, Default)]
pub struct Activity(Arc<Mutex<Option<Instant>>>);

impl Activity {
    /// Returns the time of the last part, `None` before the first.
    pub fn last(&self) -> Option<Instant> {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn record(&self) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = Some(Instant::now());
    }
}
