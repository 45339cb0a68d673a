use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};
use sycamore_types::id::Revision;
use sycamore_types::{Name, id};

/// What a process does in the deployment.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Takes the calls of callers and operators.
    Entry,
    /// Owns shards.
    Scheduler,
}

/// The record that a member keeps in the store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Record {
    /// The member.
    pub member: id::Member,
    /// What it does.
    pub role: Role,
    /// IP address and port at which peers reach it.
    pub address: Name,
    /// Failure domain that it stands in.
    pub failure_domain: Name,
    /// Counts the renewals, so that each one changes the record.
    pub renewals: u64,
    /// Schedulers whose promises carry the member through an outage.
    pub peers: BTreeSet<id::Member>,
    /// Revision that the member knew its record to have when it wrote this one.
    pub confirmed: Revision,
    /// Idempotency keys were taken in without being logged, and still are unlogged.
    pub has_unlogged: bool,
    /// The member has been told to stop and takes no more shards.
    pub is_leaving: bool,
    /// Member that fenced this one.
    pub fenced_by: Option<id::Member>,
}
