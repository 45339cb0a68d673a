//! A few decision cores, a store and workers on a virtual clock.
//!
//! This is no simulator of a cluster: it delivers what the cores ask for,
//! late, twice or not at all, and checks the invariants at every start.

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

/// Time between two reads of the host list.
const HOST_LIST_INTERVAL: Duration = Duration::from_secs(1);

/// Time after which a call to the store counts as lost.
const STORE_TIMEOUT: Duration = Duration::from_millis(400);

/// One process.
pub struct Process {
    pub node: Node,
    clock: Clock,
    /// Life of the process: what was meant for an earlier one is dropped.
    incarnation: u32,
    pub is_up: bool,
    pub is_paused: bool,
    pub is_partitioned_from_store: bool,
    pub is_partitioned_from_peers: bool,
    config_revision: u64,
    next_host_read: Duration,
}

/// Something that will happen.
enum SimEvent {
    Tick(usize),
    Deliver(usize, Event),
    Perform(usize, Action),
    StoreCall(usize, u64, core_store::Op),
    WorkerCall(usize, u64, Name, core_worker::Op),
    RequestArrives(usize, Token, Name, Box<core_worker::Launch>),
}

/// How the store misbehaves.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreFault {
    pub is_down: bool,
    /// Every write takes effect and its reply is lost.
    pub loses_replies: bool,
    pub is_slow: bool,
}

/// Everything together.
pub struct World {
    pub now: Duration,
    rng: SmallRng,
    pub processes: Vec<Process>,
    pub store: Store,
    pub store_fault: StoreFault,
    pub workers: BTreeMap<Name, Worker>,
    pub checks: Checks,
    pub answers: BTreeMap<Token, Answer>,
    pub jobs_by_token: BTreeMap<Token, id::Job>,
    /// Jobs that run until they are cancelled.
    pub services: BTreeSet<id::Job>,
    event_queue: BTreeMap<(Duration, u64), (u32, SimEvent)>,
    sequence: u64,
    next_token: Token,
    pub limits: BTreeMap<Name, u32>,
    /// Limits are not compared before this time, since one was just lowered.
    pub limits_checked_from: Duration,
    pub timing: Timing,
    pub config: Document,
    pub config_revision: u64,
    /// Copies and delays of messages between peers.
    pub disrupts_peer_messages: bool,
    /// Called for with every action before it is carried out.
    pub seen_actions: BTreeSet<&'static str>,
}

/// Builds a configuration with limits by team.
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

/// Builds the size of a small task.
pub fn size() -> Resources {
    Resources { cpu_millis: 1_000, memory_mib: 1_000, slots: 1, ..Resources::default() }
}

/// Builds a job of a few tasks.
pub fn spec(tasks: u32, run_ms: u64) -> Spec {
    Spec { tasks, size: size(), run_ms, restartable: true, ..Spec::default() }
}
