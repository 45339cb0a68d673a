//! State of a process, for tests within the process.

use std::net::SocketAddr;
use std::sync::{Arc, OnceLock};

use sycamore_platform::site::Settings;
use sycamore_standin::fenced::{self, ProcessSettings};
use sycamore_telemetry::logs::{self, LineSender};

use crate::node::Node;
use crate::options::Options;

/// Returns the state of a process at an address, which nothing serves yet.
pub(in crate::owner) fn node(
    name: &str,
    peers: SocketAddr,
    advice: Option<SocketAddr>,
) -> Arc<Node> {
    static LINES: OnceLock<LineSender> = OnceLock::new();
    let lines = LINES.get_or_init(|| logs::start_rate_limited().expect("the only log"));
    let unused = SocketAddr::from(([127, 0, 0, 1], 9));
    let text = fenced::settings(&ProcessSettings {
        evacuation_ms: None,
        memory_mb: None,
        max_fds: None,
        host: name.to_string(),
        address: peers.ip().to_string(),
        peer_port: peers.port(),
        seeds: Vec::new(),
        caller_address: unused,
        store_address: unused,
        advice_address: advice,
        grace_s: 6,
        cores: 1.0,
        link_mbps: 100.0,
    });
    let settings = Settings::parse(&text).expect("valid settings");
    Arc::new(Node::new(settings, Options::default(), lines.clone()))
}
