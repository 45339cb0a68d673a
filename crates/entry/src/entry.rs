use std::sync::Arc;
use std::time::Duration;

use displaydoc::Display;
use http::{Method, Request, Response};
use hyper::body::Incoming;
use sycamore_platform::hosts::HttpList;
use sycamore_platform::otlp::Tracer;
use sycamore_platform::store::HttpStore;
use sycamore_rollout::Rollout;
use sycamore_wire::Pool;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::arguments::Arguments;
use crate::budget::Budget;
use crate::directory::{self, Directory};
use crate::door::{self, Body, not_found};
use crate::metrics::Meters;
use crate::presence::{self, Presence};
use crate::{forward, jobs, operator};

/// Time between leaving readiness and closing the door, so that the balancer
/// sends no new calls.
const LEAVE: Duration = Duration::from_millis(1_500);

/// Time that calls under way get to end after a planned stop.
const GRACE: Duration = Duration::from_secs(10);

/// Why an entry process could not be started.
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
}

impl std::error::Error for Error {}

/// What every call needs.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) arguments: Arguments,
    pub(crate) store: HttpStore,
    pub(crate) pool: Pool,
    pub(crate) rollout: Rollout,
    pub(crate) directory: Directory,
    pub(crate) budget: Budget,
    pub(crate) tracer: Tracer,
    pub(crate) meters: Meters,
    pub(crate) stopping: watch::Sender<bool>,
    leaving: watch::Sender<bool>,
}

impl Shared {
    /// Tells whether the balancer may send calls here.
    pub(crate) fn is_ready(&self) -> bool {
        let knows_enough = self.rollout.current().revision > 0
            && !self.directory.snapshot().owners.shards.is_empty()
            && !self.directory.snapshot().hosts.is_empty();
        knows_enough && !*self.leaving.borrow()
    }
}

/// An entry process that runs.
#[derive(Debug)]
pub struct Entry {
    shared: Arc<Shared>,
    door: JoinHandle<()>,
    tasks: Vec<JoinHandle<()>>,
    /// Address for callers.
    pub address: std::net::SocketAddr,
    /// Address for operators.
    pub operator_address: std::net::SocketAddr,
}

impl Entry {
    /// Starts an entry process with the platform's HTTP protocols.
    ///
    /// # Errors
    ///
    /// Fails when an address can't be listened on.
    pub async fn start(arguments: Arguments) -> Result<Entry, Error> {
        let callers = listen(arguments.listen).await?;
        let operators = listen(arguments.operator_listen).await?;
        let peers = listen(arguments.peer_listen).await?;
        let address = callers.local_addr().unwrap_or(arguments.listen);
        let operator_address = operators.local_addr().unwrap_or(arguments.operator_listen);
        let peer_address = peers.local_addr().unwrap_or(arguments.peer_listen);
        let store = HttpStore::new(arguments.store);
        let list = HttpList::new(arguments.hosts);
        let shared = Arc::new(Shared {
            store: store.clone(),
            pool: Pool::default(),
            rollout: Rollout::new(),
            directory: Directory::default(),
            budget: Budget::default(),
            tracer: Tracer::new(arguments.otlp, "sycamore-entry"),
            meters: Meters::new(),
            stopping: watch::Sender::new(false),
            leaving: watch::Sender::new(false),
            arguments,
        });
        let presence = Presence::new(
            store.clone(),
            &shared.arguments.name,
            peer_address.to_string(),
            &shared.arguments.failure_domain,
        );
        let directory = shared.directory.clone();
        let addresses = {
            let directory = directory.clone();
            move || {
                let mut all = directory.snapshot().addresses();
                all.retain(|other| *other != peer_address);
                all
            }
        };
        let rollout = shared.rollout.clone();
        let tasks = vec![
            tokio::spawn(sycamore_rollout::follow(store.clone(), rollout.clone())),
            tokio::spawn(sycamore_rollout::gossip(rollout.clone(), shared.pool.clone(), addresses)),
            tokio::spawn(directory::follow_members(store.clone(), directory.clone())),
            tokio::spawn(directory::follow_owners(store, directory.clone())),
            tokio::spawn(directory::follow_hosts(list, directory)),
            tokio::spawn(presence.run()),
            tokio::spawn(presence::listen(peers, rollout)),
            tokio::spawn(serve_operators(operators, shared.clone())),
        ];
        let door = tokio::spawn(serve_callers(callers, shared.clone()));
        Ok(Entry { shared, door, tasks, address, operator_address })
    }

    /// Tells whether the balancer may send calls here.
    pub fn is_ready(&self) -> bool {
        self.shared.is_ready()
    }

    /// Stops as planned: leaves readiness, lets calls end, then ends.
    pub async fn stop(self) {
        self.shared.leaving.send_replace(true);
        tokio::time::sleep(LEAVE).await;
        self.shared.stopping.send_replace(true);
        let _ = self.door.await;
        // Connections hold a receiver until their last call has ended.
        let closed = self.shared.stopping.closed();
        let _ = tokio::time::timeout(GRACE, closed).await;
        for task in self.tasks {
            task.abort();
        }
    }
}

async fn listen(address: std::net::SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address).await.map_err(|source| Error::Listen { address, source })
}

async fn serve_callers(listener: TcpListener, shared: Arc<Shared>) {
    let stopping = shared.stopping.subscribe();
    door::serve(listener, move |request| route(shared.clone(), request), stopping).await;
}

/// Operators are served until the very end of the process.
async fn serve_operators(listener: TcpListener, shared: Arc<Shared>) {
    let never = watch::Sender::new(false);
    let stopping = never.subscribe();
    door::serve(listener, move |request| operator::serve(shared.clone(), request), stopping).await;
}

async fn route(shared: Arc<Shared>, request: Request<Incoming>) -> Response<Body> {
    let path = request.uri().path().to_string();
    if let Some(rest) = path.strip_prefix("/v1/services/") {
        let service = rest.split('/').next().unwrap_or_default();
        return forward::serve(shared, request, service).await;
    }
    let method = request.method().clone();
    let job = path.strip_prefix("/v1/jobs/");
    match (method, path.as_str(), job) {
        (Method::POST, "/v1/jobs", _) => jobs::submit(shared, request).await,
        (Method::GET, _, Some(job)) => jobs::status(shared, request, job).await,
        (Method::DELETE, _, Some(job)) => jobs::cancel(shared, request, job).await,
        _ => not_found(),
    }
}
