use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use sycamore_platform::site::{Store, StoreError, Transaction};
use sycamore_types::Name;

use crate::peer::Owner;
use crate::timing::{OWNER_RECORD_TIMEOUT, STORE_TIMEOUT};

/// Key of the record that names the owner.
pub(crate) const OWNER_KEY: &str = "sycamore/owner";

/// The record that names the owner.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct OwnerRecord {
    /// Fencing token of the owner.
    pub epoch: u64,
    pub host: Name,
    pub address: SocketAddr,
    /// Tells incarnations of one host apart.
    pub nonce: u64,
    /// The owner has resigned.
    pub is_vacant: bool,
}

impl OwnerRecord {
    pub fn owner(&self) -> Owner {
        Owner { epoch: self.epoch, host: self.host.clone(), address: self.address }
    }

    /// Reads the record with its revision, 0 when there is none.
    pub async fn read(store: &Store) -> Result<(Option<OwnerRecord>, u64), StoreError> {
        let Some(item) = store.get(OWNER_KEY, OWNER_RECORD_TIMEOUT).await? else {
            return Ok((None, 0));
        };
        match serde_json::from_slice(&item.value) {
            Ok(record) => Ok((Some(record), item.rev)),
            Err(error) => {
                log::error!(target: "sycamore_node::lead::claim", "owner record can't be read, taken for vacant: {error}");
                Ok((None, item.rev))
            }
        }
    }

    /// Writes the record if it is still at a revision. Returns the new revision.
    pub async fn write(&self, store: &Store, rev: u64) -> Result<u64, StoreError> {
        let value =
            serde_json::to_vec(self).map_err(|error| StoreError::NotSent(error.to_string()))?;
        let change = Transaction::default().expect(OWNER_KEY, rev).put(OWNER_KEY, &value);
        store.commit(&change, STORE_TIMEOUT).await
    }
}
