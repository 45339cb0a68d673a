//! The processes that ping this one, and which of them has which list of the others.
//!
//! A list of 300 processes takes some 9 KB. In each reply to 300 processes that ping five times a
//! second it would take 13 MB/s, so it is sent only when it may be new to the receiver.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use sycamore_types::Name;

use crate::timing::{PING_INTERVAL, PING_TIMEOUT};

/// Time since its last ping after which a process does not count as live.
const PEER_TIMEOUT: Duration = Duration::from_millis(900);

/// Least time between two lists to one process, so that processes that come and go one by one
/// do not cause a list for each of them.
const MIN_LIST_INTERVAL: Duration = Duration::from_secs(1);

/// Time after which a list is sent again. A process that has restarted so quickly that its pings
/// show no gap lacks the list until then, and uses its seeds.
const MAX_LIST_INTERVAL: Duration = Duration::from_secs(30);

/// Time between two pings from which the reply to the first one may have been lost: less than the
/// timeout of a ping and the pause after it.
const LOST_REPLY_GAP: Duration =
    PING_INTERVAL.saturating_add(PING_TIMEOUT).saturating_sub(Duration::from_millis(50));

/// Processes that ping this one, by name.
#[derive(Debug, Default)]
pub(crate) struct Directory {
    peers: BTreeMap<Name, Peer>,
    /// Raised whenever a process joins, leaves or changes its address.
    version: u64,
}

#[derive(Debug)]
struct Peer {
    address: SocketAddr,
    last_ping: Instant,
    /// Version of the list that was last sent to the process, and when.
    sent: Option<(u64, Instant)>,
}

impl Directory {
    /// Records a ping. Returns the live processes, or nothing if the sender has their list.
    pub fn on_ping(
        &mut self,
        name: &Name,
        address: SocketAddr,
        now: Instant,
    ) -> Vec<(Name, SocketAddr)> {
        self.remove_silent(now);
        let known = self.peers.get(name).filter(|peer| peer.address == address);
        let sent = known
            .filter(|peer| now.duration_since(peer.last_ping) < LOST_REPLY_GAP)
            .and_then(|peer| peer.sent);
        if known.is_none() {
            self.version += 1;
        }
        let is_sent = sent.is_some_and(|(version, at)| {
            let age = now.duration_since(at);
            let longest =
                if version == self.version { MAX_LIST_INTERVAL } else { MIN_LIST_INTERVAL };
            age < longest
        });
        let sent = if is_sent { sent } else { Some((self.version, now)) };
        self.peers.insert(name.clone(), Peer { address, last_ping: now, sent });
        if is_sent { Vec::new() } else { self.list() }
    }

    /// Returns the live processes, sorted by name.
    pub fn live(&mut self, now: Instant) -> Vec<(Name, SocketAddr)> {
        self.remove_silent(now);
        self.list()
    }

    fn list(&self) -> Vec<(Name, SocketAddr)> {
        self.peers.iter().map(|(name, peer)| (name.clone(), peer.address)).collect()
    }

    fn remove_silent(&mut self, now: Instant) {
        let count = self.peers.len();
        self.peers.retain(|_, peer| now.duration_since(peer.last_ping) < PEER_TIMEOUT);
        if self.peers.len() < count {
            self.version += 1;
        }
    }
}
