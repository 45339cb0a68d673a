//! Times at which data last arrived from a server.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// Size from which a response is large enough to fill a slow link for a while, in bytes.
const BULK_BYTES: usize = 64 * 1024;

/// When a client last received a part of a response. Clones share the times.
#[derive(Clone, Debug, Default)]
pub struct Activity(Arc<Mutex<State>>);

#[derive(Clone, Copy, Debug, Default)]
struct State {
    last: Option<Instant>,
    last_bulk: Option<Instant>,
}

impl Activity {
    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the time of the last part, `None` before the first.
    pub fn last(&self) -> Option<Instant> {
        self.state().last
    }

    /// Returns the time of the last part of a large response, `None` before the first.
    pub fn last_bulk(&self) -> Option<Instant> {
        self.state().last_bulk
    }

    /// Records a part of a response of which so many bytes have arrived.
    pub(super) fn record(&self, received_bytes: usize) {
        let now = Some(Instant::now());
        let mut state = self.state();
        state.last = now;
        if received_bytes >= BULK_BYTES {
            state.last_bulk = now;
        }
    }
}
