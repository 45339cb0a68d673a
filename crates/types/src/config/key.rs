use serde::{Deserialize, Serialize};
use subtle::ConstantTimeEq;

use crate::Name;

/// A key that callers show, kept as a hash.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Key {
    /// Team that the key speaks for.
    pub team: Name,
    /// BLAKE3 hash of the key, in hexadecimal.
    pub hash: Name,
}

impl Key {
    /// Builds the record of a key from the secret itself.
    pub fn from_secret(team: &str, secret: &str) -> Key {
        Key { team: Name::from(team), hash: Name::from(hash_secret(secret).as_str()) }
    }

    /// Tells in constant time whether the record's hash is `hash`.
    pub fn matches(&self, hash: &str) -> bool {
        self.hash.as_bytes().ct_eq(hash.as_bytes()).into()
    }
}

/// Hashes a secret the way that [`Key::hash`] keeps it.
///
/// Keys are drawn at random with 256 bits, so a plain hash suffices.
pub(crate) fn hash_secret(secret: &str) -> String {
    blake3::hash(secret.as_bytes()).to_hex().to_string()
}
