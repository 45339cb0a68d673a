//! Dates entries of the store by its revisions.
//!
//! A response names the store's revision when it was served. What has a higher revision was written
//! after that, and so after the request for the response was sent. Wall clocks play no part.

#[cfg(test)]
mod tests;

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Most responses that are kept. Reads of the worker list and watches of the configuration give
/// three a second, so that these cover 20 s, more than any capacity is used for.
const MAX_MARKS: usize = 64;

/// Least time between the requests of two responses that are kept. The pages of one list would
/// otherwise displace older responses.
const MIN_MARK_INTERVAL: Duration = Duration::from_millis(100);

/// A response of the store.
#[derive(Clone, Copy, Debug)]
struct Mark {
    /// When the request was sent.
    sent: Instant,
    /// Revision of the store when the response was served.
    as_of: u64,
}

/// Recent responses of the store, shared between the tasks of the process.
#[derive(Clone, Debug, Default)]
pub(crate) struct History {
    /// Both the times and the revisions increase.
    marks: Arc<Mutex<VecDeque<Mark>>>,
}

impl History {
    /// Records a response that was received just now.
    pub fn record(&self, sent: Instant, as_of: u64) {
        let mut marks = self.marks.lock().unwrap_or_else(PoisonError::into_inner);
        // A lower revision than the last one would date entries too late: the response is older or
        // comes from an old copy of the store. Without a revision it dates nothing.
        let is_unusable = |last: &Mark| as_of < last.as_of || sent < last.sent + MIN_MARK_INTERVAL;
        if as_of == 0 || marks.back().is_some_and(is_unusable) {
            return;
        }
        if marks.back().is_some_and(|last| last.as_of == as_of) {
            marks.pop_back();
        }
        marks.push_back(Mark { sent, as_of });
        if marks.len() > MAX_MARKS {
            marks.pop_front();
        }
    }

    /// Returns the latest time before which an entry was certainly not written. `None` if its
    /// revision is as old as all responses that are kept.
    pub fn written_after(&self, rev: u64) -> Option<Instant> {
        let marks = self.marks.lock().unwrap_or_else(PoisonError::into_inner);
        let older = marks.partition_point(|mark| mark.as_of < rev);
        marks.get(older.checked_sub(1)?).map(|mark| mark.sent)
    }
}
