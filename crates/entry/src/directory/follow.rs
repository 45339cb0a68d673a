//! Tasks that keep the directory up to date.
//!
//! Each one keeps the last known state while its source is unavailable, so that calls are still
//! forwarded during an outage of the store.

use std::collections::BTreeMap;
use std::time::Duration;

use sycamore_core::member::Record;
use sycamore_core::owners::Map;
use sycamore_core::store::{MEMBER_PREFIX, OWNERS, Op, Reply, Versioned, decode_value};
use sycamore_platform::hosts::HostList;
use sycamore_platform::store::Store;

use super::Directory;

/// Time between two reads of the member list.
const MEMBER_LIST_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two reads of the host list.
const HOST_LIST_INTERVAL: Duration = Duration::from_secs(2);

/// Pause after a watch that returned nothing, so that an unavailable store is not queried in a
/// busy loop.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Polls the store for the processes of the deployment.
pub(crate) async fn follow_members<S: Store>(store: S, directory: Directory) {
    loop {
        let prefix = MEMBER_PREFIX.to_string();
        if let Reply::Values(values) = store.call(Op::List { prefix }).await {
            let records = values.iter().filter_map(decode);
            let members: BTreeMap<_, _> =
                records.map(|record: Record| (record.member.clone(), record)).collect();
            directory.update(|snapshot| snapshot.members = members);
        }
        tokio::time::sleep(MEMBER_LIST_INTERVAL).await;
    }
}

/// Watches the owners of shards in the store.
pub(crate) async fn follow_owners<S: Store>(store: S, directory: Directory) {
    let mut seen = 0;
    loop {
        match store.watch(OWNERS, seen).await {
            Some(value) => {
                seen = value.revision;
                if let Some(owners) = decode::<Map>(&value) {
                    directory.update(|snapshot| snapshot.owners = owners);
                }
            }
            None => tokio::time::sleep(RETRY_PAUSE).await,
        }
    }
}

/// Polls the platform's host list.
pub(crate) async fn follow_hosts<L: HostList>(list: L, directory: Directory) {
    loop {
        if let Some(hosts) = list.read().await {
            directory.update(|snapshot| snapshot.hosts = hosts);
        }
        tokio::time::sleep(HOST_LIST_INTERVAL).await;
    }
}

fn decode<T: serde::de::DeserializeOwned>(value: &Versioned) -> Option<T> {
    let (_, body) = decode_value(&value.value)?;
    serde_json::from_slice(body).ok()
}
