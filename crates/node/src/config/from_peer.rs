//! Fetches the configuration from a process that has a newer version in force.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use sycamore_wire::Pool;

use super::{Configs, LoadedConfig};
use crate::peer::{Command, Reply};
use crate::timing::CONFIG_FETCH_TIMEOUT;

impl Configs {
    /// Handles the version that a peer has in force. If it is newer and the store does not
    /// deliver it, fetches it from the peer in the background.
    pub fn on_peer_version(&self, pool: &Pool, address: SocketAddr, version: u64) {
        self.record_known_version(version);
        if !self.begins_fetch(version > self.version()) {
            return;
        }
        let (configs, pool) = (self.clone(), pool.clone());
        tokio::spawn(async move {
            let started = Instant::now();
            let mut applied = configs.subscribe();
            let is_applied = |current: &Option<Arc<LoadedConfig>>| {
                current.as_ref().is_some_and(|now| now.config.catalog.version >= version)
            };
            let is_received = tokio::select! {
                failure = configs.fetch(&pool, address) => {
                    configs.record_transfer("peer", started, failure.as_deref());
                    failure.is_none()
                }
                // The store's copy was faster.
                _ = applied.wait_for(is_applied) => true,
            };
            configs.end_fetch(is_received);
        });
    }

    /// Returns the failure, if any.
    async fn fetch(&self, pool: &Pool, address: SocketAddr) -> Option<String> {
        match pool.fetch::<Reply>(address, &Command::Config, CONFIG_FETCH_TIMEOUT).await {
            Ok(Reply::Config(Some(source))) => {
                self.apply_if_newer(source, "peer");
                None
            }
            Ok(_) => Some("the peer has no configuration".to_string()),
            Err(error) => Some(error.to_string()),
        }
    }
}
