//! Inputs of the engine: requests of callers, replies of hosts, and the passing of time.
//!
//! A reply may arrive late, twice or not at all. Polls carry a number and run ends a
//! sequence number, so that the engine recognises outdated and repeated ones.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use sycamore_types::Name;
use sycamore_types::resources::Resources;

use crate::catalog::Catalog;
use crate::host::RunEnd;
use crate::job::{self, Spec};
use crate::{CallClass, StepId, TaskId};

/// The time at which an event is handled.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Moment {
    /// Monotonic clock of the owner, in milliseconds from an arbitrary origin.
    pub monotonic_ms: u64,
    /// Wall clock, in milliseconds since 1970.
    pub unix_ms: u64,
}

/// A host as the platform lists it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HostEntry {
    /// Name of the host.
    pub id: Name,
    /// Start time of the host's current incarnation, in milliseconds since 1970. A
    /// restart under the same name has a later one. Zero if unknown.
    pub incarnation: u64,
    /// Address of the host. `None` if unknown.
    pub address: Option<SocketAddr>,
    /// Service that the host belongs to.
    pub service: Name,
    /// Resources that all runs on the host may use together.
    pub capacity: Resources,
    /// Labels that steps can require.
    pub labels: Arc<[Name]>,
    /// Rack of the host.
    pub rack: Name,
    /// Failure domain of the host, empty if unknown.
    pub failure_domain: Name,
    /// The host takes no new tasks.
    pub is_draining: bool,
}

/// A lower bound of the time at which a host last wrote its entry, and for how long it goes on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Reading {
    /// Name of the host.
    pub host: Name,
    /// Incarnation that the entry names.
    pub incarnation: u64,
    /// The entry was not written before this time of [`Moment::monotonic_ms`], in milliseconds.
    /// A time and not an age, because the event may wait before it is handled.
    pub written_ms: u64,
    /// Shortest time for which the host goes on after it has written the entry, in milliseconds.
    /// Zero unless it drains and has announced one.
    pub remaining_ms: u64,
}

/// A host's reply to a poll.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Start time of the incarnation that replied, in milliseconds since 1970.
    pub incarnation: u64,
    /// The host's clock, in milliseconds.
    pub clock_ms: u64,
    /// Current runs: task, attempt, checkpoint, progress in percent.
    pub running: Vec<(TaskId, u32, Name, u8)>,
    /// Run ends in order: number, task, attempt, how it ended, checkpoint. The host
    /// repeats them in each report until they are acknowledged.
    pub ended: Vec<(u64, TaskId, u32, RunEnd, Name)>,
    /// The report is not complete: the host has more run ends than fit into one report, or some rows
    /// could not be read.
    pub is_truncated: bool,
}

/// Outcome of a start request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StartOutcome {
    /// The run exists.
    Started,
    /// The request had no effect and never will have.
    Rejected,
    /// The host has seen a higher fencing token.
    Fenced,
    /// The host lacks free capacity.
    NoRoom,
    /// The host did not accept the advice ticket.
    BadTicket,
    /// Another incarnation replied at the host's address.
    Gone,
    /// The task may have been started or may still be: no reply arrived, or an
    /// unexpected one.
    Unknown,
}

/// Input of the engine.
#[derive(Clone, Debug)]
pub enum Event {
    /// Sent at a regular interval; drives timeouts and retries.
    Tick,
    /// This process was certainly still the owner at these times of [`Moment::monotonic_ms`], in
    /// milliseconds. They may be earlier than those before if the monotonic clock stood still while
    /// the host was suspended.
    Confirmed {
        /// Last time at which no other process can have replaced it. Leases and starts depend on it.
        at_ms: u64,
        /// Last time at which the store named it as the owner. Leases that end later don't count as
        /// expired.
        by_store_ms: u64,
    },
    /// A newer configuration is in force.
    Configured(Catalog),
    /// The platform's list of hosts was read.
    Listed(Vec<HostEntry>),
    /// Hosts have written their entries again. The entries are those of the last
    /// [`Event::Listed`].
    Dated(Vec<Reading>),
    /// The complete set of failure domains that are evacuated now: no task may start on their
    /// hosts. Without this event, none is.
    Evacuating(BTreeSet<Name>),
    /// A caller submits a job.
    Submit {
        /// Token that the reply repeats.
        token: u64,
        /// Name of the job.
        job: job::Id,
        /// Queue that the job goes to.
        queue: Name,
        /// Team that owns the job.
        team: Name,
        /// Specification of the job.
        spec: Spec,
    },
    /// A caller cancels a job.
    Cancel {
        /// Token that the reply repeats.
        token: u64,
        /// Name of the job.
        job: job::Id,
        /// Team of the caller.
        team: Name,
    },
    /// A caller queries the state of a job.
    Query {
        /// Token that the reply repeats.
        token: u64,
        /// Name of the job.
        job: job::Id,
        /// Team of the caller.
        team: Name,
    },
    /// A caller queries how many jobs of a queue wait for their first task to start.
    Count {
        /// Token that the reply repeats.
        token: u64,
        /// Name of the queue.
        queue: Name,
    },
    /// Number of this engine's records that are durable, counted from its first one.
    Committed(u64),
    /// A host replied to a poll.
    Polled {
        /// Name of the host.
        host: Name,
        /// Number of the poll.
        poll: u64,
        /// The reply.
        report: Report,
    },
    /// A poll got no usable reply.
    PollFailed {
        /// Name of the host.
        host: Name,
        /// Number of the poll.
        poll: u64,
        /// Another incarnation replied at the host's address.
        is_gone: bool,
    },
    /// The outcome of a start request is known, or known to be in doubt.
    Started {
        /// Name of the host.
        host: Name,
        /// Task of the request.
        task: TaskId,
        /// Attempt number of the request.
        attempt: u32,
        /// What became of the request.
        outcome: StartOutcome,
        /// The host's clock, in milliseconds. Zero if unknown.
        clock_ms: u64,
    },
    /// A stop request got a reply or has failed.
    Stopped {
        /// Name of the host.
        host: Name,
        /// Task of the request.
        task: TaskId,
        /// Attempt number of the request.
        attempt: u32,
        /// The host accepted the request.
        is_accepted: bool,
    },
    /// Number of calls for advice that may be in flight at once, by class.
    AdviceConcurrency([u32; CallClass::COUNT]),
    /// A call for advice ended.
    Advised {
        /// Step of the call.
        step: StepId,
        /// Duration class of the call.
        class: CallClass,
        /// Hosts that the call asked about.
        asked: Vec<Name>,
        /// Hosts that may run the step, each with its ticket. `None` if the call failed.
        allowed: Option<Vec<(Name, Name)>>,
        /// The tickets were not issued before this time of [`Moment::monotonic_ms`], in
        /// milliseconds.
        issued_ms: u64,
    },
}
