//! Calls to workers: starting, listing and stopping tasks, and forwarding interactive requests.
//!
//! Callers depend only on the [`Worker`] trait, so that tests and other protocols can replace the
//! HTTP implementation.

mod http_worker;
mod wire;

use std::future::Future;

use sycamore_core::worker::{Launch, Op, Reply};

pub use http_worker::{HttpWorker, RequestBody};
pub use wire::{LAUNCH_HEADER, Poll, Stop};

use crate::http::Error;

/// A client of all workers of the platform.
pub trait Worker: Clone + Send + Sync + 'static {
    /// Makes one call to the worker at an address. Failures are reported in the reply.
    ///
    /// The time limit of a start is not checked here; the caller checks it before the call.
    fn call(&self, address: &str, op: Op) -> impl Future<Output = Reply> + Send;

    /// Forwards an interactive request and returns the worker's response, whose body has not been
    /// read yet.
    ///
    /// # Errors
    ///
    /// Returns [`Error::NotSent`] if the worker did not get the request and [`Error::Unknown`] if
    /// it may have got it.
    fn forward(
        &self,
        address: &str,
        launch: &Launch,
        request: http::Request<RequestBody>,
    ) -> impl Future<Output = Result<http::Response<hyper::body::Incoming>, Error>> + Send;
}
