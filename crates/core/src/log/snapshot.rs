//! Snapshots of a shard's state, which free the pages that they cover to be overwritten.
//!
//! Times are stored as ages, since a new owner has another monotonic clock. A snapshot is
//! stored in bincode, so fields must keep their order.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::caller::{KeyHash, Submission};

/// A job, as stored in a snapshot.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct SavedJob {
    /// The job as it was submitted.
    pub submission: Submission,
    /// Indexes of the tasks that succeeded.
    pub done: Vec<u32>,
    /// Indexes of the tasks that failed permanently.
    pub failed: Vec<u32>,
    /// Indexes of the unfinished tasks that must not run twice and may have run.
    pub started: Vec<u32>,
    /// Whether the job was cancelled.
    pub is_cancelled: bool,
    /// Time since the job ended, if it has.
    pub ended_ago: Option<Duration>,
}

/// Whether a request with an idempotency key may have run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum KeyState {
    /// It may have run.
    MayHaveRun,
    /// It certainly has not run and may be sent again.
    Released,
}

/// An idempotency key, as stored in a snapshot.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct SavedKey {
    /// Hash of the key.
    pub hash: KeyHash,
    /// Whether the request may have run.
    pub state: KeyState,
    /// Time since the key was first seen.
    pub age: Duration,
}

/// The state of a shard after a page of its log.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Snapshot {
    /// Sequence number of the last page that the snapshot covers.
    pub sequence: u64,
    /// Jobs within the retention time.
    pub jobs: Vec<SavedJob>,
    /// Idempotency keys within the retention time.
    pub keys: Vec<SavedKey>,
    /// Time for which a request with an unknown key must still count as possibly repeated,
    /// since keys may be missing from the log.
    #[serde(rename = "doubt")]
    pub keys_in_doubt_for: Duration,
}

impl Snapshot {
    /// Returns the stored form of the snapshot, in bincode.
    pub(crate) fn encode(&self) -> Vec<u8> {
        bincode::serde::encode_to_vec(self, bincode::config::standard()).unwrap_or_default()
    }

    /// Reads the stored form of a snapshot. Returns `None` if it can't be decoded.
    pub fn decode(body: &[u8]) -> Option<Snapshot> {
        let decoded = bincode::serde::decode_from_slice(body, bincode::config::standard());
        decoded.ok().map(|(snapshot, _)| snapshot)
    }
}
