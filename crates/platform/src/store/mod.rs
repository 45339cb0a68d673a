//! Access to the platform's key-value store.
//!
//! Callers depend only on the [`Store`] trait, so that tests and other protocols can replace the
//! HTTP implementation.

mod http_store;
mod wire;

use std::future::Future;

use sycamore_core::store::{Op, Reply, Versioned};
use sycamore_types::id::Revision;

pub use http_store::HttpStore;
pub use wire::{Faults, ListItem, REVISION_HEADER};

/// A client of the platform's store.
pub trait Store: Clone + Send + Sync + 'static {
    /// Makes one call. Failures are reported in the reply.
    fn call(&self, op: Op) -> impl Future<Output = Reply> + Send;

    /// Waits for a limited time until the revision of a value differs from `seen`.
    ///
    /// Returns `None` if nothing changed or the store can't be reached.
    fn watch(&self, key: &str, seen: Revision) -> impl Future<Output = Option<Versioned>> + Send;
}
