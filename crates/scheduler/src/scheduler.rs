use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use displaydoc::Display;
use rand::Rng;
use sycamore_core::{Event, Identity, Node, Timing, View};
use sycamore_platform::hosts::{HttpList, List};
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
use crate::control::{self, Sender};
use crate::execute::Executor;
use crate::metrics::Meters;
use crate::peers::Outbox;
use crate::relay::{self, Peers, Relay};
use crate::traffic::Traffic;
use crate::{admin, records, watch as watches};

/// Time between two looks at the identity of the process.
const IDENTITY: Duration = Duration::from_millis(50);

/// Time that requests under way get to end after a planned stop.
const GRACE: Duration = Duration::from_secs(10);

/// Why a scheduler could not be started.
#[derive(Debug, Display)]
#[non_exhaustive]
pub enum Error {
    /// can't listen on {address}: {source}
    Listen {
        /// The address.
        address: std::net::SocketAddr,
        /// What went wrong.
        source: std::io::Error,
    },
    /// can't start the control thread: {0}
    Thread(std::io::Error),
}

impl std::error::Error for Error {}

/// A scheduler process that runs.
#[derive(Debug)]
pub struct Scheduler {
    control: Sender,
    thread: Option<std::thread::JoinHandle<()>>,
    tasks: Vec<JoinHandle<()>>,
    records: JoinHandle<()>,
    under_way: Arc<AtomicUsize>,
    /// Address on which peers reach the process.
    pub address: std::net::SocketAddr,
    /// Address for metrics and health.
    pub admin_address: std::net::SocketAddr,
}

impl Scheduler {
    /// Starts a scheduler with the platform's HTTP protocols.
    ///
    /// # Errors
    ///
    /// Fails when an address can't be listened on.
    pub async fn start(arguments: Arguments, timing: Timing) -> Result<Scheduler, Error> {
        let store = HttpStore::new(arguments.store);
        let list = HttpList::new(arguments.hosts);
        Scheduler::start_with(arguments, timing, store, HttpWorker::new(), list).await
    }

    /// Starts a scheduler with any adapters.
    ///
    /// # Errors
    ///
    /// Fails when an address can't be listened on.
    pub async fn start_with<S: Store, W: Worker, L: List>(
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
        let (inputs, received) = std::sync::mpsc::channel();
        let control = Sender::new(inputs);
        let clock = Clock::start();
        let meters = Meters::new();
        let (decisions, decided) = mpsc::unbounded_channel();
        let records = tokio::spawn(records::run(decided, arguments.records, store.clone()));
        let runtime = Handle::current();
        let pool = Pool::default();
        let outbox = Outbox::new(runtime.clone(), pool.clone(), node.member().clone());
        let rollout = Rollout::new();
        let peers = Peers::new(address);
        let relayed = Relay::new(store.clone(), pool.clone(), peers.clone());
        let under_way = Arc::new(AtomicUsize::new(0));
        let executor = Executor {
            runtime,
            clock,
            store: relayed.clone(),
            worker: worker.clone(),
            outbox: outbox.clone(),
            records: decisions,
            control: control.clone(),
            meters: meters.clone(),
        };
        let thread = control::spawn(node, clock, received, executor, meters.clone())
            .map_err(Error::Thread)?;
        let tracer = Tracer::new(arguments.otlp, "sycamore-scheduler");
        let traffic = Arc::new(Traffic {
            tracer,
            control: control.clone(),
            store: store.clone(),
            worker,
            rollout: rollout.clone(),
            under_way: under_way.clone(),
            clock,
            meters: meters.clone(),
            member,
        });
        let ready = control.clone();
        let is_ready = move || {
            let ready = ready.clone();
            async move { is_ready(ready.view().await) }
        };
        let tasks = vec![
            tokio::spawn(accept(listener, traffic)),
            tokio::spawn(admin::serve(admin_listener, meters.metrics, is_ready)),
            tokio::spawn(sycamore_rollout::follow(store.clone(), rollout.clone())),
            tokio::spawn(watches::config(rollout.clone(), control.clone())),
            tokio::spawn(relay::follow_peers(relayed, peers.clone())),
            tokio::spawn(sycamore_rollout::gossip(rollout, pool, move || peers.addresses())),
            tokio::spawn(watches::owners(store, control.clone())),
            tokio::spawn(watches::hosts(list, control.clone())),
            tokio::spawn(follow_identity(control.clone(), member_sender, outbox)),
        ];
        let thread = Some(thread);
        Ok(Scheduler { control, thread, tasks, records, under_way, address, admin_address })
    }

    /// Describes the decision core. Returns `None` after it has ended.
    pub async fn view(&self) -> Option<View> {
        self.control.view().await
    }

    /// Stops as planned: hands all shards over, lets requests end, then ends.
    pub async fn stop(mut self) {
        self.control.event(Event::Stop);
        if let Some(thread) = self.thread.take() {
            let joining = tokio::task::spawn_blocking(move || thread.join());
            let _ = tokio::time::timeout(GRACE, joining).await;
        }
        self.wait_for_requests().await;
        for task in self.tasks.drain(..) {
            task.abort();
        }
        let _ = tokio::time::timeout(Duration::from_secs(1), &mut self.records).await;
    }

    async fn wait_for_requests(&self) {
        let end = tokio::time::Instant::now() + GRACE;
        while self.under_way.load(Ordering::Relaxed) > 0 && tokio::time::Instant::now() < end {
            tokio::time::sleep(IDENTITY).await;
        }
    }
}

fn is_ready(view: Option<View>) -> bool {
    view.is_some_and(|view| view.config > 0 && view.deadline.is_some())
}

async fn listen(address: std::net::SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address).await.map_err(|source| Error::Listen { address, source })
}

async fn accept<S: Store, W: Worker>(listener: TcpListener, traffic: Arc<Traffic<S, W>>) {
    while let Ok((socket, _)) = listener.accept().await {
        let _ = socket.set_nodelay(true);
        let traffic = traffic.clone();
        tokio::spawn(async move {
            let take = move |incoming| traffic.clone().take(incoming);
            // The callers see the end of the connection on their own streams.
            let _ = sycamore_wire::serve(socket, take).await;
        });
    }
}

/// Follows the identity of the core, which changes when its lease is lost.
async fn follow_identity(control: Sender, identity: watch::Sender<id::Member>, outbox: Outbox) {
    while let Some(view) = control.view().await {
        let is_news = *identity.borrow() != view.member;
        if is_news {
            outbox.set_from(view.member.clone());
            let _ = identity.send(view.member);
        }
        tokio::time::sleep(IDENTITY).await;
    }
}
