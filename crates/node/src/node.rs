use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use rustc_hash::FxHashMap;
use sycamore_graph::StepId;
use sycamore_platform::http::Client;
use sycamore_platform::site::{Adviser, Settings, Store};
use sycamore_telemetry::logs::Lines;
use sycamore_types::Name;
use sycamore_wire::Pool;
use tokio::sync::{Mutex, Notify};

use crate::clock::Clock;
use crate::config::Configs;
use crate::metrics::Meters;
use crate::ownership::{self, CurrentOwner, Ownership};
use crate::peer::{CallerRequest, Ping, Pong, RequestOutcome, Role};
use crate::timing::OWNER_TIMEOUT;

/// Time for which idle connections are kept: connections are paid for one by one.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Longest wait before the exit until the owner's record is given up.
const RESIGN_TIMEOUT: Duration = Duration::from_millis(300);

/// Time between looks whether it is.
const RESIGN_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Time after which a peer that pinged no more is not dealt calls.
const PEER_TIMEOUT: Duration = Duration::from_millis(900);

/// One process.
#[derive(Debug)]
pub(crate) struct Node {
    pub settings: Settings,
    pub clock: Clock,
    pub nonce: u64,
    pub store: Store,
    /// Where records of decisions are streamed to.
    pub decision_log: Lines,
    pub meters: Meters,
    pub client: Client,
    pub pool: Pool,
    pub configs: Configs,
    pub ownership: Ownership,
    /// The process stops and no successor has come.
    pub must_resign: Notify,
    /// A peer knows of a higher epoch than this owner's.
    pub outranked: Notify,
    /// Time by which all answers must be given, once the process stops.
    last_response: OnceLock<Instant>,
    is_stopping: AtomicBool,
    adviser: Option<Adviser>,
    /// One call at a time: the service handles a host's calls in turn.
    advice_lock: Mutex<()>,
    /// Addresses of some other processes, by the newest settings.
    seeds: std::sync::Mutex<Vec<SocketAddr>>,
    /// Processes that pinged this one while it owned.
    known_peers: std::sync::Mutex<FxHashMap<Name, (SocketAddr, Instant)>>,
}

impl Node {
    pub fn new(settings: Settings, decision_log: Lines) -> Node {
        let client = Client::with_idle_timeout(IDLE_TIMEOUT);
        let meters = Meters::new();
        Node {
            clock: Clock::new(),
            nonce: rand::random(),
            decision_log,
            store: Store::new(settings.store, client.clone()),
            adviser: settings.advice.map(|address| Adviser::new(address, client.clone())),
            client,
            pool: Pool::default(),
            configs: Configs::new(meters.clone()),
            meters,
            ownership: Ownership::default(),
            must_resign: Notify::new(),
            outranked: Notify::new(),
            last_response: OnceLock::new(),
            is_stopping: AtomicBool::new(false),
            advice_lock: Mutex::new(()),
            seeds: std::sync::Mutex::new(settings.seeds.clone()),
            known_peers: Default::default(),
            settings,
        }
    }

    pub fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::Relaxed)
    }

    /// Returns the time by which a request must be answered.
    pub fn cap_deadline(&self, deadline: Instant) -> Instant {
        self.last_response.get().map_or(deadline, |last| deadline.min(*last))
    }

    /// Waits a moment until this process owns no more.
    pub async fn wait_until_resigned(&self) {
        let end = Instant::now() + RESIGN_TIMEOUT;
        while matches!(self.ownership.current(), CurrentOwner::Local(_)) && Instant::now() < end {
            tokio::time::sleep(RESIGN_POLL_INTERVAL).await;
        }
    }

    pub fn begin_stop(&self, last_response: Instant) {
        // Set once; a second signal changes nothing.
        let _ = self.last_response.set(last_response);
        self.is_stopping.store(true, Ordering::Relaxed);
    }

    pub fn seeds(&self) -> Vec<SocketAddr> {
        self.seeds.lock().map(|seeds| seeds.clone()).unwrap_or_default()
    }

    pub fn set_seeds(&self, addresses: Vec<SocketAddr>) {
        if let Ok(mut seeds) = self.seeds.lock() {
            *seeds = addresses;
        }
    }

    /// Tells whether callers should be sent here.
    pub fn is_ready(&self) -> bool {
        if self.is_stopping() || self.configs.current().is_none() {
            return false;
        }
        match self.ownership.current() {
            CurrentOwner::Local(_) => true,
            CurrentOwner::Peer { .. } => {
                self.ownership.time_since_pong().is_some_and(|silence| silence < 2 * OWNER_TIMEOUT)
            }
            CurrentOwner::Recovering { .. } | CurrentOwner::Unknown => false,
        }
    }

    pub fn handle_ping(self: &Arc<Node>, ping: &Ping) -> Pong {
        if let Ok(mut known_peers) = self.known_peers.lock() {
            known_peers.insert(ping.host.clone(), (ping.address, Instant::now()));
        }
        ownership::fetch_newer_config(self, ping.address, ping.config_version);
        if let Some(owner) = &ping.owner {
            self.ownership.record_owner(owner);
        }
        let mut is_store_reachable = self.configs.is_store_reachable();
        let role = match self.ownership.current() {
            CurrentOwner::Local(handle) if self.is_outranked(handle.epoch) => {
                self.outranked.notify_waiters();
                Role::Follower
            }
            CurrentOwner::Local(handle) => {
                is_store_reachable &= !handle.is_store_unavailable();
                Role::Owner { epoch: handle.epoch }
            }
            CurrentOwner::Recovering { epoch } => {
                is_store_reachable = true;
                Role::Owner { epoch }
            }
            _ => Role::Follower,
        };
        Pong {
            role,
            owner: self.ownership.newest_owner(),
            config_version: self.configs.version(),
            is_store_reachable,
            is_leaving: self.is_stopping(),
            peers: self.live_peers(),
        }
    }

    fn is_outranked(&self, epoch: u64) -> bool {
        self.ownership.newest_owner().is_some_and(|owner| owner.epoch > epoch)
    }

    /// Processes that pinged a short while ago, in order of their names.
    pub fn live_peers(&self) -> Vec<(Name, SocketAddr)> {
        let Ok(mut known_peers) = self.known_peers.lock() else { return Vec::new() };
        known_peers.retain(|_, (_, at)| at.elapsed() < PEER_TIMEOUT);
        let mut list: Vec<_> =
            known_peers.iter().map(|(name, (address, _))| (name.clone(), *address)).collect();
        list.sort();
        list
    }

    /// Answers a caller's request if this process owns.
    pub async fn ask_local_owner(&self, request: CallerRequest) -> RequestOutcome {
        match self.ownership.current() {
            CurrentOwner::Local(handle) => handle.ask(request).await,
            _ => RequestOutcome::NotOwner,
        }
    }

    /// Asks the advice service.
    pub async fn advise(
        &self,
        step: &StepId,
        hosts: &[Name],
        timeout: Duration,
    ) -> Option<Vec<(Name, Name)>> {
        let adviser = self.adviser.as_ref()?;
        let _guard = self.advice_lock.lock().await;
        adviser.ask(step, hosts, timeout).await
    }
}
