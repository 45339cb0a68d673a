//! A deployment of several decision cores, a store and workers on a virtual clock.
//!
//! It does not model the performance of a cluster. It performs the actions of
//! the cores, late, twice or not at all, and checks the invariants at every
//! start of a task and the team limits after every event. All randomness comes
//! from one seed, so that a run is repeatable.

mod build;
mod callers;
mod checks;
mod clock;
mod events;
mod faults;
mod store;
mod worker;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use sycamore_core::caller::{Answer, Request, Submission, Token};
use sycamore_core::{
    Action, Ending, Event, Identity, InjectedBugs, Node, Timing, store as core_store,
};
use sycamore_core::{peer, worker as core_worker};
use sycamore_types::config::{Document, Team};
use sycamore_types::host::Host;
use sycamore_types::job::{Kind, Spec};
use sycamore_types::outcome::Certainty;
use sycamore_types::resources::Resources;
use sycamore_types::{Name, id, label};

pub use checks::Checks;
use clock::Clock;
use store::Store;
pub use worker::Worker;

/// Time between two ticks of a core.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Time between two reads of the host list by a process.
const HOST_LIST_INTERVAL: Duration = Duration::from_secs(1);

/// Time after which a process gives up waiting for a reply of the store.
const STORE_TIMEOUT: Duration = Duration::from_millis(400);

/// A scheduler process: a decision core with its clock and its faults.
pub struct Process {
    pub node: Node,
    clock: Clock,
    /// Incremented at each crash and restart, so that inputs and replies for an
    /// earlier run of the process are dropped.
    incarnation: u32,
    pub is_up: bool,
    pub is_paused: bool,
    pub is_partitioned_from_store: bool,
    pub is_partitioned_from_peers: bool,
    /// Latest revision of the configuration that the core had in force.
    config_revision: u64,
    next_host_read: Duration,
}

/// An event scheduled on the virtual clock. The first field is the index of the
/// process.
enum SimEvent {
    /// The process ticks.
    Tick(usize),
    /// The core gets an input.
    Deliver(usize, Event),
    /// The process performs an action of its core.
    Perform(usize, Action),
    /// A call of the process reaches the store.
    StoreCall(usize, u64, core_store::Op),
    /// A call of the process reaches a worker.
    WorkerCall(usize, u64, Name, core_worker::Op),
    /// An interactive request that the process dispatched reaches its worker.
    RequestArrives(usize, Token, Name, Box<core_worker::Launch>),
}

/// Faults of the store.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreFault {
    /// No call gets through.
    pub is_down: bool,
    /// Every write takes effect, but its reply is lost.
    pub loses_replies: bool,
    /// Every call arrives later by half the store timeout.
    pub is_slow: bool,
}

/// A simulated deployment with its callers, its faults and the virtual clock.
pub struct World {
    /// Virtual time.
    pub now: Duration,
    rng: SmallRng,
    pub processes: Vec<Process>,
    pub store: Store,
    pub store_fault: StoreFault,
    pub workers: BTreeMap<Name, Worker>,
    pub checks: Checks,
    /// Last answer to each call of a caller.
    pub answers: BTreeMap<Token, Answer>,
    /// Job or request that each token was allocated for.
    pub jobs_by_token: BTreeMap<Token, id::Job>,
    /// Jobs that run until they are cancelled.
    pub services: BTreeSet<id::Job>,
    /// Scheduled events by time and sequence number, each with the incarnation of
    /// the process that it belongs to.
    event_queue: BTreeMap<(Duration, u64), (u32, SimEvent)>,
    /// Sequence number of the last scheduled event.
    sequence: u64,
    next_token: Token,
    /// Limits of the teams in the latest configuration.
    pub limits: BTreeMap<Name, u32>,
    /// Time before which limits are not checked, since one was lowered.
    pub limits_checked_from: Duration,
    pub timing: Timing,
    pub config: Document,
    pub config_revision: u64,
    /// Messages between peers are lost, duplicated or delayed.
    pub disrupts_peer_messages: bool,
    /// Kinds of the actions that any core has returned, such as `start` or `page`.
    /// Tests clear the set and wait for a kind to appear.
    pub seen_actions: BTreeSet<&'static str>,
}

/// Builds a configuration with the given limits by team.
pub fn config(limits: &[(&str, u32)]) -> Document {
    let team = |(name, limit): &(&str, u32)| {
        (Name::from(*name), Team { weight: 1, limit: *limit, urgent: true })
    };
    Document { teams: limits.iter().map(team).collect(), ..Document::default() }
}

/// Builds a host with four slots.
pub fn host(name: &str, rack: &str) -> Host {
    Host {
        name: Name::from(name),
        address: Name::from(name),
        rack: Name::from(rack),
        failure_domain: Name::from("d"),
        capacity: Resources {
            cpu_millis: 8_000,
            memory_mib: 16_000,
            accelerators: 0,
            slots: 4,
            connections: 16,
        },
        labels: label::Set::default(),
        is_leaving: false,
    }
}

/// Returns the size of a task: one of the four slots of a host.
pub fn size() -> Resources {
    Resources { cpu_millis: 1_000, memory_mib: 1_000, slots: 1, ..Resources::default() }
}

/// Builds the specification of a restartable batch job.
pub fn spec(tasks: u32, run_ms: u64) -> Spec {
    Spec { tasks, size: size(), run_ms, restartable: true, ..Spec::default() }
}
