//! A decision record and its hash.
//!
//! The hash covers the encoded decision, the time and the hash of the previous record, so that a
//! record cannot be changed without changing all later ones. The encoding holds no field names:
//! the order of the fields and variants of a decision is part of the hash.

use serde::{Deserialize, Serialize};
use sycamore_core::record::Decision;
use sycamore_types::id::{self, Epoch};

/// BLAKE3 hash of a record, in hexadecimal.
pub type Hash = String;

/// One decision in its hash chain. Streamed and collected as one line of JSON.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Record {
    /// Decision of the owner of a shard.
    pub decision: Decision,
    /// Wall-clock time on the owner's host, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Hash of the previous record in the chain. The first record of an epoch has the genesis
    /// hash, which is derived from the shard and the epoch.
    pub previous: Hash,
    /// Hash of this record.
    pub hash: Hash,
}

impl Record {
    /// Builds the record that follows the one with the hash `previous`.
    pub(crate) fn new(decision: Decision, at_ms: u64, previous: Hash) -> Record {
        let hash = hash_of(&decision, at_ms, &previous);
        Record { decision, at_ms, previous, hash }
    }

    /// Returns whether the stored hash matches the content of the record.
    pub(crate) fn is_hash_valid(&self) -> bool {
        self.hash == hash_of(&self.decision, self.at_ms, &self.previous)
    }
}

/// Returns the genesis hash: the `previous` hash of the first record of an epoch.
pub(crate) fn genesis(shard: &id::Shard, epoch: Epoch) -> Hash {
    blake3::hash(format!("{shard}/{epoch}").as_bytes()).to_hex().to_string()
}

fn hash_of(decision: &Decision, at_ms: u64, previous: &str) -> Hash {
    let mut hasher = blake3::Hasher::new();
    hasher.update(previous.as_bytes());
    hasher.update(&at_ms.to_le_bytes());
    let body = bincode::serde::encode_to_vec(decision, bincode::config::standard());
    hasher.update(&body.unwrap_or_default());
    hasher.finalize().to_hex().to_string()
}
