use serde::{Deserialize, Serialize};
use sycamore_types::id::Epoch;

use super::Entry;

/// Several facts that were written together.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Page {
    /// Place in the log, from 1.
    pub sequence: u64,
    /// Epoch of the owner that wrote the page.
    pub epoch: Epoch,
    /// The facts, in order.
    pub entries: Vec<Entry>,
}

impl Page {
    /// Writes the page.
    pub(crate) fn encode(&self) -> Vec<u8> {
        bincode::serde::encode_to_vec(self, bincode::config::standard()).unwrap_or_default()
    }

    /// Reads a page.
    pub fn decode(body: &[u8]) -> Option<Page> {
        let decoded = bincode::serde::decode_from_slice(body, bincode::config::standard());
        decoded.ok().map(|(page, _)| page)
    }
}
