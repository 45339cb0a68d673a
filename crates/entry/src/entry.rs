//! Startup, routing and planned stop of an entry process.
//!
//! A planned stop reports not ready before it closes the callers' listener, so that the load
//! balancer has stopped sending calls by then.

use std::sync::Arc;
use std::time::Duration;

use displaydoc::Display;
use http::{Method, Request, Response};
use hyper::body::Incoming;
use sycamore_intake::body::Budget;
use sycamore_intake::connection::{self, Limit, RECEIVE_BUFFER_BYTES, Registry};
use sycamore_platform::hosts::HttpHostList;
use sycamore_platform::otlp::Tracer;
use sycamore_platform::store::HttpStore;
use sycamore_rollout::Rollout;
use sycamore_wire::Pool;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::api::{self, Body, not_found};
use crate::arguments::Arguments;
use crate::directory::{self, Directory};
use crate::membership::{self, Membership};
use crate::metrics::Meters;
use crate::retry_budget::RetryBudget;
use crate::{forward, jobs, operator};

/// Time between reporting not ready and closing the listener, so that the load balancer can stop
/// sending calls.
const LISTENER_CLOSE_DELAY: Duration = Duration::from_millis(1_500);

/// Time that calls in flight have to finish during a planned stop.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(10);

/// Connections of operators, probes and readers of metrics: a few tools with one or two each.
const OPERATOR_LIMIT: Limit = Limit { max: 32, max_in_shortage: 32 };

/// Reason why an entry process could not be started.
#[derive(Debug, Display)]
#[non_exhaustive]
pub enum Error {
    /// can't listen on {address}: {source}
    Listen {
        /// Address from the settings.
        address: std::net::SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
}

impl std::error::Error for Error {}

/// State that all calls share.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) arguments: Arguments,
    pub(crate) store: HttpStore,
    pub(crate) pool: Pool,
    pub(crate) rollout: Rollout,
    pub(crate) directory: Directory,
    pub(crate) retry_budget: RetryBudget,
    pub(crate) tracer: Tracer,
    pub(crate) meters: Meters,
    /// Memory that bodies share.
    pub(crate) bodies: Arc<Budget>,
    /// True once callers' connections are to close after their current call.
    pub(crate) stopping: watch::Sender<bool>,
    /// True once the process reports that it is not ready.
    leaving: watch::Sender<bool>,
}

impl Shared {
    /// Returns whether the load balancer may send calls to this process.
    ///
    /// Calls can only be forwarded once the configuration, a shard owner and a host are known.
    pub(crate) fn is_ready(&self) -> bool {
        let has_state = self.rollout.current().revision > 0
            && !self.directory.snapshot().owners.shards.is_empty()
            && !self.directory.snapshot().hosts.is_empty();
        has_state && !*self.leaving.borrow()
    }
}

/// A running entry process.
#[derive(Debug)]
pub struct Entry {
    shared: Arc<Shared>,
    api_server: JoinHandle<()>,
    tasks: Vec<JoinHandle<()>>,
    /// Address that callers connect to, with the port chosen by the system if the setting has
    /// port 0.
    pub address: std::net::SocketAddr,
    /// Address that operators connect to, with the port chosen likewise.
    pub operator_address: std::net::SocketAddr,
}

impl Entry {
    /// Starts an entry process that uses the platform's HTTP services.
    ///
    /// # Errors
    ///
    /// Fails if one of the three listen addresses can't be bound.
    pub async fn start(arguments: Arguments) -> Result<Entry, Error> {
        let callers = connection::listen(arguments.listen)
            .map_err(|source| Error::Listen { address: arguments.listen, source })?;
        let operators = listen(arguments.operator_listen).await?;
        let peers = listen(arguments.peer_listen).await?;
        let address = callers.local_addr().unwrap_or(arguments.listen);
        let operator_address = operators.local_addr().unwrap_or(arguments.operator_listen);
        let peer_address = peers.local_addr().unwrap_or(arguments.peer_listen);
        let store = HttpStore::new(arguments.store);
        let list = HttpHostList::new(arguments.hosts);
        let meters = Meters::new();
        let shared = Arc::new(Shared {
            store: store.clone(),
            pool: Pool::default(),
            rollout: Rollout::new(),
            directory: Directory::default(),
            retry_budget: RetryBudget::default(),
            tracer: Tracer::new(arguments.otlp, "sycamore-entry"),
            bodies: Arc::new(Budget::new(arguments.memory_bytes, meters.bodies.clone())),
            meters,
            stopping: watch::Sender::new(false),
            leaving: watch::Sender::new(false),
            arguments,
        });
        let membership = Membership::new(
            store.clone(),
            &shared.arguments.name,
            peer_address.to_string(),
            &shared.arguments.failure_domain,
        );
        let directory = shared.directory.clone();
        let peer_addresses = {
            let directory = directory.clone();
            move || {
                let mut all = directory.snapshot().live_addresses();
                all.retain(|other| *other != peer_address);
                all
            }
        };
        let rollout = shared.rollout.clone();
        let tasks = vec![
            tokio::spawn(sycamore_rollout::follow(store.clone(), rollout.clone())),
            tokio::spawn(sycamore_rollout::gossip(
                rollout.clone(),
                shared.pool.clone(),
                peer_addresses,
            )),
            tokio::spawn(directory::follow_members(store.clone(), directory.clone())),
            tokio::spawn(directory::follow_owners(store, directory.clone())),
            tokio::spawn(directory::follow_hosts(list, directory)),
            tokio::spawn(membership.run()),
            tokio::spawn(membership::serve_peers(peers, rollout)),
            tokio::spawn(serve_operators(operators, shared.clone())),
        ];
        let api_server = tokio::spawn(serve_callers(callers, shared.clone()));
        Ok(Entry { shared, api_server, tasks, address, operator_address })
    }

    /// Returns whether the load balancer may send calls to this process.
    pub fn is_ready(&self) -> bool {
        self.shared.is_ready()
    }

    /// Stops as planned: reports not ready, closes the listener, waits for calls in flight, and
    /// then ends the background tasks.
    pub async fn stop(self) {
        self.shared.leaving.send_replace(true);
        tokio::time::sleep(LISTENER_CLOSE_DELAY).await;
        self.shared.stopping.send_replace(true);
        let _ = self.api_server.await;
        // Each connection holds a receiver until its last call has finished.
        let closed = self.shared.stopping.closed();
        let _ = tokio::time::timeout(DRAIN_TIMEOUT, closed).await;
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
    let arguments = &shared.arguments;
    let connection_bytes = RECEIVE_BUFFER_BYTES + api::MAX_HEAD_BYTES;
    let limit =
        Limit::of_callers(arguments.max_descriptors, arguments.memory_bytes, connection_bytes);
    let connections = Arc::new(Registry::new(limit, shared.meters.callers.clone()));
    let bodies = shared.bodies.clone();
    let is_short = move || bodies.is_process_short();
    let handle = move |request| route(shared.clone(), request);
    api::serve(listener, connections, is_short, handle, stopping).await;
}

/// Serves operators until the task is aborted, so that they can still query a stopping process.
async fn serve_operators(listener: TcpListener, shared: Arc<Shared>) {
    let never = watch::Sender::new(false);
    let stopping = never.subscribe();
    let connections = Arc::new(Registry::new(OPERATOR_LIMIT, shared.meters.operators.clone()));
    let handle = move |request| operator::serve(shared.clone(), request);
    api::serve(listener, connections, || false, handle, stopping).await;
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
