use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use displaydoc::Display;
use rustc_hash::FxHashMap;
use sycamore_graph::Step;
use sycamore_platform::http::Client;
use sycamore_platform::site::{Adviser, Settings, Store};
use sycamore_platform::{Signals, Told};
use sycamore_telemetry::logs::Lines;
use sycamore_types::Name;
use sycamore_wire::Pool;
use tokio::net::TcpListener;
use tokio::sync::{Mutex, Notify};

use crate::clock::Clock;
use crate::config::Configs;
use crate::lead::{Lead, Leader};
use crate::metrics::{self, Meters};
use crate::peer::{Ask, Ping, Pong, Role, Verdict};
use crate::timing::{DRAIN_DELAY, EXIT_MARGIN, LAST_ANSWER_MARGIN, OWNER_SILENCE, SETTINGS_EVERY};
use crate::{door, lead, peer};

/// Time for which idle connections are kept: connections are paid for one by one.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Longest wait before the exit until the owner's record is given up.
const RESIGN_PATIENCE: Duration = Duration::from_millis(300);

/// Time between looks whether it is.
const RESIGN_POLL: Duration = Duration::from_millis(10);

/// Time after which a peer that pinged no more is not dealt calls.
const PEER_SILENCE: Duration = Duration::from_millis(900);

/// Why a process can't run.
#[derive(Debug, Display)]
#[non_exhaustive]
pub enum Error {
    /// can't listen on {0}: {1}
    Listen(SocketAddr, std::io::Error),
    /// can't listen for signals: {0}
    Signals(std::io::Error),
}

impl std::error::Error for Error {}

/// One process.
#[derive(Debug)]
pub(crate) struct Node {
    pub settings: Settings,
    pub clock: Clock,
    pub nonce: u64,
    pub store: Store,
    /// Where records of decisions are streamed to.
    pub lines: Lines,
    pub meters: Meters,
    pub client: Client,
    pub pool: Pool,
    pub configs: Configs,
    pub lead: Lead,
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
    fn new(settings: Settings, lines: Lines) -> Node {
        let client = Client::with_idle_timeout(IDLE_TIMEOUT);
        let meters = Meters::new();
        Node {
            clock: Clock::new(),
            nonce: rand::random(),
            lines,
            store: Store::new(settings.store, client.clone()),
            adviser: settings.advice.map(|address| Adviser::new(address, client.clone())),
            client,
            pool: Pool::default(),
            configs: Configs::new(meters.clone()),
            meters,
            lead: Lead::default(),
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
    async fn wait_resigned(&self) {
        let end = Instant::now() + RESIGN_PATIENCE;
        while matches!(self.lead.leader(), Leader::Here(_)) && Instant::now() < end {
            tokio::time::sleep(RESIGN_POLL).await;
        }
    }

    fn begin_stop(&self, last_answer: Instant) {
        // Set once; a second signal changes nothing.
        let _ = self.last_answer.set(last_answer);
        self.is_stopping.store(true, Ordering::Relaxed);
    }

    pub fn seeds(&self) -> Vec<SocketAddr> {
        self.seeds.lock().map(|seeds| seeds.clone()).unwrap_or_default()
    }

    fn set_seeds(&self, newer: Vec<SocketAddr>) {
        if let Ok(mut seeds) = self.seeds.lock() {
            *seeds = newer;
        }
    }

    /// Tells whether callers should be sent here.
    pub fn is_ready(&self) -> bool {
        if self.is_stopping() || self.configs.current().is_none() {
            return false;
        }
        match self.lead.leader() {
            Leader::Here(_) => true,
            Leader::Peer { .. } => {
                self.lead.silence().is_some_and(|silence| silence < 2 * OWNER_SILENCE)
            }
            Leader::Beginning { .. } | Leader::Unknown => false,
        }
    }

    pub fn pong(self: &Arc<Node>, ping: &Ping) -> Pong {
        if let Ok(mut members) = self.members.lock() {
            members.insert(ping.host.clone(), (ping.address, Instant::now()));
        }
        lead::catch_up(self, ping.address, ping.config_version);
        if let Some(owner) = &ping.owner {
            self.lead.learn(owner);
        }
        let mut store_is_near = self.configs.store_is_near();
        let role = match self.lead.leader() {
            Leader::Here(handle) if self.is_outranked(handle.epoch) => {
                self.outranked.notify_waiters();
                Role::Follower
            }
            Leader::Here(handle) => {
                store_is_near &= !handle.is_store_away();
                Role::Owner { epoch: handle.epoch }
            }
            Leader::Beginning { epoch } => {
                store_is_near = true;
                Role::Owner { epoch }
            }
            _ => Role::Follower,
        };
        Pong {
            role,
            owner: self.lead.owner(),
            config_version: self.configs.version(),
            store_is_near,
            is_leaving: self.is_stopping(),
            peers: self.members(),
        }
    }

    fn is_outranked(&self, epoch: u64) -> bool {
        self.lead.owner().is_some_and(|owner| owner.epoch > epoch)
    }

    /// Processes that pinged a short while ago, in order of their names.
    pub fn members(&self) -> Vec<(Name, SocketAddr)> {
        let Ok(mut members) = self.members.lock() else { return Vec::new() };
        members.retain(|_, (_, at)| at.elapsed() < PEER_SILENCE);
        let mut list: Vec<_> =
            members.iter().map(|(name, (address, _))| (name.clone(), *address)).collect();
        list.sort();
        list
    }

    /// Answers a caller's request if this process owns.
    pub async fn ask_here(&self, ask: Ask) -> Verdict {
        match self.lead.leader() {
            Leader::Here(handle) => handle.ask(ask).await,
            _ => Verdict::NotOwner,
        }
    }

    /// Asks the advice service.
    pub async fn advise(
        &self,
        step: &Step,
        hosts: &[Name],
        timeout: Duration,
    ) -> Option<Vec<(Name, Name)>> {
        let adviser = self.adviser.as_ref()?;
        let _turn = self.advising.lock().await;
        adviser.ask(step, hosts, timeout).await
    }
}

/// Runs a process until it is told to stop.
///
/// # Errors
///
/// Fails when an address can't be listened on.
pub async fn run(
    settings: Settings,
    path: &str,
    lines: Lines,
    metrics_port: Option<u16>,
) -> Result<(), Error> {
    let mut signals = Signals::listen().map_err(Error::Signals)?;
    let callers = listen(settings.callers).await?;
    let peers = listen(settings.peers).await?;
    let readiness = match settings.readiness {
        Some(address) => Some(listen(address).await?),
        None => None,
    };
    log::info!(
        target: "process", host:% = settings.host, domain:% = settings.failure_domain; "start"
    );
    let grace = Duration::from_millis(settings.grace_ms);
    let metrics = match metrics_port {
        Some(port) => Some(listen(SocketAddr::new(settings.peers.ip(), port)).await?),
        None => None,
    };
    let node = Arc::new(Node::new(settings, lines));
    tokio::spawn(node.configs.clone().follow(node.store.clone()));
    tokio::spawn(peer::serve(node.clone(), peers));
    let door = Arc::new(door::Door::new(node.clone()));
    tokio::spawn(door::serve(door.clone(), callers));
    if let Some(listener) = readiness {
        tokio::spawn(door::serve_readiness(node.clone(), listener));
    }
    if let Some(listener) = metrics {
        tokio::spawn(metrics::serve(node.meters.clone(), listener));
    }
    let reload = Arc::new(Notify::new());
    tokio::spawn(watch_settings(node.clone(), path.to_string(), reload.clone()));
    let following = tokio::spawn(lead::follow(node.clone()));
    while signals.next().await == Told::Reload {
        reload.notify_one();
    }
    log::info!(target: "process", "stop asked for");
    let told = Instant::now();
    let last = grace.saturating_sub(EXIT_MARGIN);
    node.begin_stop(told + last.saturating_sub(LAST_ANSWER_MARGIN));
    tokio::time::sleep(DRAIN_DELAY.min(last).saturating_sub(told.elapsed())).await;
    node.must_resign.notify_waiters();
    door.close(last.saturating_sub(told.elapsed())).await;
    node.wait_resigned().await;
    following.abort();
    log::info!(target: "process", "stopped");
    Ok(())
}

async fn listen(address: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address).await.map_err(|error| Error::Listen(address, error))
}

/// Follows the settings file, which may change with a signal or without.
async fn watch_settings(node: Arc<Node>, path: String, reload: Arc<Notify>) {
    let mut last = std::fs::read_to_string(&path).unwrap_or_default();
    loop {
        // Either the signal or the time is reason to look.
        let _ = tokio::time::timeout(SETTINGS_EVERY, reload.notified()).await;
        let now = match std::fs::read_to_string(&path) {
            Ok(text) => text,
            Err(error) => {
                log::warn!(target: "process", path, error:%; "settings file can't be read");
                continue;
            }
        };
        if now != last {
            apply_settings(&node, &now);
            last = now;
        }
    }
}

/// Takes over what may change while the process runs. Addresses that it listens on and
/// bounds that the engine began with stay until its next start.
fn apply_settings(node: &Node, text: &str) {
    match Settings::parse(text) {
        Ok(settings) => {
            log::info!(target: "process", host:% = settings.host; "settings reloaded");
            node.set_seeds(settings.seeds);
        }
        Err(error) => {
            log::error!(target: "process", error:%; "settings not reloaded, the old ones stay");
        }
    }
}
