//! Decisions as they are recorded.
//!
//! Sequence numbers without gaps in each epoch let an audit detect missing records.

use serde::{Deserialize, Serialize};
use sycamore_types::id::{Epoch, Revision};
use sycamore_types::{Name, id};

use super::{Grounds, StartReason};

/// The outcome of a decision.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// Work was started on a host.
    Started {
        /// Host that runs it.
        host: Name,
        /// Why this work was started before the others.
        why: StartReason,
    },
    /// Work was stopped in favour of urgent work or for a lowered limit.
    Preempted {
        /// Host that ran it.
        host: Name,
    },
    /// A job or request was refused.
    Refused {
        /// Reason code.
        reason: Name,
    },
    /// A task ended.
    Ended {
        /// Whether the task succeeded.
        is_success: bool,
    },
    /// A job that is a graph of steps was accepted.
    Accepted,
    /// A task of such a job was started.
    Placed {
        /// Host that runs it.
        host: Name,
        /// Number of the attempt.
        attempt: u32,
        /// Values that the decision was based on.
        grounds: Grounds,
    },
    /// An attempt at a task of such a job ended.
    RunEnded {
        /// Host that ran it.
        host: Name,
        /// Number of the attempt.
        attempt: u32,
        /// How it ended.
        how: Name,
    },
    /// A job that is a graph of steps reached its final state.
    Closed {
        /// The final state.
        state: Name,
    },
    /// A member became the owner of the shard.
    Owned {
        /// The owner.
        owner: id::Member,
    },
    /// A job that is a graph of steps was given up, because hosts crash under one of its tasks.
    GivenUp {
        /// Number of hosts that crashed or were lost under the task.
        crashes: u32,
    },
    /// An attempt at a task of such a job was stopped to give room to a step of a more urgent
    /// queue, or to a gang for which the room was kept.
    PreemptedFor {
        /// Host that ran it.
        host: Name,
        /// Number of the attempt.
        attempt: u32,
        /// Step that gets the room.
        beneficiary: String,
        /// Work that is lost and time to resume, in core-milliseconds.
        cost_core_ms: u64,
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
    /// Sequence number of the decision, counted from 1 in each epoch.
    pub sequence: u64,
    /// Revision of the configuration that was in force.
    pub config: Revision,
    /// Job or request that the decision is about. Empty for decisions about the shard.
    pub subject: String,
    /// Team that the subject is charged to.
    pub team: Name,
    /// Outcome of the decision.
    pub verdict: Verdict,
}
