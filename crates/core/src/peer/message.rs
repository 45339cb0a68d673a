//! The messages that schedulers exchange.
//!
//! Messages carry what the store can't, because it is unavailable or too slow: promises and votes
//! during an outage, and reports, grants and change notices that would cost too many writes.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use sycamore_types::config::Document;
use sycamore_types::id::{Epoch, Revision};
use sycamore_types::resources::Resources;
use sycamore_types::{Name, id};

use super::{Grant, Summary};

/// A message from one decision core to another.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Message {
    /// Asks for a promise not to take over the sender's shards.
    AskPromise {
        /// Number of the round of requests; the promise repeats it.
        round: u64,
        /// Latest revision that the sender knows its member record to have.
        revision: Revision,
    },
    /// Promises not to take over the receiver's shards.
    Promise {
        /// Round of requests that the promise belongs to.
        round: u64,
        /// Time for which the promise holds, from the start of the round.
        span: Duration,
    },
    /// Tells the receiver that it was fenced and must rejoin as a new member.
    Fenced,
    /// Asks whether a promise to the subject, which the sender has fenced, is still in force.
    AskVote {
        /// Member that was fenced.
        subject: id::Member,
    },
    /// States that no promise to the subject is in force and that none will be given.
    Vote {
        /// Member that was fenced.
        subject: id::Member,
        /// Revision that the subject named when the voter last gave it a promise.
        promised_at: Option<Revision>,
    },
    /// Asks the owner of a shard to hand it over.
    Release {
        /// The shard.
        shard: id::Shard,
        /// Epoch of the owner that is asked.
        epoch: Epoch,
        /// Member that is to become the owner.
        to: id::Member,
    },
    /// Notifies the receiver that the owners document has changed.
    OwnersChanged {
        /// Revision of the document.
        revision: Revision,
    },
    /// Reports the usage and demand of the sender's shards to the planner.
    Summaries(Vec<Summary>),
    /// Tells the owner of a shard what the ledger grants to it.
    Grant(Grant),
    /// Asks the owner of a shard to lower its caps.
    Lower {
        /// The shard.
        shard: id::Shard,
        /// Epoch of the owner that is asked.
        epoch: Epoch,
        /// Wanted caps, by team.
        teams: BTreeMap<Name, u32>,
    },
    /// Announces what runs on the whole fleet.
    Usage {
        /// Total capacity of the hosts.
        capacity: Resources,
        /// Capacity in use, by team.
        teams: BTreeMap<Name, Resources>,
    },
    /// Tells the receiver the configuration that the sender has in force.
    Config {
        /// Revision of the document.
        revision: Revision,
        /// The document.
        document: Box<Document>,
    },
    /// Asks for the configuration that the receiver has in force.
    AskConfig,
}
