//! Starts the process, applies changed settings, and stops it in order: it stops being ready,
//! keeps serving while the load balancer reacts, then resigns and closes its connections.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use displaydoc::Display;
use sycamore_intake::{connection, memory};
use sycamore_platform::site::Settings;
use sycamore_platform::{SignalAction, Signals};
use sycamore_telemetry::logs::LineSender;
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::Notify;

use crate::node::Node;
use crate::options::Options;
use crate::timing::{DRAIN_DELAY, EXIT_MARGIN, LAST_RESPONSE_MARGIN, SETTINGS_CHECK_INTERVAL};
use crate::{api, metrics, ownership, peer};

/// Returned when the process can't start.
#[derive(Debug, Display)]
#[non_exhaustive]
pub enum Error {
    /// can't listen on {0}: {1}
    Listen(SocketAddr, std::io::Error),
    /// can't connect from {0}: {1}
    SourceAddress(IpAddr, std::io::Error),
    /// can't listen for signals: {0}
    Signals(std::io::Error),
}

impl std::error::Error for Error {}

/// Runs the process until a signal stops it.
///
/// `path` is the settings file, which is watched for changes, and `lines` receives the decision
/// records.
///
/// # Errors
///
/// Returns an error if the process can't listen for signals or on one of its addresses, or can't
/// connect from the source address of its options.
pub async fn run(
    settings: Settings,
    path: &str,
    lines: LineSender,
    options: Options,
) -> Result<(), Error> {
    let mut signals = Signals::listen().map_err(Error::Signals)?;
    if let Some(address) = options.source_address() {
        check_source_address(address, settings.peers)
            .map_err(|error| Error::SourceAddress(address, error))?;
    }
    let peer_address = options.peer_listen().unwrap_or(settings.peers);
    let callers = connection::listen(settings.callers)
        .map_err(|error| Error::Listen(settings.callers, error))?;
    let peers = listen(peer_address).await?;
    let readiness = match settings.readiness {
        Some(address) => Some(listen(address).await?),
        None => None,
    };
    log::info!(
        target: "process", host:% = settings.host, domain:% = settings.failure_domain,
        memory_bytes = settings.memory_bytes, descriptors = settings.max_descriptors; "start"
    );
    if memory::resident_bytes().is_none() {
        log::warn!(
            target: "process", memory_bytes = settings.memory_bytes;
            "can't read the memory in use, so bodies may take their largest share at any time"
        );
    }
    let grace = Duration::from_millis(settings.grace_ms);
    let metrics = match options.metrics_port() {
        Some(port) => Some(listen(SocketAddr::new(peer_address.ip(), port)).await?),
        None => None,
    };
    let node = Arc::new(Node::new(settings, options, lines));
    tokio::spawn(node.configs.clone().follow_store(node.store.clone()));
    tokio::spawn(peer::serve(node.clone(), peers));
    let server = Arc::new(api::Server::new(node.clone()));
    tokio::spawn(api::serve(server.clone(), callers));
    if let Some(listener) = readiness {
        tokio::spawn(api::serve_readiness(node.clone(), listener));
    }
    if let Some(listener) = metrics {
        tokio::spawn(metrics::serve(node.meters.clone(), listener));
    }
    let reload = Arc::new(Notify::new());
    tokio::spawn(watch_settings(node.clone(), path.to_string(), reload.clone()));
    let ownership_task = tokio::spawn(ownership::follow(node.clone()));
    while signals.next().await == SignalAction::Reload {
        reload.notify_one();
    }
    log::info!(target: "process", "received a stop signal");
    let stop_requested = Instant::now();
    let time_left = grace.saturating_sub(EXIT_MARGIN);
    node.begin_stop(stop_requested + time_left.saturating_sub(LAST_RESPONSE_MARGIN));
    tokio::time::sleep(DRAIN_DELAY.min(time_left).saturating_sub(stop_requested.elapsed())).await;
    node.must_resign.notify_waiters();
    server.close(time_left.saturating_sub(stop_requested.elapsed())).await;
    node.wait_until_resigned().await;
    ownership_task.abort();
    log::info!(target: "process", "stopped");
    Ok(())
}

/// Checks that the address is one of this host, and of the IP version of the address for peers,
/// since every later connection would fail.
fn check_source_address(address: IpAddr, peers: SocketAddr) -> std::io::Result<()> {
    if address.is_ipv4() != peers.is_ipv4() {
        return Err(std::io::Error::other("the address for peers has another IP version"));
    }
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.bind(SocketAddr::new(address, 0))
}

async fn listen(address: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address).await.map_err(|error| Error::Listen(address, error))
}

/// Applies changes of the settings file, whether or not a signal announces them.
async fn watch_settings(node: Arc<Node>, path: String, reload: Arc<Notify>) {
    let mut last = std::fs::read_to_string(&path).unwrap_or_default();
    loop {
        // Reads the file after a signal as well as after the interval.
        let _ = tokio::time::timeout(SETTINGS_CHECK_INTERVAL, reload.notified()).await;
        let now = match std::fs::read_to_string(&path) {
            Ok(text) => text,
            Err(error) => {
                log::warn!(target: "process", path, error:%; "can't read the settings file");
                continue;
            }
        };
        if now != last {
            apply_settings(&node, &now);
            last = now;
        }
    }
}

/// Applies the settings that can change while the process runs, the seeds. Listen addresses
/// and the engine's limits stay as they were until the process restarts.
fn apply_settings(node: &Node, text: &str) {
    match Settings::parse(text) {
        Ok(settings) => {
            log::info!(target: "process", host:% = settings.host; "settings reloaded");
            node.set_seeds(settings.seeds);
        }
        Err(error) => {
            log::error!(target: "process", error:%; "can't reload the settings, keeping the previous ones");
        }
    }
}
