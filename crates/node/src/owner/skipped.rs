//! Logs and counts the entries of the worker list that name no worker to use.
//!
//! The list is read twice a second, so that an entry is reported only when it comes, and when the
//! reason changes.

use std::collections::BTreeMap;
use std::fmt::Display;

use crate::metrics::Meters;

/// Most lines about one read of the list.
const MAX_LINES: usize = 20;

/// Longest key and error in a line, in characters. An error may quote the entry.
const MAX_TEXT_CHARS: usize = 200;

/// The entries that were skipped, by id, with the reason.
#[derive(Debug)]
pub(super) struct Skipped {
    meters: Meters,
    /// Entries of the last whole read, and of a read that has begun since.
    reported: BTreeMap<String, &'static str>,
    current: BTreeMap<String, &'static str>,
    lines: usize,
}

impl Skipped {
    pub fn new(meters: Meters) -> Skipped {
        Skipped { meters, reported: BTreeMap::new(), current: BTreeMap::new(), lines: 0 }
    }

    /// Begins a read of the list.
    pub fn begin(&mut self) {
        self.current.clear();
        self.lines = 0;
    }

    /// Adds an entry that the read has shown.
    pub fn add(&mut self, id: &str, reason: &'static str, error: &dyn Display) {
        self.current.insert(id.to_string(), reason);
        if self.reported.insert(id.to_string(), reason) == Some(reason) {
            return;
        }
        self.meters.skipped_entries.with_label_values(&[reason]).inc();
        if self.lines < MAX_LINES {
            self.lines += 1;
            let (host, error) = (shortened(id), shortened(&error.to_string()));
            log::warn!(target: "worker", host, reason, error; "worker entry skipped");
        }
    }

    /// Ends a read that has shown the whole list.
    pub fn end(&mut self) {
        self.reported = std::mem::take(&mut self.current);
    }
}

fn shortened(text: &str) -> String {
    text.chars().take(MAX_TEXT_CHARS).collect()
}
