//! Keys and encoding of the log's pages in the store.
//!
//! Definitions of queues are stored beside the page of their time, under a key of their own. Older
//! builds skip such keys, but can't read a page with a kind of record that they don't know. The
//! definitions are in JSON, so that queues may get further settings.
//!
//! The size of a record is estimated before it is encoded, so that the journal can bound the
//! new records of a page.

use displaydoc::Display;
use sycamore_graph::{QueueDefined, Record, job};
use sycamore_types::Name;

/// Prefix of the keys of all pages.
pub(super) const PREFIX: &str = "sycamore/log/";

/// Follows the key of a page in the key of the definitions beside it.
const QUEUES_SUFFIX: &str = ".queues";

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

/// Returns the key of the definitions of queues beside a page.
pub(super) fn queues_key(number: u64) -> String {
    key(number) + QUEUES_SUFFIX
}

/// Returns the number of the page beside which definitions of queues are stored, from their key.
pub(super) fn number_of_queues(key: &str) -> Option<u64> {
    number(key.strip_suffix(QUEUES_SUFFIX)?)
}

pub(super) fn encode_queues(definitions: &[QueueDefined]) -> Result<Vec<u8>, PageError> {
    serde_json::to_vec(definitions).map_err(|error| PageError(error.to_string()))
}

pub(super) fn decode_queues(bytes: &[u8]) -> Result<Vec<QueueDefined>, PageError> {
    serde_json::from_slice(bytes).map_err(|error| PageError(error.to_string()))
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
        | Record::TeamUse(_)
        | Record::QueueDefined(_) => None,
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

/// Separates the definitions of queues from the records that belong in the page.
pub(super) fn split_off_queues(records: Vec<Record>) -> (Vec<QueueDefined>, Vec<Record>) {
    let mut definitions = Vec::new();
    let mut others = Vec::with_capacity(records.len());
    for record in records {
        match record {
            Record::QueueDefined(definition) => definitions.push(definition),
            other => others.push(other),
        }
    }
    (definitions, others)
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
