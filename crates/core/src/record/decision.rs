use serde::{Deserialize, Serialize};
use sycamore_types::id::{Epoch, Revision};
use sycamore_types::{Name, id};

use super::{Grounds, StartReason};

/// What was decided.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// Work was started on a host.
    Started {
        /// Host that runs it.
        host: Name,
        /// Why this work went before the others.
        why: StartReason,
    },
    /// Work was stopped to make room for urgent work.
    Preempted {
        /// Host that ran it.
        host: Name,
    },
    /// Work was refused.
    Refused {
        /// Code of the reason.
        reason: Name,
    },
    /// A task ended.
    Ended {
        /// It ended well.
        is_success: bool,
    },
    /// A job of a graph of steps was accepted.
    Accepted,
    /// A task of a graph was started.
    Placed {
        /// Host that runs it.
        host: Name,
        /// Number of the start.
        attempt: u32,
        /// What decided.
        grounds: Grounds,
    },
    /// A run of a task of a graph ended.
    RunEnded {
        /// Host that ran it.
        host: Name,
        /// Number of the start.
        attempt: u32,
        /// How it ended.
        how: Name,
    },
    /// A job of a graph has its last state.
    Closed {
        /// The state.
        state: Name,
    },
    /// A member became the owner of the shard.
    Owned {
        /// The owner.
        owner: id::Member,
    },
}

/// One decision of the owner of a shard.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Decision {
    /// Shard that the decision is about.
    pub shard: id::Shard,
    /// Epoch of the owner that decided.
    pub epoch: Epoch,
    /// Place in the owner's order, from 1 in each epoch.
    pub sequence: u64,
    /// Revision of the configuration that was in force.
    pub config: Revision,
    /// Job or request that the decision is about. Empty for decisions about the shard.
    pub subject: String,
    /// Team that the subject counts for.
    pub team: Name,
    /// What was decided.
    pub verdict: Verdict,
}
