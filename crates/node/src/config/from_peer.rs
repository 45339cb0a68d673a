//! Fetches the configuration from a process that has a newer version in force.

use std::net::SocketAddr;
use std::time::Instant;

use sycamore_wire::{ConnectionKind, Pool};

use super::Configs;
use crate::peer::{Command, Reply};
use crate::timing::PING_TIMEOUT;

impl Configs {
    /// Fetches the configuration from a peer in the background if the peer's version is newer.
    pub fn fetch_if_newer(&self, pool: &Pool, address: SocketAddr, version: u64) {
        self.record_known_version(version);
        if version <= self.version() {
            return;
        }
        let (configs, pool) = (self.clone(), pool.clone());
        tokio::spawn(async move {
            let started = Instant::now();
            let call = pool.call::<Reply>(address, ConnectionKind::Control, &Command::Config);
            let failure = match tokio::time::timeout(PING_TIMEOUT, call).await {
                Ok(Ok(Reply::Config(Some(source)))) => {
                    configs.apply_if_newer(source, "peer");
                    None
                }
                Ok(Ok(_)) => Some("the peer has no configuration".to_string()),
                Ok(Err(error)) => Some(error.to_string()),
                Err(_) => Some(format!("not received within {} ms", PING_TIMEOUT.as_millis())),
            };
            configs.record_transfer("peer", started, failure.as_deref());
        });
    }
}
