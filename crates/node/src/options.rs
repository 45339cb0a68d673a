//! Options of the process, which operators set on its command line.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

/// Longest half-life of past use: 30 days. Use that old says little about a team.
pub(crate) const MAX_USAGE_HALF_LIFE: Duration = Duration::from_secs(30 * 24 * 3_600);

/// Options of the process. By default there are no metrics, past use plays no part, and addresses
/// are those of the settings and the system.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Options {
    metrics_port: Option<u16>,
    usage_half_life: Duration,
    source_address: Option<IpAddr>,
    peer_listen: Option<SocketAddr>,
}

impl Options {
    /// Serves the metrics on a port of the host.
    #[must_use]
    pub fn with_metrics_port(mut self, port: Option<u16>) -> Options {
        self.metrics_port = port;
        self
    }

    /// Takes the past use of teams into account, which counts half after `half_life`. Zero leaves
    /// it out.
    ///
    /// # Errors
    ///
    /// Returns a message if the half-life is above 30 days.
    pub fn with_usage_half_life(mut self, half_life: Duration) -> Result<Options, String> {
        if half_life > MAX_USAGE_HALF_LIFE {
            return Err(format!("at most {} seconds", MAX_USAGE_HALF_LIFE.as_secs()));
        }
        self.usage_half_life = half_life;
        Ok(self)
    }

    /// Connects to the store, the workers, the advice service and peers from an address of the
    /// host, for hosts that have several.
    ///
    /// # Errors
    ///
    /// Returns a message if the address names no single address.
    pub fn with_source_address(mut self, address: Option<IpAddr>) -> Result<Options, String> {
        if let Some(address) = address.filter(|ip| ip.is_unspecified() || ip.is_multicast()) {
            return Err(format!("`{address}` names no single address of the host"));
        }
        self.source_address = address;
        Ok(self)
    }

    /// Listens for peers on an address other than the one that the settings state, for hosts that
    /// are reached through port forwarding.
    ///
    /// # Errors
    ///
    /// Returns a message if the port is 0, to which nothing can be forwarded.
    pub fn with_peer_listen(mut self, address: Option<SocketAddr>) -> Result<Options, String> {
        if address.is_some_and(|address| address.port() == 0) {
            return Err("the port must not be 0".to_string());
        }
        self.peer_listen = address;
        Ok(self)
    }

    pub(crate) fn source_address(&self) -> Option<IpAddr> {
        self.source_address
    }

    pub(crate) fn peer_listen(&self) -> Option<SocketAddr> {
        self.peer_listen
    }

    pub(crate) fn metrics_port(&self) -> Option<u16> {
        self.metrics_port
    }

    /// Returns the half-life of past use in milliseconds, zero if it plays no part.
    pub(crate) fn usage_half_life_ms(&self) -> u64 {
        self.usage_half_life.as_millis() as u64
    }
}
