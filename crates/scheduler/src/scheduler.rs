//! One scheduler process: starts its parts, connects them and stops them.
//!
//! The store, the workers and the host list are passed in behind traits, so that the scheduler
//! does not depend on the platform's protocols.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use displaydoc::Display;
use rand::Rng;
use sycamore_core::{Event, Identity, Node, Timing, View};
use sycamore_platform::hosts::{HostList, HttpHostList};
use sycamore_platform::otlp::Tracer;
use sycamore_platform::store::{HttpStore, Store};
use sycamore_platform::worker::{HttpWorker, Worker};
use sycamore_rollout::Rollout;
use sycamore_types::{Name, id};
use sycamore_wire::Pool;
use tokio::net::TcpListener;
use tokio::runtime::Handle;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;

use crate::arguments::Arguments;
use crate::clock::Clock;
use crate::control::{self, ControlHandle};
use crate::execute::Executor;
use crate::metrics::Meters;
use crate::outbox::Outbox;
use crate::relay::{self, PeerList, Relay};
use crate::traffic::Traffic;
use crate::watch::{forward_config, forward_hosts, forward_owner_changes};
use crate::{admin, records};

/// Time between two polls, of the member identity or of the number of requests in flight.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Time limit of a planned stop for handing over the shards, and again for the requests that
/// are in flight afterwards.
const STOP_TIMEOUT: Duration = Duration::from_secs(10);

/// Time limit of a planned stop for writing the last decision records.
const RECORD_FLUSH_TIMEOUT: Duration = Duration::from_secs(1);

/// The reason why a scheduler could not be started.
#[derive(Debug, Display)]
#[non_exhaustive]
pub enum Error {
    /// can't listen on {address}: {source}
    Listen {
        /// Address to listen on.
        address: std::net::SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// can't start the control thread: {0}
    Thread(std::io::Error),
}

impl std::error::Error for Error {}

/// A running scheduler.
///
/// Call [`stop`](Scheduler::stop) to end it: dropping it leaves its tasks running.
#[derive(Debug)]
pub struct Scheduler {
    control: ControlHandle,
    control_thread: Option<std::thread::JoinHandle<()>>,
    tasks: Vec<JoinHandle<()>>,
    records: JoinHandle<()>,
    in_flight: Arc<AtomicUsize>,
    /// Address on which the process serves peers and entry processes.
    pub address: std::net::SocketAddr,
    /// Address on which the process serves metrics and health checks.
    pub admin_address: std::net::SocketAddr,
}

impl Scheduler {
    /// Starts a scheduler that reaches the platform over HTTP.
    ///
    /// # Errors
    ///
    /// Fails if an address can't be listened on or the control thread can't be started.
    pub async fn start(arguments: Arguments, timing: Timing) -> Result<Scheduler, Error> {
        let store = HttpStore::new(arguments.store);
        let list = HttpHostList::new(arguments.hosts);
        Scheduler::start_with(arguments, timing, store, HttpWorker::new(), list).await
    }

    /// Starts a scheduler with other implementations of the store, the workers and the host
    /// list.
    ///
    /// # Errors
    ///
    /// Fails if an address can't be listened on or the control thread can't be started.
    pub async fn start_with<S: Store, W: Worker, L: HostList>(
        arguments: Arguments,
        timing: Timing,
        store: S,
        worker: W,
        list: L,
    ) -> Result<Scheduler, Error> {
        let listener = listen(arguments.listen).await?;
        let admin_listener = listen(arguments.admin_listen).await?;
        let address = listener.local_addr().unwrap_or(arguments.listen);
        let admin_address = admin_listener.local_addr().unwrap_or(arguments.admin_listen);
        let identity = Identity {
            member: id::Member { name: arguments.name.clone(), incarnation: rand::rng().random() },
            address: Name::from(address.to_string()),
            failure_domain: arguments.failure_domain.clone(),
        };
        let node = Node::new(identity, timing);
        let (member_sender, member) = watch::channel(node.member().clone());
        let (input_sender, input_receiver) = std::sync::mpsc::channel();
        let control = ControlHandle::new(input_sender);
        let clock = Clock::start();
        let meters = Meters::new();
        let (decision_sender, decision_receiver) = mpsc::unbounded_channel();
        let records =
            tokio::spawn(records::run(decision_receiver, arguments.records, store.clone()));
        let runtime = Handle::current();
        let pool = Pool::default();
        let outbox = Outbox::new(runtime.clone(), pool.clone(), node.member().clone());
        let rollout = Rollout::new();
        let peers = PeerList::new(address);
        let relay = Relay::new(store.clone(), pool.clone(), peers.clone());
        let in_flight = Arc::new(AtomicUsize::new(0));
        let executor = Executor {
            runtime,
            clock,
            store: relay.clone(),
            worker: worker.clone(),
            outbox: outbox.clone(),
            decisions: decision_sender,
            control: control.clone(),
            meters: meters.clone(),
        };
        let thread = control::spawn(node, clock, input_receiver, executor, meters.clone())
            .map_err(Error::Thread)?;
        let tracer = Tracer::new(arguments.otlp, "sycamore-scheduler");
        let traffic = Arc::new(Traffic {
            tracer,
            control: control.clone(),
            store: store.clone(),
            worker,
            rollout: rollout.clone(),
            in_flight: in_flight.clone(),
            clock,
            meters: meters.clone(),
            member,
        });
        let handle = control.clone();
        let is_ready = move || {
            let handle = handle.clone();
            async move { is_ready(handle.view().await) }
        };
        let tasks = vec![
            tokio::spawn(accept_connections(listener, traffic)),
            tokio::spawn(admin::serve(admin_listener, meters.metrics, is_ready)),
            tokio::spawn(sycamore_rollout::follow(store.clone(), rollout.clone())),
            tokio::spawn(forward_config(rollout.clone(), control.clone())),
            tokio::spawn(relay::refresh_peer_list(relay, peers.clone())),
            tokio::spawn(sycamore_rollout::gossip(rollout, pool, move || peers.addresses())),
            tokio::spawn(forward_owner_changes(store, control.clone())),
            tokio::spawn(forward_hosts(list, control.clone())),
            tokio::spawn(follow_identity(control.clone(), member_sender, outbox)),
        ];
        let control_thread = Some(thread);
        Ok(Scheduler { control, control_thread, tasks, records, in_flight, address, admin_address })
    }

    /// Returns the state of the decision core. `None` after it has ended.
    pub async fn view(&self) -> Option<View> {
        self.control.view().await
    }

    /// Stops the scheduler in a planned way: hands over all shards, waits for the requests in
    /// flight and writes the last decision records, each within a time limit.
    pub async fn stop(mut self) {
        self.control.send_event(Event::Stop);
        if let Some(thread) = self.control_thread.take() {
            let joining = tokio::task::spawn_blocking(move || thread.join());
            let _ = tokio::time::timeout(STOP_TIMEOUT, joining).await;
        }
        self.wait_for_requests().await;
        for task in self.tasks.drain(..) {
            task.abort();
        }
        let _ = tokio::time::timeout(RECORD_FLUSH_TIMEOUT, &mut self.records).await;
    }

    async fn wait_for_requests(&self) {
        let end = tokio::time::Instant::now() + STOP_TIMEOUT;
        while self.in_flight.load(Ordering::Relaxed) > 0 && tokio::time::Instant::now() < end {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}

/// Returns whether the process can do its work: it has a configuration and has acquired a lease.
fn is_ready(view: Option<View>) -> bool {
    view.is_some_and(|view| view.config > 0 && view.deadline.is_some())
}

async fn listen(address: std::net::SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address).await.map_err(|source| Error::Listen { address, source })
}

async fn accept_connections<S: Store, W: Worker>(
    listener: TcpListener,
    traffic: Arc<Traffic<S, W>>,
) {
    while let Ok((socket, _)) = listener.accept().await {
        let _ = socket.set_nodelay(true);
        let traffic = traffic.clone();
        tokio::spawn(async move {
            let handle = move |incoming| traffic.clone().handle(incoming);
            // The error is ignored: each caller sees on its own stream that the connection failed.
            let _ = sycamore_wire::serve(socket, handle).await;
        });
    }
}

/// Passes a new member identity of the core to [`Traffic`] and the [`Outbox`].
///
/// The core takes a new identity when its lease is lost.
async fn follow_identity(
    control: ControlHandle,
    identity: watch::Sender<id::Member>,
    outbox: Outbox,
) {
    while let Some(view) = control.view().await {
        let has_changed = *identity.borrow() != view.member;
        if has_changed {
            outbox.set_local_member(view.member.clone());
            let _ = identity.send(view.member);
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
