//! Messages between the owner and a peer that carries out its calls to workers.
//!
//! A session is one stream: after [`Command::Execute`](super::Command::Execute) the owner sends
//! frames of [`OrderBatch`], and the peer replies with frames of [`ResultBatch`]. The engine's
//! types are encoded field by field, so that the engine needs no encoding of its own.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use sycamore_graph::{Report, RunEnd, StartOutcome, TaskId};
use sycamore_platform::site::CallOutcome;
use sycamore_types::Name;

use super::Owner;

/// Time for which orders, and likewise their results, are gathered into one batch.
pub(crate) const GATHER_TIME: std::time::Duration = std::time::Duration::from_millis(5);

/// Most orders or results in one batch. Reports of 500 ends each still fit into a frame.
pub(crate) const MAX_BATCH_LEN: usize = 64;

/// Most orders of one session that have no result yet. A peer on a tenth of a core keeps up with
/// the polls of about 200 workers, and starts and stops come on top.
pub(crate) const MAX_ORDERS_IN_FLIGHT: usize = 512;

/// Orders for some workers, from the owner to a peer.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) struct OrderBatch {
    /// Fencing token of the owner, which the calls to the workers carry.
    pub epoch: u64,
    pub number: u64,
    /// The peer confirms at once that it has received the batch.
    pub wants_receipt: bool,
    pub orders: Vec<Order>,
}

/// One call to a worker.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct Order {
    /// Number of the order within the session.
    pub id: u64,
    /// Name of the worker.
    pub host: Name,
    /// Address of the worker.
    pub address: SocketAddr,
    pub call: WorkerCall,
}

/// The kinds of calls to a worker, with the fields of the engine's requests.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) enum WorkerCall {
    Start {
        task: TaskId,
        attempt: u32,
        payload: Name,
        deadline_ms: u64,
        ticket: Option<Name>,
        checkpoint: Name,
    },
    Stop {
        task: TaskId,
        attempt: u32,
    },
    Poll {
        ack: u64,
        deadline_ms: Option<u64>,
        wait_ms: u64,
    },
}

/// Results of some orders, from a peer to the owner.
#[derive(Debug, Default, Deserialize, Serialize)]
pub(crate) struct ResultBatch {
    /// Number of the newest batch whose receipt was asked for, if not confirmed before.
    pub receipt: Option<u64>,
    /// The peer is stopping and takes no further orders.
    pub is_leaving: bool,
    /// The peer knows of a newer owner and has refused the last batch.
    pub newer_owner: Option<Owner>,
    pub results: Vec<OrderResult>,
}

#[derive(Debug, Deserialize, Serialize)]
pub(crate) struct OrderResult {
    /// Number of the order.
    pub id: u64,
    pub outcome: WorkerOutcome,
}

/// Outcome of a call to a worker.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) enum WorkerOutcome {
    Started {
        #[serde(with = "StartOutcomeFields")]
        outcome: StartOutcome,
        /// The worker's clock in milliseconds, or zero if it is unknown.
        clock_ms: u64,
    },
    Stopped(#[serde(with = "CallOutcomeFields")] CallOutcome),
    Polled(#[serde(with = "ReportFields")] Report),
    PollFailed(#[serde(with = "CallOutcomeFields")] CallOutcome),
}

#[derive(Deserialize, Serialize)]
#[serde(remote = "StartOutcome")]
enum StartOutcomeFields {
    Started,
    Rejected,
    Fenced,
    NoRoom,
    BadTicket,
    Gone,
    Unknown,
}

#[derive(Deserialize, Serialize)]
#[serde(remote = "CallOutcome")]
enum CallOutcomeFields {
    Taken,
    Gone,
    Fenced,
    Refused,
    Unknown,
}

#[derive(Deserialize, Serialize)]
#[serde(remote = "Report")]
struct ReportFields {
    incarnation: u64,
    clock_ms: u64,
    running: Vec<(TaskId, u32, Name, u8)>,
    ended: Vec<(u64, TaskId, u32, RunEnd, Name)>,
    is_truncated: bool,
}
