//! The processes that may become the owner, as far as this process knows.
//!
//! Unlike the [`Directory`](super::Directory) it keeps processes that have fallen silent. They may be
//! cut off from this one and not from the store.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use sycamore_types::Name;

/// Time for which a silent process is kept. A host that is lost for good can't be told from one that is
/// cut off, and while it is kept, work does not outlast an absence of the store by more than a lease.
const RETENTION: Duration = Duration::from_secs(30);

/// Processes by name, each with its address and when it was last known to run.
#[derive(Debug, Default)]
pub(crate) struct Members {
    known: BTreeMap<Name, (SocketAddr, Instant)>,
}

impl Members {
    /// Records that a process runs at an address.
    pub fn record(&mut self, name: &Name, address: SocketAddr, now: Instant) {
        self.known.insert(name.clone(), (address, now));
    }

    /// Returns the processes that may run, sorted by name.
    pub fn list(&mut self, now: Instant) -> Vec<(Name, SocketAddr)> {
        self.known.retain(|_, (_, last)| now.duration_since(*last) < RETENTION);
        self.known.iter().map(|(name, (address, _))| (name.clone(), *address)).collect()
    }
}
