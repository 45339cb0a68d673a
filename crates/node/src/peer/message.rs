//! Messages between processes.
//!
//! They are encoded without names, so that the order of fields and variants is part of the
//! protocol.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use sycamore_graph::StepId;
use sycamore_graph::job::{Id, Spec, State};
use sycamore_types::Name;

use super::AdviceFailure;

/// A call from one process to another.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) enum Command {
    Ping(Ping),
    /// Asks the owner to answer a caller's request.
    #[serde(rename = "Ask")]
    CallerRequest(CallerRequest),
    /// Asks the receiver to call the advice service on behalf of the owner.
    Advise {
        step: StepId,
        hosts: Vec<Name>,
        timeout_ms: u64,
    },
    /// Asks for the configuration in force.
    Config,
    /// Asks which owner the receiver has heard from recently.
    #[serde(rename = "Heard")]
    QueryOwner,
    /// Opens a session in which the receiver carries out the owner's calls to workers.
    Execute,
    /// Asks whether the owner with this epoch may have been replaced. Earlier versions can't decode it.
    ConfirmOwner {
        epoch: u64,
        /// The receiver may read the owner record.
        may_read: bool,
    },
}

/// The reply to a [`Command`].
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) enum Reply {
    Pong(Pong),
    #[serde(rename = "Verdict")]
    Outcome(RequestOutcome),
    /// Allowed workers with their tickets. Earlier versions reply `None` to a failed call.
    Advice(Option<Vec<(Name, Name)>>),
    /// Source of the configuration in force, if there is one.
    Config(Option<Vec<u8>>),
    /// The owner, if the sender has heard from it recently or is the owner itself.
    #[serde(rename = "Heard")]
    Owner(Option<Owner>),
    /// Why a call for advice failed. Earlier versions can't decode it, and count it as failed too.
    AdviceFailure(AdviceFailure),
    /// What the sender knows about an owner.
    OwnerStatus(OwnerStatus),
}

/// What a process knows about an owner, in reply to [`Command::ConfirmOwner`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) enum OwnerStatus {
    /// The store has just named it as the owner.
    Confirmed,
    /// Another process has become the owner.
    Superseded(Owner),
    /// The sender is not a newer owner and knows of none. The store has not told it either.
    Unopposed,
}

/// Identity of an owner.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct Owner {
    pub epoch: u64,
    pub host: Name,
    pub address: SocketAddr,
}

/// Heartbeat of a process to the owner.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct Ping {
    pub host: Name,
    pub address: SocketAddr,
    pub config_version: u64,
    /// The newest owner that the sender knows of.
    pub owner: Option<Owner>,
}

/// Reply to a [`Ping`]: the state of the sender and what it knows of the others.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct Pong {
    pub role: Role,
    /// The newest owner that the sender knows of.
    pub owner: Option<Owner>,
    pub config_version: u64,
    /// The sender can use the store; for an owner, its log writes succeed as well.
    #[serde(rename = "store_is_near")]
    pub is_store_reachable: bool,
    /// The sender is stopping; as the owner it keeps working until another takes over.
    pub is_leaving: bool,
    /// Processes that pinged the sender recently. Empty if the receiver has been sent the same
    /// list before.
    pub peers: Vec<(Name, SocketAddr)>,
}

#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) enum Role {
    Owner { epoch: u64 },
    Follower,
}

/// A caller's request, which only the owner can answer.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) enum CallerRequest {
    Submit {
        job: Id,
        queue: Name,
        team: Name,
        spec: Spec,
    },
    Cancel {
        job: Id,
        team: Name,
    },
    /// Asks for the state of a job.
    Query {
        job: Id,
        team: Name,
    },
    /// Asks how many jobs wait in a queue.
    Count {
        queue: Name,
    },
}

/// Result of a caller's request. Requests are logged with the `Debug` form.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) enum RequestOutcome {
    /// The job is durable.
    Accepted,
    Cancelled,
    State(State),
    /// Number of jobs that wait in the queue.
    Count(u64),
    NoSuchJob,
    /// The process that was asked is not the owner and did nothing.
    NotOwner,
    /// This process reaches neither the owner, the store nor any peer; nothing was done.
    Detached,
    /// The owner can't write its log and did nothing.
    StoreAway,
    /// No reply came; the request may have been carried out.
    Unknown,
    /// The owner refused the job, since its queue is restricted; nothing was done.
    Overloaded,
    /// The owner refused the job, since it has no memory for more jobs of the team; nothing was done.
    /// Earlier versions can't decode it, and answer that the outcome is not known.
    NoMemory,
}
