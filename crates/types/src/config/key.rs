//! API keys of callers.
//!
//! The configuration holds only the hash of each key, so reading the document does
//! not reveal a secret.

use serde::{Deserialize, Serialize};
use subtle::ConstantTimeEq;

use crate::Name;

/// An API key, stored as a hash.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Key {
    /// Team that requests with this key belong to.
    pub team: Name,
    /// BLAKE3 hash of the key, in hexadecimal.
    pub hash: Name,
}

impl Key {
    /// Hashes a secret into the form that the configuration stores.
    pub fn from_secret(team: &str, secret: &str) -> Key {
        Key { team: Name::from(team), hash: Name::from(hash_secret(secret).as_str()) }
    }

    /// Returns whether the stored hash equals `hash`. Takes constant time.
    pub fn matches(&self, hash: &str) -> bool {
        self.hash.as_bytes().ct_eq(hash.as_bytes()).into()
    }
}

/// Returns the hash of a secret in the form of [`Key::hash`].
///
/// Keys are 256 random bits, so a hash without salt or key stretching suffices.
pub(crate) fn hash_secret(secret: &str) -> String {
    blake3::hash(secret.as_bytes()).to_hex().to_string()
}
