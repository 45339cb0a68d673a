//! Workers: starting, listing and stopping tasks, and passing requests on.

mod http_worker;
mod wire;

use std::future::Future;

use sycamore_core::worker::{Launch, Op, Reply};

pub use http_worker::{HttpWorker, RequestBody};
pub use wire::{LAUNCH_HEADER, Poll, Stop};

use crate::http::Error;

/// The workers of the platform.
pub trait Worker: Clone + Send + Sync + 'static {
    /// Makes one call. Never fails otherwise than by its reply.
    fn call(&self, address: &str, op: Op) -> impl Future<Output = Reply> + Send;

    /// Passes an interactive request on and returns the worker's answer, whose
    /// body is still to be read.
    ///
    /// # Errors
    ///
    /// Tells whether the worker may have got the request.
    fn forward(
        &self,
        address: &str,
        launch: &Launch,
        request: http::Request<RequestBody>,
    ) -> impl Future<Output = Result<http::Response<hyper::body::Incoming>, Error>> + Send;
}
