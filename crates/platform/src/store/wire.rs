use serde::{Deserialize, Serialize};
use sycamore_types::id::Revision;

/// Header that carries the revision of a value.
pub const REVISION_HEADER: &str = "x-revision";

/// One value in the answer to a read of several.
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

/// How the stand-in misbehaves, for tests.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Every call is refused.
    pub is_down: bool,
    /// Every call takes this much longer, in milliseconds.
    pub slow_ms: u64,
    /// Writes take effect and their connections are cut before the reply.
    pub loses_replies: bool,
}
