use std::net::SocketAddr;
use std::sync::{Arc, PoisonError, RwLock};

/// Addresses of all other processes.
#[derive(Clone, Debug)]
pub(crate) struct PeerList {
    local: SocketAddr,
    addresses: Arc<RwLock<Vec<SocketAddr>>>,
}

impl PeerList {
    pub(crate) fn new(local: SocketAddr) -> PeerList {
        PeerList { local, addresses: Arc::default() }
    }

    pub(crate) fn addresses(&self) -> Vec<SocketAddr> {
        self.addresses.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    pub(crate) fn set(&self, mut addresses: Vec<SocketAddr>) {
        addresses.retain(|address| *address != self.local);
        *self.addresses.write().unwrap_or_else(PoisonError::into_inner) = addresses;
    }
}
