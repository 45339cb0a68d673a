//! Wire formats of the store, shared by the client and the simulated store.

use serde::{Deserialize, Serialize};
use sycamore_types::id::Revision;

/// Header of a response that carries the revision of the value.
pub const REVISION_HEADER: &str = "x-revision";

/// One value in the response to a read of all keys with a prefix.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ListItem {
    /// Key of the value.
    pub key: String,
    /// Revision of the value.
    pub revision: Revision,
    /// The value, in hexadecimal.
    pub value: String,
}

/// Faults that the simulated store injects in tests.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Whether every call is refused.
    pub is_down: bool,
    /// Delay added to every call, in milliseconds.
    pub slow_ms: u64,
    /// Whether connections are closed after a write took effect and before its response.
    pub loses_replies: bool,
}
