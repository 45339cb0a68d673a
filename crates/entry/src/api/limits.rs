//! Limits on the size and duration of bodies that are read completely.
//!
//! Bodies of interactive requests are streamed instead and have a limit of their own.

use bytes::Bytes;
use http::{Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use tokio::time::{Duration, timeout};

use super::{Body, malformed};

/// Largest job specification, in bytes.
pub(crate) const MAX_JOB_BYTES: usize = 64 * 1024;

/// Time within which a body must arrive completely.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Reads a complete body of at most `limit` bytes.
///
/// Returns the response to send if the body is too large, breaks off or takes too long.
pub(crate) async fn read_limited(
    body: Incoming,
    limit: usize,
) -> Result<Bytes, Box<Response<Body>>> {
    match timeout(BODY_TIMEOUT, Limited::new(body, limit).collect()).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(_)) => {
            let mut response = malformed(format!("body: larger than {limit} bytes or broken off"));
            *response.status_mut() = StatusCode::PAYLOAD_TOO_LARGE;
            Err(Box::new(response))
        }
        Err(_) => {
            let seconds = BODY_TIMEOUT.as_secs();
            let mut response = malformed(format!("body: not complete within {seconds} s"));
            *response.status_mut() = StatusCode::REQUEST_TIMEOUT;
            Err(Box::new(response))
        }
    }
}
