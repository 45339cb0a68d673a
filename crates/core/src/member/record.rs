//! Record in the store by which members find each other.
//!
//! It names the peers whose promises count, so that a process that joined later
//! uses the same quorum as the member itself.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};
use sycamore_types::id::Revision;
use sycamore_types::{Name, id};

/// Role of a process in the deployment.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Accepts requests from callers and operators.
    Entry,
    /// Owns shards and schedules their work.
    Scheduler,
}

/// Record that a member keeps in the store and renews.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Record {
    /// Member that the record belongs to.
    pub member: id::Member,
    /// Role of the member.
    pub role: Role,
    /// IP address and port at which peers connect to the member.
    pub address: Name,
    /// Failure domain of the member.
    pub failure_domain: Name,
    /// Number of renewals, so that each one changes the record.
    pub renewals: u64,
    /// Schedulers whose promises can extend the member's lease through a store outage.
    pub peers: BTreeSet<id::Member>,
    /// Latest revision that the member knew its record to have when it wrote this
    /// version.
    pub confirmed: Revision,
    /// The member may have accepted idempotency keys that are not in the log yet.
    pub has_unlogged: bool,
    /// The member is stopping and is assigned no more shards.
    pub is_leaving: bool,
    /// Member that fenced this one.
    pub fenced_by: Option<id::Member>,
}
