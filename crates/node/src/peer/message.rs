use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use sycamore_graph::StepId;
use sycamore_graph::job::{Id, Spec, State};
use sycamore_types::Name;

/// A call between processes.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) enum Command {
    Ping(Ping),
    /// A caller's request, for the owner.
    #[serde(rename = "Ask")]
    CallerRequest(CallerRequest),
    /// Ask the advice service in the owner's place.
    Advise {
        step: StepId,
        hosts: Vec<Name>,
        timeout_ms: u64,
    },
    /// Send the configuration in force.
    Config,
    /// Tell when the owner was last heard.
    #[serde(rename = "Heard")]
    QueryOwner,
}

/// The answer to a call.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) enum Reply {
    Pong(Pong),
    #[serde(rename = "Verdict")]
    Outcome(RequestOutcome),
    /// Allowed workers with their tickets; `None` when there was no advice.
    Advice(Option<Vec<(Name, Name)>>),
    Config(Option<Vec<u8>>),
    /// The owner, if it was heard within the last moments.
    #[serde(rename = "Heard")]
    Owner(Option<Owner>),
}

/// The process that owns, as far as somebody knows.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct Owner {
    pub epoch: u64,
    pub host: Name,
    pub address: SocketAddr,
}

/// Asks whether the owner is there.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct Ping {
    pub host: Name,
    pub address: SocketAddr,
    pub config_version: u64,
    /// The newest owner that the sender knows of.
    pub owner: Option<Owner>,
}

/// What a process is, and what it knows of the others.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct Pong {
    pub role: Role,
    /// The newest owner that the sender knows of.
    pub owner: Option<Owner>,
    pub config_version: u64,
    /// The store answers to this process.
    #[serde(rename = "store_is_near")]
    pub is_store_reachable: bool,
    /// The process is stopping; an owner goes on until another takes over.
    pub is_leaving: bool,
    /// Processes that the owner has heard of.
    pub peers: Vec<(Name, SocketAddr)>,
}

#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) enum Role {
    Owner { epoch: u64 },
    Follower,
}

/// A caller's request.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) enum CallerRequest {
    Submit { job: Id, queue: Name, team: Name, spec: Spec },
    Cancel { job: Id, team: Name },
    Query { job: Id, team: Name },
    Count { queue: Name },
}

/// The owner's answer to a caller's request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) enum RequestOutcome {
    Accepted,
    Cancelled,
    State(State),
    Count(u64),
    NoSuchJob,
    /// This process does not own; nothing was done.
    NotOwner,
    /// This process can't reach anybody; nothing was done.
    Detached,
    /// The store is away; nothing was done.
    StoreAway,
    /// The owner stopped before it could tell.
    Unknown,
}
