//! The owner record in the store. It is only written by compare-and-swap, so that one
//! process at most becomes the owner with each epoch.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use sycamore_platform::site::{Store, StoreError, Transaction};
use sycamore_types::Name;

use crate::peer::Owner;
use crate::timing::{OWNER_RECORD_TIMEOUT, STORE_TIMEOUT};

/// Key of the owner record in the store.
pub(crate) const OWNER_KEY: &str = "sycamore/owner";

/// Names the owner. It is stored as JSON under [`OWNER_KEY`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct OwnerRecord {
    /// Fencing token, one higher for each new owner.
    pub epoch: u64,
    pub host: Name,
    pub address: SocketAddr,
    /// Random number that distinguishes the processes that a host runs over time.
    pub nonce: u64,
    /// The owner has resigned, so that another process may take over immediately.
    pub is_vacant: bool,
    /// The host is too weak to own while a stronger one is there. Missing in records of
    /// earlier versions.
    #[serde(default)]
    pub is_weak: bool,
}

impl OwnerRecord {
    pub fn owner(&self) -> Owner {
        Owner { epoch: self.epoch, host: self.host.clone(), address: self.address }
    }

    /// Reads the record and its revision, which is 0 if there is no record.
    ///
    /// A record that can't be decoded, or has another writer, counts as vacant. Its revision stands
    /// in for its epoch: each claim raises the store's revision by at least one and the epoch by
    /// one, so that no earlier owner has a higher fencing token.
    pub async fn read(store: &Store) -> Result<(Option<OwnerRecord>, u64), StoreError> {
        let Some(item) = store.get(OWNER_KEY, OWNER_RECORD_TIMEOUT).await? else {
            return Ok((None, 0));
        };
        let error = match serde_json::from_slice::<OwnerRecord>(&item.value) {
            Ok(record) if record.epoch <= item.rev => return Ok((Some(record), item.rev)),
            Ok(record) => format!("no claim can have reached epoch {}", record.epoch),
            Err(error) => error.to_string(),
        };
        log::error!(target: "sycamore_node::lead::claim", error; "can't use the owner record");
        Ok((Some(OwnerRecord::unusable(item.rev)), item.rev))
    }

    fn unusable(rev: u64) -> OwnerRecord {
        let address = SocketAddr::from(([0, 0, 0, 0], 0));
        let host = Name::from("");
        OwnerRecord { epoch: rev, host, address, nonce: 0, is_vacant: true, is_weak: false }
    }

    /// Writes the record if its revision in the store is still `rev`. Returns the new revision.
    pub async fn write(&self, store: &Store, rev: u64) -> Result<u64, StoreError> {
        let value =
            serde_json::to_vec(self).map_err(|error| StoreError::NotSent(error.to_string()))?;
        let change = Transaction::default().expect(OWNER_KEY, rev).put(OWNER_KEY, &value);
        store.commit(&change, STORE_TIMEOUT).await
    }
}
