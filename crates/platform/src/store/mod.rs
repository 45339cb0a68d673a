//! The platform's key-value store.

mod http_store;
mod wire;

use std::future::Future;

use sycamore_core::store::{Op, Reply, Versioned};
use sycamore_types::id::Revision;

pub use http_store::HttpStore;
pub use wire::{Faults, ListItem, REVISION_HEADER};

/// The platform's store.
pub trait Store: Clone + Send + Sync + 'static {
    /// Makes one call. Never fails otherwise than by its reply.
    fn call(&self, op: Op) -> impl Future<Output = Reply> + Send;

    /// Waits until a value has another revision than `seen`, or for a while.
    ///
    /// Returns `None` when nothing has changed or the store can't be reached.
    fn watch(&self, key: &str, seen: Revision) -> impl Future<Output = Option<Versioned>> + Send;
}
