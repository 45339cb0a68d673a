//! Record of this process in the store, and the server for calls of other processes.
//!
//! An entry process owns nothing under its identity, so it takes a new one whenever it loses its
//! record.

use std::collections::BTreeSet;
use std::time::Duration;

use rand::Rng;
use sycamore_core::member::{Record, Role};
use sycamore_core::store::{self, Op, Reply, encode_value};
use sycamore_platform::store::Store;
use sycamore_rollout::Rollout;
use sycamore_types::{Name, id};
use sycamore_wire::{Command, Incoming, Reply as WireReply};
use tokio::net::TcpListener;

/// Time between two renewals of the record.
const RENEW_INTERVAL: Duration = Duration::from_secs(1);

/// Record of this process in the store, with the revision of its last write.
#[derive(Debug)]
pub(crate) struct Membership<S> {
    store: S,
    record: Record,
    revision: u64,
}

impl<S: Store> Membership<S> {
    pub(crate) fn new(store: S, name: &Name, address: String, domain: &Name) -> Membership<S> {
        let record = Record {
            member: id::Member { name: name.clone(), incarnation: rand::rng().random() },
            role: Role::Entry,
            address: Name::from(address),
            failure_domain: domain.clone(),
            renewals: 0,
            peers: BTreeSet::new(),
            confirmed: 0,
            has_unlogged: false,
            is_leaving: false,
            fenced_by: None,
        };
        Membership { store, record, revision: 0 }
    }

    /// Renews the record until the task is aborted.
    pub(crate) async fn run(mut self) {
        loop {
            self.renew().await;
            tokio::time::sleep(RENEW_INTERVAL).await;
        }
    }

    async fn renew(&mut self) {
        self.record.renewals += 1;
        let body = serde_json::to_vec(&self.record).unwrap_or_default();
        let write_id =
            (u128::from(self.record.member.incarnation) << 64) | u128::from(self.record.renewals);
        let put = Op::Put {
            key: store::member(&self.record.member),
            expected: self.revision,
            value: encode_value(write_id, &body),
        };
        match self.store.call(put).await {
            Reply::Written(revision) => self.revision = revision,
            // The record was removed while this process could not renew it, or a write took
            // effect whose reply was lost. Nothing depends on the previous incarnation.
            Reply::Conflict => self.rejoin(),
            _ => {}
        }
    }

    /// Continues under a new incarnation, whose record does not exist yet.
    fn rejoin(&mut self) {
        self.record.member.incarnation = rand::rng().random();
        self.revision = 0;
    }
}

/// Serves calls of other processes until accepting a connection fails.
pub(crate) async fn serve_peers(listener: TcpListener, rollout: Rollout) {
    while let Ok((socket, _)) = listener.accept().await {
        let rollout = rollout.clone();
        tokio::spawn(async move {
            let handle_call = move |incoming| handle_call(incoming, rollout.clone());
            let _ = sycamore_wire::serve(socket, handle_call).await;
        });
    }
}

/// Replies to one call. Commands other than a configuration message are acknowledged and ignored.
async fn handle_call(incoming: Incoming, rollout: Rollout) {
    let reply = match incoming.command.clone() {
        Command::Config { revision, document } => rollout.handle_config(revision, document),
        _ => WireReply::Received,
    };
    if let Ok((_reader, mut writer)) = incoming.respond() {
        let _ = writer.write_frame(&reply, true).await;
    }
}
