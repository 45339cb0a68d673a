//! Keys and encoding of the log's pages in the store.
//!
//! The size of a record is estimated before it is encoded, so that the journal can bound the
//! new records of a page.

use displaydoc::Display;
use sycamore_graph::{Record, job};
use sycamore_types::Name;

/// Prefix of the keys of all pages.
pub(super) const PREFIX: &str = "sycamore/log/";

/// Upper bound for a record without its variable parts, in bytes.
const RECORD_BYTES: usize = 160;

/// Upper bound for a step with names of usual length, in bytes.
const STEP_BYTES: usize = 160;

/// Upper bound for a team with a name of usual length and its use, in bytes.
const TEAM_BYTES: usize = 64;

/// Upper bound for the name of a run, in bytes.
const RUN_BYTES: usize = 32;

/// log page can't be encoded or decoded: {0}
#[derive(Debug, Display)]
pub(crate) struct PageError(String);

impl std::error::Error for PageError {}

/// Returns the key of a page. Zero-padded, so that keys sort in page order.
pub(super) fn key(number: u64) -> String {
    format!("{PREFIX}{number:012}")
}

/// Returns the number of a page from its key.
pub(super) fn number(key: &str) -> Option<u64> {
    key.strip_prefix(PREFIX)?.parse().ok()
}

pub(super) fn encode(records: &[Record]) -> Result<Vec<u8>, PageError> {
    bincode::serde::encode_to_vec(records, bincode::config::standard())
        .map_err(|error| PageError(error.to_string()))
}

pub(super) fn decode(bytes: &[u8]) -> Result<Vec<Record>, PageError> {
    bincode::serde::decode_from_slice(bytes, bincode::config::standard())
        .map(|(records, _)| records)
        .map_err(|error| PageError(error.to_string()))
}

/// Returns the job that a record is about.
pub(super) fn job_of(record: &Record) -> Option<job::Id> {
    match record {
        Record::Accepted { job, .. } => Some(*job),
        Record::Ended(ended) => Some(ended.task.step.job),
        Record::Closed(closed) => Some(closed.job),
        Record::Snapshot(snapshot) => Some(snapshot.job),
        Record::HostUsed { .. }
        | Record::HostLeaving { .. }
        | Record::HostReleased { .. }
        | Record::TeamUse(_) => None,
    }
}

/// Returns the worker that a record is about.
pub(super) fn host_of(record: &Record) -> Option<Name> {
    match record {
        Record::HostUsed { host, .. }
        | Record::HostLeaving { host, .. }
        | Record::HostReleased { host } => Some(host.clone()),
        _ => None,
    }
}

/// Returns whether a record is about the past use of the teams.
pub(super) fn is_team_use(record: &Record) -> bool {
    matches!(record, Record::TeamUse(_))
}

/// Returns the estimated size of an encoded record, in bytes.
pub(super) fn size(record: &Record) -> usize {
    match record {
        Record::Accepted { spec, .. } => {
            RECORD_BYTES + spec.payload.len() + spec.steps.len() * STEP_BYTES
        }
        Record::HostLeaving { runs, .. } => RECORD_BYTES + runs.len() * RUN_BYTES,
        Record::TeamUse(team_use) => RECORD_BYTES + team_use.teams.len() * TEAM_BYTES,
        _ => RECORD_BYTES,
    }
}
