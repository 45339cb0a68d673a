//! Reaches the store by way of a peer when the direct way is cut.
//!
//! A process that alone has lost the store keeps its lease this way, and no
//! promises are needed. A call is relayed once at most: the peer asks the
//! store itself.

mod peer_list;

use std::net::SocketAddr;
use std::time::Duration;

use rand::seq::IndexedRandom;
use sycamore_core::member::Record;
use sycamore_core::store::{MEMBER_PREFIX, Op, Reply, Versioned, decode_value};
use sycamore_platform::store::Store;
use sycamore_types::id::Revision;
use sycamore_wire::{Command, Lane, Pool, Reply as WireReply};

pub(crate) use peer_list::PeerList;

/// Time after which a relayed call counts as lost.
const RELAY_TIMEOUT: Duration = Duration::from_secs(2);

/// Time between two reads of the list of members.
const PEER_LIST_INTERVAL: Duration = Duration::from_secs(2);

/// A store that is asked directly first, then by way of a peer.
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
            // The peer may have carried it out and been cut off since.
            None if is_write => Reply::Unknown,
            None => Reply::Unavailable,
        }
    }

    async fn call_peer(&self, peer: SocketAddr, op: Op) -> Option<Reply> {
        let command = Command::Store(op);
        let call = self.pool.call::<WireReply>(peer, Lane::Control, &command);
        match tokio::time::timeout(RELAY_TIMEOUT, call).await {
            Ok(Ok(WireReply::Store(reply))) => Some(reply),
            Ok(Err(error)) if error.is_not_sent() => Some(Reply::Unavailable),
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

    async fn watch(&self, key: &str, seen: Revision) -> Option<Versioned> {
        self.store.watch(key, seen).await
    }
}

/// Keeps the list of peers up to date. While the store is out it stays as it was.
pub(crate) async fn refresh_peer_list<S: Store>(relay: Relay<S>, peers: PeerList) {
    loop {
        let prefix = MEMBER_PREFIX.to_string();
        if let Reply::Values(values) = relay.store.call(Op::List { prefix }).await {
            peers.set(values.iter().filter_map(live_address).collect());
        }
        tokio::time::sleep(PEER_LIST_INTERVAL).await;
    }
}

fn live_address(value: &Versioned) -> Option<SocketAddr> {
    let (_, body) = decode_value(&value.value)?;
    let record: Record = serde_json::from_slice(body).ok()?;
    let is_alive = record.fenced_by.is_none();
    is_alive.then(|| record.address.parse().ok())?
}
