//! Reaches the store by way of a peer when the direct way is cut.
//!
//! A process that alone has lost the store keeps its lease this way, and no
//! promises are needed. A call is relayed once at most: the peer asks the
//! store itself.

mod peers;

use std::net::SocketAddr;
use std::time::Duration;

use rand::seq::IndexedRandom;
use sycamore_core::member::Record;
use sycamore_core::store::{MEMBER_PREFIX, Op, Reply, Versioned, decode_value};
use sycamore_platform::store::Store;
use sycamore_types::id::Revision;
use sycamore_wire::{Command, Lane, Pool, Reply as WireReply};

pub(crate) use peers::Peers;

/// Time after which a relayed call counts as lost.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Time between two reads of the list of members.
const PEERS: Duration = Duration::from_secs(2);

/// A store that is asked directly first, then by way of a peer.
#[derive(Clone, Debug)]
pub(crate) struct Relay<S> {
    store: S,
    pool: Pool,
    peers: Peers,
}

impl<S: Store> Relay<S> {
    pub(crate) fn new(store: S, pool: Pool, peers: Peers) -> Relay<S> {
        Relay { store, pool, peers }
    }

    async fn relay(&self, op: Op) -> Reply {
        let Some(peer) = self.peers.addresses().choose(&mut rand::rng()).copied() else {
            return Reply::Unavailable;
        };
        let is_write = op.is_write();
        match self.ask(peer, op).await {
            Some(reply) => reply,
            // The peer may have carried it out and been cut off since.
            None if is_write => Reply::Unknown,
            None => Reply::Unavailable,
        }
    }

    async fn ask(&self, peer: SocketAddr, op: Op) -> Option<Reply> {
        let command = Command::Store(op);
        let call = self.pool.call::<WireReply>(peer, Lane::Control, &command);
        match tokio::time::timeout(TIMEOUT, call).await {
            Ok(Ok(WireReply::Store(reply))) => Some(reply),
            Ok(Err(error)) if error.is_not_sent() => Some(Reply::Unavailable),
            _ => None,
        }
    }
}

impl<S: Store> Store for Relay<S> {
    async fn call(&self, op: Op) -> Reply {
        match self.store.call(op.clone()).await {
            Reply::Unavailable => self.relay(op).await,
            reply => reply,
        }
    }

    async fn watch(&self, key: &str, seen: Revision) -> Option<Versioned> {
        self.store.watch(key, seen).await
    }
}

/// Keeps the list of peers up to date. While the store is out it stays as it was.
pub(crate) async fn follow_peers<S: Store>(store: Relay<S>, peers: Peers) {
    loop {
        let prefix = MEMBER_PREFIX.to_string();
        if let Reply::Values(values) = store.store.call(Op::List { prefix }).await {
            peers.set(values.iter().filter_map(address).collect());
        }
        tokio::time::sleep(PEERS).await;
    }
}

fn address(value: &Versioned) -> Option<SocketAddr> {
    let (_, body) = decode_value(&value.value)?;
    let record: Record = serde_json::from_slice(body).ok()?;
    let is_alive = record.fenced_by.is_none();
    is_alive.then(|| record.address.parse().ok())?
}
