//! State shared by all tasks of a process: its clients, its view of the owner and of the
//! other processes, and whether it is stopping.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock, PoisonError};
use std::time::{Duration, Instant};

use sycamore_graph::StepId;
use sycamore_intake::body::Budget;
use sycamore_platform::http::Client;
use sycamore_platform::site::{AdviceClient, Settings, Store, WorkerConnections};
use sycamore_telemetry::logs::LineSender;
use sycamore_types::Name;
use sycamore_wire::Pool;
use tokio::sync::{Mutex, Notify};

use crate::clock::Clock;
use crate::config::Configs;
use crate::metrics::Meters;
use crate::options::Options;
use crate::ownership::{CurrentOwner, OwnerRecord, Ownership, Patience};
use crate::peer::{
    AdviceFailure, CallerRequest, Directory, Members, OwnerStatus, Ping, Pong, RequestOutcome, Role,
};
use crate::timing::OWNER_TIMEOUT;

/// Time for which idle connections are kept open, as each new connection is billed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Longest time that a stopping owner waits for its resignation before it exits.
const RESIGN_TIMEOUT: Duration = Duration::from_millis(300);

/// Interval at which a stopping process checks whether it has resigned.
const RESIGN_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// State shared by all tasks of the process.
#[derive(Debug)]
pub(crate) struct Node {
    pub settings: Settings,
    pub options: Options,
    pub clock: Clock,
    /// Random number that identifies this instance of the process in the owner record.
    pub nonce: u64,
    pub store: Store,
    /// Output stream of the decision records.
    pub decision_log: LineSender,
    pub meters: Meters,
    /// Memory that callers' bodies share.
    pub bodies: Arc<Budget>,
    pub workers: WorkerConnections,
    pub pool: Pool,
    pub configs: Configs,
    pub ownership: Ownership,
    /// Notified when the process is about to exit and has to resign if it is the owner.
    pub must_resign: Notify,
    /// Notified when a peer knows of an owner with a higher epoch than this process's.
    pub outranked: Notify,
    /// Time by which all requests must be answered, set when the process begins to stop.
    last_response: OnceLock<Instant>,
    is_stopping: AtomicBool,
    advice_client: Option<AdviceClient>,
    /// Held during an advice call, since the service handles only one call of a host at a time.
    advice_lock: Mutex<()>,
    /// Addresses of some other processes, from the newest settings.
    seeds: std::sync::Mutex<Vec<SocketAddr>>,
    /// Processes that ping this one.
    directory: std::sync::Mutex<Directory>,
    /// Processes that may become the owner.
    members: std::sync::Mutex<Members>,
}

impl Node {
    pub fn new(settings: Settings, options: Options, decision_log: LineSender) -> Node {
        let source_address = options.source_address();
        let client = Client::with_source_address(IDLE_TIMEOUT, source_address);
        let meters = Meters::new();
        let configs = Configs::new(meters.clone());
        Node {
            clock: Clock::new(),
            nonce: rand::random(),
            decision_log,
            store: Store::new(settings.store, client.clone()),
            advice_client: settings.advice.map(|address| AdviceClient::new(address, client)),
            workers: WorkerConnections::with_source_address(IDLE_TIMEOUT, source_address),
            pool: Pool::with_source_address(source_address),
            configs: match settings.evacuation_ms {
                Some(_) => configs.with_evacuations(),
                None => configs,
            },
            bodies: Arc::new(Budget::new(settings.memory_bytes, meters.bodies.clone())),
            meters,
            ownership: Ownership::default(),
            must_resign: Notify::new(),
            outranked: Notify::new(),
            last_response: OnceLock::new(),
            is_stopping: AtomicBool::new(false),
            advice_lock: Mutex::new(()),
            seeds: std::sync::Mutex::new(settings.seeds.clone()),
            directory: Default::default(),
            members: Default::default(),
            settings,
            options,
        }
    }

    pub fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::Relaxed)
    }

    /// Returns a request's deadline, or the time of the last response if the process stops
    /// earlier.
    pub fn cap_deadline(&self, deadline: Instant) -> Instant {
        self.last_response.get().map_or(deadline, |last| deadline.min(*last))
    }

    /// Waits until this process is no longer the owner, at most [`RESIGN_TIMEOUT`].
    pub async fn wait_until_resigned(&self) {
        let end = Instant::now() + RESIGN_TIMEOUT;
        while matches!(self.ownership.current(), CurrentOwner::Local(_)) && Instant::now() < end {
            tokio::time::sleep(RESIGN_POLL_INTERVAL).await;
        }
    }

    pub fn begin_stop(&self, last_response: Instant) {
        // A second signal does not move the time.
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

    /// Returns whether the load balancer should send callers here.
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

    /// Returns the time limits for replies of the owner and of peers at present.
    pub fn patience(&self) -> Patience {
        Patience::new(self.configs.is_receiving())
    }

    /// Records what a ping says about its sender and the newest owner, and replies to it.
    pub fn handle_ping(self: &Arc<Node>, ping: &Ping) -> Pong {
        self.record_members(&[(ping.host.clone(), ping.address)]);
        let peers = self.lock_directory().on_ping(&ping.host, ping.address, Instant::now());
        self.configs.on_peer_version(&self.pool, ping.address, ping.config_version);
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
            CurrentOwner::Recovering { epoch } if self.is_outranked(epoch) => {
                self.outranked.notify_waiters();
                Role::Follower
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
            peers,
        }
    }

    fn is_outranked(&self, epoch: u64) -> bool {
        self.ownership.newest_owner().is_some_and(|owner| owner.epoch > epoch)
    }

    /// Returns the processes that pinged recently, sorted by name.
    pub fn live_peers(&self) -> Vec<(Name, SocketAddr)> {
        self.lock_directory().live(Instant::now())
    }

    /// Records processes that this one has heard from or of.
    pub fn record_members(&self, members: &[(Name, SocketAddr)]) {
        let (now, mut known) = (Instant::now(), self.lock_members());
        for (name, address) in members.iter().filter(|(name, _)| *name != self.settings.host) {
            known.record(name, *address, now);
        }
    }

    /// Returns all other processes that may become the owner, sorted by name.
    pub fn members(&self) -> Vec<(Name, SocketAddr)> {
        self.lock_members().list(Instant::now())
    }

    /// Returns what this process knows about the owner with an epoch, for that owner. Reads the owner
    /// record if it may.
    ///
    /// The owner relies on this: the engine of a newer owner in this process, which waits for leases
    /// from its creation, is created after every reply that did not name it.
    pub async fn owner_status(&self, epoch: u64, may_read: bool) -> OwnerStatus {
        let newer = || self.ownership.newest_owner().filter(|owner| owner.epoch > epoch);
        if let Some(owner) = newer() {
            return OwnerStatus::Superseded(owner);
        }
        if !may_read || !self.configs.is_store_answering() {
            return OwnerStatus::Unopposed;
        }
        let record = OwnerRecord::read(&self.store).await.ok().and_then(|(record, _)| record);
        match record {
            Some(record) if record.epoch == epoch && !record.is_vacant => OwnerStatus::Confirmed,
            Some(record) if record.epoch > epoch => {
                self.ownership.record_owner(&record.owner());
                OwnerStatus::Superseded(record.owner())
            }
            _ => newer().map_or(OwnerStatus::Unopposed, OwnerStatus::Superseded),
        }
    }

    fn lock_members(&self) -> std::sync::MutexGuard<'_, Members> {
        self.members.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_directory(&self) -> std::sync::MutexGuard<'_, Directory> {
        self.directory.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Answers a caller's request if this process is the owner.
    pub async fn ask_local_owner(&self, request: CallerRequest) -> RequestOutcome {
        match self.ownership.current() {
            CurrentOwner::Local(handle) => handle.ask(request, self).await,
            _ => RequestOutcome::NotOwner,
        }
    }

    /// Asks the advice service which hosts may run a step. Returns the allowed hosts with their
    /// tickets.
    ///
    /// # Errors
    ///
    /// Returns why there was no answer within `timeout`, which includes the wait for an earlier
    /// call to end. Otherwise the call would be made although its owner has given it up, and
    /// would delay the next one.
    pub async fn advise(
        &self,
        step: &StepId,
        hosts: &[Name],
        timeout: Duration,
    ) -> Result<Vec<(Name, Name)>, AdviceFailure> {
        let started = Instant::now();
        let advice_client = self.advice_client.as_ref().ok_or(AdviceFailure::NotConfigured)?;
        let lock = tokio::time::timeout(timeout, self.advice_lock.lock());
        let _guard = lock.await.map_err(|_| AdviceFailure::Busy)?;
        let left = timeout.saturating_sub(started.elapsed());
        advice_client.query(step, hosts, left).await.map_err(AdviceFailure::Service)
    }
}
