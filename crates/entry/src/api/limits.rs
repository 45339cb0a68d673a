//! Limits on the size, the memory and the duration of bodies that are read completely.
//!
//! Bodies of interactive requests are streamed instead and have a limit of their own.

use std::sync::Arc;
use std::time::{Duration, Instant};

use http::{Response, StatusCode};
use hyper::body::Incoming;
use sycamore_intake::body::{Budget, Error, Reservation, receive};
use sycamore_types::outcome::{Failure, Reason};

use super::{Body, failure_response, malformed};

/// Largest job specification, in bytes.
pub(crate) const MAX_JOB_BYTES: usize = 64 * 1024;

/// Time within which a body must arrive completely.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Reads a complete body of at most `limit` bytes. Its memory stays reserved with the result.
///
/// Returns the response to send if the body is too large, breaks off, takes too long, or if there is
/// no memory for it.
pub(crate) async fn read_limited(
    budget: &Arc<Budget>,
    body: Incoming,
    limit: usize,
) -> Result<(Vec<u8>, Reservation), Box<Response<Body>>> {
    let limit = limit.min(budget.max_bytes());
    let received = receive(budget, body, limit, Instant::now() + BODY_TIMEOUT).await;
    received.map_err(|error| {
        let (status, message) = match error {
            Error::NoMemory => {
                return Box::new(failure_response(&Failure::not_run(Reason::NoMemory)));
            }
            Error::Timeout => {
                let seconds = BODY_TIMEOUT.as_secs();
                (StatusCode::REQUEST_TIMEOUT, format!("body: not complete within {seconds} s"))
            }
            _ => {
                let message = format!("body: larger than {limit} bytes or broken off");
                (StatusCode::PAYLOAD_TOO_LARGE, message)
            }
        };
        let mut response = malformed(message);
        *response.status_mut() = status;
        Box::new(response)
    })
}
