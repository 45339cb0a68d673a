//! Access to the store through a peer while the store can't be reached directly.
//!
//! A process that alone has lost its connection to the store can still renew its lease this
//! way, without promises of its peers. A call is relayed at most once, since the peer calls
//! the store directly.

mod peer_list;

use std::net::SocketAddr;
use std::time::Duration;

use rand::seq::IndexedRandom;
use sycamore_core::member::Record;
use sycamore_core::store::{MEMBER_PREFIX, Op, Reply, Versioned, decode_value};
use sycamore_platform::store::Store;
use sycamore_types::id::Revision;
use sycamore_wire::{Command, ConnectionKind, Pool, Reply as WireReply};

pub(crate) use peer_list::PeerList;

/// Time after which the outcome of a relayed call counts as unknown.
const RELAY_TIMEOUT: Duration = Duration::from_secs(2);

/// Time between two reads of the member records.
const PEER_LIST_INTERVAL: Duration = Duration::from_secs(2);

/// A store that is called directly and, if that fails, through a random peer.
#[derive(Clone, Debug)]
pub(crate) struct Relay<S> {
    store: S,
    pool: Pool,
    peers: PeerList,
}

impl<S: Store> Relay<S> {
    pub(crate) fn new(store: S, pool: Pool, peers: PeerList) -> Relay<S> {
        Relay { store, pool, peers }
    }

    async fn call_via_peer(&self, op: Op) -> Reply {
        let Some(peer) = self.peers.addresses().choose(&mut rand::rng()).copied() else {
            return Reply::Unavailable;
        };
        let is_write = op.is_write();
        match self.call_peer(peer, op).await {
            Some(reply) => reply,
            // The peer may have executed the write before the connection failed.
            None if is_write => Reply::Unknown,
            None => Reply::Unavailable,
        }
    }

    /// Lets a peer call the store. Returns `None` if the outcome is unknown.
    async fn call_peer(&self, peer: SocketAddr, op: Op) -> Option<Reply> {
        let command = Command::Store(op);
        match self.pool.call_within(peer, ConnectionKind::Control, &command, RELAY_TIMEOUT).await {
            Ok(WireReply::Store(reply)) => Some(reply),
            Err(error) if error.is_not_sent() => Some(Reply::Unavailable),
            _ => None,
        }
    }
}

impl<S: Store> Store for Relay<S> {
    async fn call(&self, op: Op) -> Reply {
        match self.store.call(op.clone()).await {
            Reply::Unavailable => self.call_via_peer(op).await,
            reply => reply,
        }
    }

    /// Watches the store directly: a watch is never relayed.
    async fn watch(&self, key: &str, seen: Revision) -> Option<Versioned> {
        self.store.watch(key, seen).await
    }
}

/// Refreshes the list of peers regularly. The last list is kept while the store is unavailable.
pub(crate) async fn refresh_peer_list<S: Store>(relay: Relay<S>, peers: PeerList) {
    loop {
        let prefix = MEMBER_PREFIX.to_string();
        if let Reply::Values(values) = relay.store.call(Op::List { prefix }).await {
            peers.set(values.iter().filter_map(live_address).collect());
        }
        tokio::time::sleep(PEER_LIST_INTERVAL).await;
    }
}

/// Returns the address in a member record. `None` if the member is fenced or the record is
/// malformed.
fn live_address(value: &Versioned) -> Option<SocketAddr> {
    let (_, body) = decode_value(&value.value)?;
    let record: Record = serde_json::from_slice(body).ok()?;
    let is_alive = record.fenced_by.is_none();
    is_alive.then(|| record.address.parse().ok())?
}
