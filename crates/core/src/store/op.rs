//! Calls to the store.
//!
//! All writes are conditional on a revision, so that no process overwrites a value that it has
//! not seen.

use serde::{Deserialize, Serialize};
use sycamore_types::id::Revision;

/// A call to the store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Op {
    /// Reads one value.
    Get {
        /// Key of the value.
        key: String,
    },
    /// Reads all values whose keys start with the prefix.
    List {
        /// Prefix of the keys.
        prefix: String,
    },
    /// Writes a value if its revision is the expected one.
    Put {
        /// Key of the value.
        key: String,
        /// Revision that the value must have. Zero means that the key must be absent.
        expected: Revision,
        /// The new value.
        value: Vec<u8>,
    },
    /// Removes a value if its revision is the expected one.
    Delete {
        /// Key of the value.
        key: String,
        /// Revision that the value must have.
        expected: Revision,
    },
}

impl Op {
    /// Returns whether the call changes the store.
    pub fn is_write(&self) -> bool {
        matches!(self, Op::Put { .. } | Op::Delete { .. })
    }
}
