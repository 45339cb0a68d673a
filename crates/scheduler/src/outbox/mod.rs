//! Messages to the decision cores of other schedulers.
//!
//! Each receiver has its own bounded queue, so that an unresponsive one delays no other.
//! Delivery is not guaranteed, and the cores tolerate lost messages.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use sycamore_core::peer::Message;
use sycamore_types::id;
use sycamore_wire::{Command, ConnectionKind, PeerMessage, Pool, Reply};
use tokio::runtime::Handle;
use tokio::sync::mpsc;

/// Maximum number of messages that wait for one receiver. Further messages are dropped, which
/// the core handles like any other lost message.
const MAX_QUEUED: usize = 256;

/// Maximum number of messages in one call.
const MAX_BATCH: usize = 64;

/// Time after which a call counts as failed and its messages as lost.
const SEND_TIMEOUT: Duration = Duration::from_secs(1);

/// Outgoing messages, one queue per receiver.
#[derive(Clone, Debug)]
pub(crate) struct Outbox {
    runtime: Handle,
    pool: Pool,
    local_member: Arc<Mutex<id::Member>>,
    queues: Arc<Mutex<HashMap<SocketAddr, mpsc::Sender<PeerMessage>>>>,
}

impl Outbox {
    pub(crate) fn new(runtime: Handle, pool: Pool, local_member: id::Member) -> Outbox {
        let local_member = Arc::new(Mutex::new(local_member));
        Outbox { runtime, pool, local_member, queues: Arc::default() }
    }

    /// Queues a message without blocking. Drops it if the queue is full.
    pub(crate) fn send(&self, to: id::Member, address: &str, message: Message) {
        let Ok(address) = address.parse::<SocketAddr>() else {
            return;
        };
        let from = self.local_member.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let mut queues = self.queues.lock().unwrap_or_else(PoisonError::into_inner);
        let queue = queues.entry(address).or_insert_with(|| self.start_queue(address));
        let _ = queue.try_send(PeerMessage { from, to, message });
    }

    /// Sets the member that later messages name as their sender.
    pub(crate) fn set_local_member(&self, member: id::Member) {
        *self.local_member.lock().unwrap_or_else(PoisonError::into_inner) = member;
    }

    fn start_queue(&self, address: SocketAddr) -> mpsc::Sender<PeerMessage> {
        let (sender, receiver) = mpsc::channel(MAX_QUEUED);
        self.runtime.spawn(send_queued(self.pool.clone(), address, receiver));
        sender
    }
}

/// Sends the messages of one queue in batches until the outbox is dropped.
async fn send_queued(pool: Pool, address: SocketAddr, mut receiver: mpsc::Receiver<PeerMessage>) {
    let mut batch = Vec::new();
    while receiver.recv_many(&mut batch, MAX_BATCH).await > 0 {
        let command = Command::Peer(std::mem::take(&mut batch));
        let kind = ConnectionKind::Control;
        // Failures are ignored: the core sends a lost message again if it still matters.
        let _ = pool.call_within::<Reply>(address, kind, &command, SEND_TIMEOUT).await;
    }
}
