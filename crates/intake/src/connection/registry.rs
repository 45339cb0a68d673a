//! The open connections of one listener.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use sycamore_telemetry::metrics::prometheus::{IntCounter, IntGauge};
use tokio::sync::Notify;

/// Largest number of descriptors that the platform reserves for files.
const MAX_FILE_DESCRIPTORS: usize = 200;

/// Largest part of the process's memory that callers' connections take beside their bodies, as a
/// divisor.
const MEMORY_SHARE_DIVISOR: usize = 4;

/// Part of the connections that may be open while the process is short of memory, as a divisor.
const SHORTAGE_DIVISOR: usize = 8;

/// Largest number of connections.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limit {
    /// Connections at any time.
    pub max: usize,
    /// Connections from which on their number doesn't grow while the process is short of memory.
    pub max_in_shortage: usize,
}

impl Limit {
    /// Returns the limit on the connections of callers in a process that may have this many
    /// descriptors and this much memory, if each connection takes up to `connection_bytes`.
    ///
    /// Half of the sockets are left to the process's own connections: to the store, the workers,
    /// its peers and the advice service.
    pub fn of_callers(descriptors: usize, memory_bytes: usize, connection_bytes: usize) -> Limit {
        let sockets = descriptors - MAX_FILE_DESCRIPTORS.min(descriptors / 2);
        let affordable = memory_bytes / MEMORY_SHARE_DIVISOR / connection_bytes;
        let max = (sockets / 2).min(affordable).max(1);
        Limit { max, max_in_shortage: (max / SHORTAGE_DIVISOR).max(1) }
    }
}

/// Metrics of one registry or of several.
#[derive(Clone, Debug)]
pub struct Meters {
    /// Open connections.
    pub open: IntGauge,
    /// Connections closed to make room for others.
    pub evicted: IntCounter,
}

/// The open connections.
#[derive(Debug)]
pub struct Registry {
    limit: Limit,
    meters: Meters,
    state: Mutex<State>,
    /// Notified when a connection is closed or may be closed again.
    changed: Notify,
}

#[derive(Debug, Default)]
struct State {
    entries: BTreeMap<u64, Entry>,
    next_id: u64,
    /// Number of the last event, in whose order connections are closed.
    last_event: u64,
}

#[derive(Debug)]
struct Entry {
    /// Number of the last event: the connection was opened, or a request began or was answered.
    last_event: u64,
    phase: Phase,
    evict: Arc<Notify>,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    /// No whole request has arrived that isn't answered.
    Waiting,
    /// A request is being answered.
    Answering,
    /// The connection is about to be closed for another one.
    Closing,
}

/// An open connection, until it is dropped.
#[derive(Debug)]
pub struct Connection {
    registry: Arc<Registry>,
    id: u64,
    evict: Arc<Notify>,
}

/// A request that is being answered, until it is dropped.
#[derive(Debug)]
pub struct Answering(Arc<Connection>);

impl Registry {
    /// Creates a registry without connections.
    pub fn new(limit: Limit, meters: Meters) -> Registry {
        Registry { limit, meters, state: Mutex::default(), changed: Notify::new() }
    }

    /// Registers a new connection. Waits for room if there is none, while other connections are
    /// closed for it. `is_short_of_memory` tells whether the process is.
    pub async fn admit(self: &Arc<Registry>, is_short_of_memory: impl Fn() -> bool) -> Connection {
        // While it waits, this connection is the one that replaces an old one: it makes room once.
        let mut has_evicted = false;
        loop {
            match self.try_admit(&is_short_of_memory, &mut has_evicted) {
                Some(connection) => return connection,
                // Keeps a notification that came since the attempt.
                None => self.changed.notified().await,
            }
        }
    }

    fn try_admit(
        self: &Arc<Registry>,
        is_short_of_memory: impl Fn() -> bool,
        has_evicted: &mut bool,
    ) -> Option<Connection> {
        let mut state = self.lock();
        let open = state.entries.len();
        let is_full = open >= self.limit.max;
        if !*has_evicted && (is_full || open >= self.limit.max_in_shortage && is_short_of_memory())
        {
            *has_evicted = state.evict_oldest();
            if *has_evicted {
                self.meters.evicted.inc();
            }
        }
        if is_full {
            return None;
        }
        let (id, evict) = (state.next_id, Arc::new(Notify::new()));
        state.next_id += 1;
        let last_event = state.number_event();
        let entry = Entry { last_event, phase: Phase::Waiting, evict: evict.clone() };
        state.entries.insert(id, entry);
        self.meters.open.inc();
        Some(Connection { registry: self.clone(), id, evict })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn number_event(&mut self) -> u64 {
        self.last_event += 1;
        self.last_event
    }

    /// Closes the connection whose last event is the oldest. Returns whether there is one that may
    /// be closed.
    fn evict_oldest(&mut self) -> bool {
        let waiting = self.entries.values_mut().filter(|entry| entry.phase == Phase::Waiting);
        let oldest = waiting.min_by_key(|entry| entry.last_event);
        oldest.is_some_and(|entry| {
            entry.phase = Phase::Closing;
            entry.evict.notify_one();
            true
        })
    }
}

impl Connection {
    /// Notes that a request has begun to arrive.
    pub fn begin_request(&self) {
        let mut state = self.registry.lock();
        let event = state.number_event();
        if let Some(entry) = state.entries.get_mut(&self.id) {
            entry.last_event = event;
        }
    }

    /// Keeps the connection open for the answer to a whole request, until the result is dropped.
    pub fn begin_answer(self: &Arc<Connection>) -> Answering {
        self.change_phase(Phase::Waiting, Phase::Answering);
        Answering(self.clone())
    }

    fn change_phase(&self, from: Phase, to: Phase) {
        let mut state = self.registry.lock();
        let event = state.number_event();
        if let Some(entry) = state.entries.get_mut(&self.id).filter(|entry| entry.phase == from) {
            *entry = Entry { last_event: event, phase: to, evict: entry.evict.clone() };
        }
        drop(state);
        self.registry.changed.notify_one();
    }

    /// Waits until the connection has to be closed for another one.
    pub async fn evicted(&self) {
        self.evict.notified().await;
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        let mut state = self.registry.lock();
        state.entries.remove(&self.id);
        drop(state);
        self.registry.meters.open.dec();
        self.registry.changed.notify_one();
    }
}

impl Drop for Answering {
    fn drop(&mut self) {
        self.0.change_phase(Phase::Answering, Phase::Waiting);
    }
}
