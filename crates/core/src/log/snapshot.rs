use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::caller::{KeyHash, Submission};

/// A job as a snapshot keeps it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct SavedJob {
    /// The job as it was handed in.
    pub submission: Submission,
    /// Indexes of the tasks that ended well.
    pub done: Vec<u32>,
    /// Indexes of the tasks that failed for good.
    pub failed: Vec<u32>,
    /// Indexes of tasks that must not run twice and may have run.
    pub started: Vec<u32>,
    /// The job was cancelled.
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
    /// It certainly has not run and may be sent once more.
    Released,
}

/// An idempotency key as a snapshot keeps it.
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

/// The state of a shard up to a page.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Snapshot {
    /// Last page that the snapshot covers.
    pub sequence: u64,
    /// Jobs that are not forgotten yet.
    pub jobs: Vec<SavedJob>,
    /// Idempotency keys that are not forgotten yet.
    pub keys: Vec<SavedKey>,
    /// Time for which requests with unseen keys must still be held in doubt.
    #[serde(rename = "doubt")]
    pub keys_in_doubt_for: Duration,
}

impl Snapshot {
    /// Writes the snapshot.
    pub(crate) fn encode(&self) -> Vec<u8> {
        bincode::serde::encode_to_vec(self, bincode::config::standard()).unwrap_or_default()
    }

    /// Reads a snapshot.
    pub fn decode(body: &[u8]) -> Option<Snapshot> {
        let decoded = bincode::serde::decode_from_slice(body, bincode::config::standard());
        decoded.ok().map(|(snapshot, _)| snapshot)
    }
}
