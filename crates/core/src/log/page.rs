//! Pages, the unit in which entries are written to the store.
//!
//! A page is written as a whole by one compare-and-swap, so its entries become durable
//! together or not at all. It is stored in bincode, so fields must keep their order.

use serde::{Deserialize, Serialize};
use sycamore_types::id::Epoch;

use super::Entry;

/// Entries that are written to the store together.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Page {
    /// Position of the page in the log, counted from 1.
    pub sequence: u64,
    /// Epoch of the owner that wrote the page.
    pub epoch: Epoch,
    /// The entries, oldest first.
    pub entries: Vec<Entry>,
}

impl Page {
    /// Returns the stored form of the page, in bincode.
    pub(crate) fn encode(&self) -> Vec<u8> {
        bincode::serde::encode_to_vec(self, bincode::config::standard()).unwrap_or_default()
    }

    /// Reads the stored form of a page. Returns `None` if it can't be decoded.
    pub fn decode(body: &[u8]) -> Option<Page> {
        let decoded = bincode::serde::decode_from_slice(body, bincode::config::standard());
        decoded.ok().map(|(page, _)| page)
    }
}
