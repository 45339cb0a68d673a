//! Limits the calls in flight to each server, and so the connections that are open to it.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError, Weak};
use std::time::Duration;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Number of servers from which those without calls are looked for and dropped.
const MIN_PRUNED_LEN: usize = 64;

/// A limit of the calls in flight to each address. Clones share the limit.
#[derive(Clone, Debug)]
pub struct CallLimit {
    calls: usize,
    servers: Arc<Mutex<Servers>>,
}

#[derive(Debug)]
struct Servers {
    /// Permits of the servers with calls in flight or waiting.
    permits: HashMap<SocketAddr, Weak<Semaphore>>,
    /// Number of entries from which those without calls are dropped.
    pruned_len: usize,
}

impl Servers {
    fn permits(&mut self, address: SocketAddr, calls: usize) -> Arc<Semaphore> {
        if let Some(known) = self.permits.get(&address).and_then(Weak::upgrade) {
            return known;
        }
        if self.permits.len() >= self.pruned_len {
            self.permits.retain(|_, permits| permits.strong_count() > 0);
            self.pruned_len = MIN_PRUNED_LEN.max(2 * self.permits.len());
        }
        let permits = Arc::new(Semaphore::new(calls));
        self.permits.insert(address, Arc::downgrade(&permits));
        permits
    }
}

impl CallLimit {
    /// Allows for so many calls at the same time to one address.
    pub fn new(calls: usize) -> CallLimit {
        let servers = Servers { permits: HashMap::new(), pruned_len: MIN_PRUNED_LEN };
        CallLimit { calls, servers: Arc::new(Mutex::new(servers)) }
    }

    /// Waits until another call to an address may begin, which lasts until the permit is dropped.
    /// Calls begin in the order in which they asked. Returns `None` after `timeout`.
    pub async fn acquire(
        &self,
        address: SocketAddr,
        timeout: Duration,
    ) -> Option<OwnedSemaphorePermit> {
        let permits = {
            let mut servers = self.servers.lock().unwrap_or_else(PoisonError::into_inner);
            servers.permits(address, self.calls)
        };
        tokio::time::timeout(timeout, permits.acquire_owned()).await.ok()?.ok()
    }
}
