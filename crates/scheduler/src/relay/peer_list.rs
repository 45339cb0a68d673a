//! The list of peers, as last read from the store.
//!
//! It is shared by the relay and by the gossip of configuration revisions.

use std::net::SocketAddr;
use std::sync::{Arc, PoisonError, RwLock};

/// Addresses of the other live members of the deployment, both schedulers and entry processes.
#[derive(Clone, Debug)]
pub(crate) struct PeerList {
    /// Address of this process, which the list leaves out.
    local: SocketAddr,
    addresses: Arc<RwLock<Vec<SocketAddr>>>,
}

impl PeerList {
    pub(crate) fn new(local: SocketAddr) -> PeerList {
        PeerList { local, addresses: Arc::default() }
    }

    /// Returns the addresses of all peers.
    pub(crate) fn addresses(&self) -> Vec<SocketAddr> {
        self.addresses.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Replaces the list. The address of this process is left out.
    pub(crate) fn set(&self, mut addresses: Vec<SocketAddr>) {
        addresses.retain(|address| *address != self.local);
        *self.addresses.write().unwrap_or_else(PoisonError::into_inner) = addresses;
    }
}
