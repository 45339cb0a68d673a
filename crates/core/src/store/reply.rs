//! Results of calls to the store.
//!
//! The results keep apart a call that certainly had no effect and one in doubt, since only the
//! former may be repeated as if it had never been made.

use serde::{Deserialize, Serialize};
use sycamore_types::id::Revision;

/// A value with its key and revision.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Versioned {
    /// Key of the value.
    pub key: String,
    /// Revision at which the value was written.
    pub revision: Revision,
    /// The value itself.
    pub value: Vec<u8>,
}

/// The result of a call to the store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Reply {
    /// Result of a read of one value; `None` if the key is absent.
    Value(Option<Versioned>),
    /// Result of a read of several values.
    Values(Vec<Versioned>),
    /// The write took effect at this revision.
    Written(Revision),
    /// The write did not take effect, since the value had another revision.
    Conflict,
    /// The store can't be reached, and the call certainly had no effect.
    Unavailable,
    /// The reply was lost: the call may have taken effect, or may yet do so.
    Unknown,
}

impl Reply {
    /// Returns whether the reply came from the store itself.
    pub fn is_contact(&self) -> bool {
        !matches!(self, Reply::Unavailable | Reply::Unknown)
    }
}
