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
    /// Asks for a promise not to take over from the sender.
    AskPromise {
        /// Number of the round; the answer repeats it.
        round: u64,
        /// Revision that the sender knows its record to have.
        revision: Revision,
    },
    /// Promises not to take over from the receiver.
    Promise {
        /// Round that the promise answers.
        round: u64,
        /// Time for which the promise holds, from when the round began.
        span: Duration,
    },
    /// Tells the receiver that it was fenced and must start anew.
    Fenced,
    /// Asks whether a promise to the subject, whom the sender has fenced, is still out.
    AskVote {
        /// Member that was fenced.
        subject: id::Member,
    },
    /// States that no promise to the subject is out and that none will be given.
    Vote {
        /// Member that was fenced.
        subject: id::Member,
        /// Revision that the subject had when the voter last promised it something.
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
    /// Tells that the owners' document has changed.
    OwnersChanged {
        /// Revision of the document.
        revision: Revision,
    },
    /// What an owner's shards have and want.
    Summaries(Vec<Summary>),
    /// What the ledger grants to one shard.
    Grant(Grant),
    /// Asks the owner of a shard to bind itself to less.
    Lower {
        /// The shard.
        shard: id::Shard,
        /// Epoch of the owner that is asked.
        epoch: Epoch,
        /// Wanted caps by team.
        teams: BTreeMap<Name, u32>,
    },
    /// What runs over the whole fleet.
    Usage {
        /// Capacity of all hosts.
        capacity: Resources,
        /// Capacity in use, by team.
        teams: BTreeMap<Name, Resources>,
    },
    /// A configuration that is on record in the store.
    Config {
        /// Revision of the document.
        revision: Revision,
        /// The document.
        document: Box<Document>,
    },
    /// Asks for the configuration that the receiver has in force.
    AskConfig,
}
