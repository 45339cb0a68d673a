//! Exchange of the configuration between processes, without the store.
//!
//! Most messages carry only a revision. The document is added where one side is known to have an
//! older one.

use std::net::SocketAddr;

use rand::seq::IndexedRandom;
use sycamore_types::id::Revision;
use sycamore_wire::{Command, Pool, Reply};
use tokio::time::Duration;

use crate::Rollout;

/// Time between two comparisons with a random peer.
const GOSSIP_INTERVAL: Duration = Duration::from_secs(1);

/// Longest pause in a call to a peer. The document may take longer over a slow link.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest wait of an operator for the reply of one peer to a push.
const PUSH_REPORT_TIMEOUT: Duration = Duration::from_secs(1);

/// Compares revisions with a random peer every second until the process ends.
///
/// The side with the lower revision receives the document of the other.
pub async fn gossip(
    rollout: Rollout,
    pool: Pool,
    peers: impl Fn() -> Vec<SocketAddr> + Send + Sync,
) {
    loop {
        tokio::time::sleep(GOSSIP_INTERVAL).await;
        let peer = peers().choose(&mut rand::rng()).copied();
        let Some(peer) = peer else {
            continue;
        };
        let own_revision = rollout.current().revision;
        if let Some(peer_revision) = send_config(&rollout, &pool, peer, false).await
            && peer_revision < own_revision
        {
            send_config(&rollout, &pool, peer, true).await;
        }
    }
}

/// Sends the configuration in force to a peer.
///
/// Returns the revision that the peer has in force afterwards, or `None` if it did not reply
/// within one second. The transfer goes on then.
pub async fn push(rollout: &Rollout, pool: &Pool, peer: SocketAddr) -> Option<Revision> {
    let (rollout, pool) = (rollout.clone(), pool.clone());
    let transfer = tokio::spawn(async move { send_config(&rollout, &pool, peer, true).await });
    tokio::time::timeout(PUSH_REPORT_TIMEOUT, transfer).await.ok()?.ok()?
}

/// Sends the current revision, and the document on request, and adopts a newer one from the reply.
async fn send_config(
    rollout: &Rollout,
    pool: &Pool,
    peer: SocketAddr,
    with_document: bool,
) -> Option<Revision> {
    let current = rollout.current();
    let document = with_document.then(|| Box::new((*current.document).clone()));
    let command = Command::Config { revision: current.revision, document };
    let reply = pool.fetch::<Reply>(peer, &command, CALL_TIMEOUT).await.ok()?;
    let Reply::Config { revision, document } = reply else {
        return None;
    };
    rollout.record_confirmation();
    if let Some(document) = document {
        rollout.adopt(revision, *document);
    }
    Some(revision)
}

impl Rollout {
    /// Handles a configuration message of a peer and returns the reply.
    ///
    /// Adopts the document if it is newer. The reply contains a document only if the peer's
    /// revision is lower than the one now in force.
    pub fn handle_config(
        &self,
        revision: Revision,
        document: Option<Box<sycamore_types::config::Document>>,
    ) -> Reply {
        if let Some(document) = document {
            self.adopt(revision, *document);
        }
        self.record_confirmation();
        let current = self.current();
        let is_newer = current.revision > revision;
        let document = is_newer.then(|| Box::new((*current.document).clone()));
        Reply::Config { revision: current.revision, document }
    }
}
