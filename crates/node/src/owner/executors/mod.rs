//! Executors: peers that call workers for an owner with more workers than one process can call.
//!
//! The owner decides and an executor only carries out, so that an executor may fail at any moment:
//! its workers are called directly at once, and move to other executors.

mod activation;
mod assignment;
mod batch;
mod health;
mod pending;
mod receipts;
mod selection;
mod session;
#[cfg(test)]
mod tests;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rustc_hash::FxHashMap;
use sycamore_types::Name;
use tokio::sync::mpsc;

use self::activation::Activation;
use self::assignment::Assignment;
use self::health::{Health, Observation};
use self::selection::Selection;
use self::session::{Notice, NoticeEvent, Session};
use super::calls::{Calls, Request};
use crate::peer::MAX_ORDERS_IN_FLIGHT;

/// Environment variable with which tests lower [`activation::MIN_WORKERS`], in debug builds only.
#[cfg(debug_assertions)]
const MIN_WORKERS_VARIABLE: &str = "SYCAMORE_EXECUTOR_MIN_WORKERS";

/// Time for which a worker is called directly after its executor did not reach it. Each attempt
/// through an executor that is cut off from the worker costs a poll, and direct calls to some
/// workers cost little.
const DETOUR_TIME: Duration = Duration::from_secs(60);

/// Interval at which live peers and the number of workers are looked up.
pub(super) const UPDATE_INTERVAL: Duration = Duration::from_millis(200);

/// The executors of one owner.
#[derive(Debug)]
pub(super) struct Executors {
    calls: Calls,
    activation: Activation,
    selection: Selection,
    assignment: Assignment,
    peers: FxHashMap<Name, Peer>,
    /// Workers that are called directly, and until when.
    detours: FxHashMap<Name, Instant>,
    last_session: u64,
    notices: mpsc::UnboundedSender<Notice>,
}

/// A live peer.
#[derive(Debug)]
struct Peer {
    address: SocketAddr,
    health: Health,
    last_receipt: Option<Duration>,
    session: Option<OpenSession>,
}

#[derive(Debug)]
struct OpenSession {
    number: u64,
    requests: mpsc::Sender<Request>,
    /// The peer has opened the session.
    is_open: bool,
}

impl Executors {
    /// Executors are used from `min_workers` listed workers on. Also returns the channel of notices, for [`Self::on_notice`].
    pub fn new(calls: Calls, min_workers: usize) -> (Executors, mpsc::UnboundedReceiver<Notice>) {
        let (notices, received) = mpsc::unbounded_channel();
        let executors = Executors {
            calls,
            activation: Activation::new(min_workers),
            selection: Selection::default(),
            assignment: Assignment::default(),
            peers: FxHashMap::default(),
            detours: FxHashMap::default(),
            last_session: 0,
            notices,
        };
        (executors, received)
    }

    /// Sends a request to a worker, through its executor if it has one.
    pub fn send(&mut self, request: Request) {
        let request = match self.executor(request.host()) {
            Some(requests) => match requests.try_send(request) {
                Ok(()) => return,
                Err(error) => error.into_inner(),
            },
            None => request,
        };
        self.calls.send(request);
    }

    fn executor(&mut self, worker: &Name) -> Option<&mpsc::Sender<Request>> {
        if !self.activation.is_active() || self.detours.contains_key(worker) {
            return None;
        }
        let name = self.assignment.executor(worker)?;
        Some(&self.peers.get(name)?.session.as_ref()?.requests)
    }

    /// Looks up the live peers and the number of workers.
    pub fn update(&mut self) {
        let now = Instant::now();
        let workers = self.calls.handle.addresses.listed();
        if let Some(is_active) = self.activation.update(workers) {
            let message =
                if is_active { "begins to use executors" } else { "calls all workers itself" };
            log::info!(
                target: "executor", workers, epoch = self.calls.handle.epoch; "{message}"
            );
        }
        self.detours.retain(|_, until| now < *until);
        self.assignment.limit_workers(2 * workers + MAX_ORDERS_IN_FLIGHT);
        let live: FxHashMap<Name, SocketAddr> = match self.activation.is_active() {
            true => self.calls.node.live_peers().into_iter().collect(),
            false => FxHashMap::default(),
        };
        let (assignment, is_active) = (&mut self.assignment, self.activation.is_active());
        self.peers.retain(|name, peer| {
            if live.get(name) == Some(&peer.address) {
                return true;
            }
            assignment.set_weight(name, 0);
            // A session whose sender is dropped takes its remaining results and ends.
            if peer.session.take().is_some() {
                peer.health.observe(now, Observation::Failed, Duration::MAX);
            }
            // What is known of a peer that comes and goes is kept.
            is_active && !live.contains_key(name) && peer.health.is_excluded(now)
        });
        for (name, address) in live {
            self.peers.entry(name).or_insert_with(|| Peer::new(address, now));
        }
        let usable = self.peers.iter().filter(|(_, peer)| !peer.health.is_excluded(now));
        let usable: BTreeSet<Name> = usable.map(|(name, _)| name.clone()).collect();
        self.selection.update(workers, &usable);
        for (name, peer) in &mut self.peers {
            if peer.session.is_none() && self.selection.contains(name) {
                self.last_session += 1;
                let (requests, received) = mpsc::channel(MAX_ORDERS_IN_FLIGHT);
                let number = self.last_session;
                peer.session = Some(OpenSession { number, requests, is_open: false });
                let session = Session {
                    executor: name.clone(),
                    address: peer.address,
                    number,
                    calls: self.calls.clone(),
                    notices: self.notices.clone(),
                };
                tokio::spawn(session.run(received));
            }
            self.assignment.set_weight(name, peer.weight(now));
        }
        self.calls.node.meters.executors.set(self.assignment.len() as i64);
    }

    /// Takes what a session has noticed.
    pub fn on_notice(&mut self, notice: Notice) {
        let now = Instant::now();
        let slow = health::slow_time(self.peers.values().filter_map(|p| p.last_receipt).collect());
        let Some(peer) = self.peers.get_mut(&notice.executor) else { return };
        if peer.session.as_ref().is_none_or(|session| session.number != notice.session) {
            return;
        }
        match notice.event {
            NoticeEvent::Opened => {
                if let Some(session) = &mut peer.session {
                    session.is_open = true;
                }
            }
            NoticeEvent::Observed(observation) => {
                let old_weight = peer.health.weight(now);
                peer.health.observe(now, observation, slow);
                if let Observation::Receipt(time) = observation {
                    peer.last_receipt = Some(time);
                }
                let weight = peer.health.weight(now);
                if weight == 0 {
                    peer.session = None;
                    peer.last_receipt = None;
                }
                if weight != old_weight {
                    log::info!(
                        target: "executor", host:% = notice.executor, weight, old_weight,
                        cause:? = observation; "weight of an executor changed"
                    );
                }
            }
            NoticeEvent::Unreached(worker) => {
                self.detours.insert(worker, now + DETOUR_TIME);
            }
        }
        self.assignment.set_weight(&notice.executor, peer.weight(now));
    }
}

impl Drop for Executors {
    fn drop(&mut self) {
        self.calls.node.meters.executors.set(0);
    }
}

impl Peer {
    fn new(address: SocketAddr, now: Instant) -> Peer {
        Peer { address, health: Health::new(now), last_receipt: None, session: None }
    }

    /// Returns the share of the workers, zero until the session is open.
    fn weight(&self, now: Instant) -> u8 {
        let is_open = self.session.as_ref().is_some_and(|session| session.is_open);
        if is_open { self.health.weight(now) } else { 0 }
    }
}

/// Returns the number of listed workers from which executors are used.
pub(super) fn min_workers() -> usize {
    #[cfg(debug_assertions)]
    if let Some(workers) =
        std::env::var(MIN_WORKERS_VARIABLE).ok().and_then(|text| text.parse().ok())
    {
        return workers;
    }
    activation::MIN_WORKERS
}
