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
use crate::timing::OWNER_SILENCE;

/// Time for which idle connections are kept: connections are paid for one by one.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Longest wait before the exit until the owner's record is given up.
const RESIGN_PATIENCE: Duration = Duration::from_millis(300);

/// Time between looks whether it is.
const RESIGN_POLL: Duration = Duration::from_millis(10);

/// Time after which a peer that pinged no more is not dealt calls.
const PEER_SILENCE: Duration = Duration::from_millis(900);

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
    last_answer: OnceLock<Instant>,
    is_stopping: AtomicBool,
    adviser: Option<Adviser>,
    /// One call at a time: the service handles a host's calls in turn.
    advising: Mutex<()>,
    /// Addresses of some other processes, by the newest settings.
    seeds: std::sync::Mutex<Vec<SocketAddr>>,
    /// Processes that pinged this one while it owned.
    members: std::sync::Mutex<FxHashMap<Name, (SocketAddr, Instant)>>,
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
            last_answer: OnceLock::new(),
            is_stopping: AtomicBool::new(false),
            advising: Mutex::new(()),
            seeds: std::sync::Mutex::new(settings.seeds.clone()),
            members: Default::default(),
            settings,
        }
    }

    pub fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::Relaxed)
    }

    /// Returns the time by which a request must be answered.
    pub fn answer_by(&self, until: Instant) -> Instant {
        self.last_answer.get().map_or(until, |last| until.min(*last))
    }

    /// Waits a moment until this process owns no more.
    pub async fn wait_resigned(&self) {
        let end = Instant::now() + RESIGN_PATIENCE;
        while matches!(self.ownership.current(), CurrentOwner::Local(_)) && Instant::now() < end {
            tokio::time::sleep(RESIGN_POLL).await;
        }
    }

    pub fn begin_stop(&self, last_answer: Instant) {
        // Set once; a second signal changes nothing.
        let _ = self.last_answer.set(last_answer);
        self.is_stopping.store(true, Ordering::Relaxed);
    }

    pub fn seeds(&self) -> Vec<SocketAddr> {
        self.seeds.lock().map(|seeds| seeds.clone()).unwrap_or_default()
    }

    pub fn set_seeds(&self, newer: Vec<SocketAddr>) {
        if let Ok(mut seeds) = self.seeds.lock() {
            *seeds = newer;
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
                self.ownership.silence().is_some_and(|silence| silence < 2 * OWNER_SILENCE)
            }
            CurrentOwner::Recovering { .. } | CurrentOwner::Unknown => false,
        }
    }

    pub fn pong(self: &Arc<Node>, ping: &Ping) -> Pong {
        if let Ok(mut members) = self.members.lock() {
            members.insert(ping.host.clone(), (ping.address, Instant::now()));
        }
        ownership::catch_up(self, ping.address, ping.config_version);
        if let Some(owner) = &ping.owner {
            self.ownership.learn(owner);
        }
        let mut store_is_near = self.configs.store_is_near();
        let role = match self.ownership.current() {
            CurrentOwner::Local(handle) if self.is_outranked(handle.epoch) => {
                self.outranked.notify_waiters();
                Role::Follower
            }
            CurrentOwner::Local(handle) => {
                store_is_near &= !handle.is_store_unavailable();
                Role::Owner { epoch: handle.epoch }
            }
            CurrentOwner::Recovering { epoch } => {
                store_is_near = true;
                Role::Owner { epoch }
            }
            _ => Role::Follower,
        };
        Pong {
            role,
            owner: self.ownership.newest_owner(),
            config_version: self.configs.version(),
            store_is_near,
            is_leaving: self.is_stopping(),
            peers: self.live_peers(),
        }
    }

    fn is_outranked(&self, epoch: u64) -> bool {
        self.ownership.newest_owner().is_some_and(|owner| owner.epoch > epoch)
    }

    /// Processes that pinged a short while ago, in order of their names.
    pub fn live_peers(&self) -> Vec<(Name, SocketAddr)> {
        let Ok(mut members) = self.members.lock() else { return Vec::new() };
        members.retain(|_, (_, at)| at.elapsed() < PEER_SILENCE);
        let mut list: Vec<_> =
            members.iter().map(|(name, (address, _))| (name.clone(), *address)).collect();
        list.sort();
        list
    }

    /// Answers a caller's request if this process owns.
    pub async fn ask_here(&self, ask: CallerRequest) -> RequestOutcome {
        match self.ownership.current() {
            CurrentOwner::Local(handle) => handle.ask(ask).await,
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
        let _turn = self.advising.lock().await;
        adviser.ask(step, hosts, timeout).await
    }
}
