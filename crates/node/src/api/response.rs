//! Maps outcomes of requests to HTTP responses. A 503 is sent only for work that has not run
//! and never will, so that its caller may safely retry.

use bytes::Bytes;
use http::{Response, StatusCode, header};
use http_body_util::Full;
use sycamore_platform::site::{render_count, render_state};

use crate::peer::RequestOutcome;

/// `Retry-After` while ownership moves, in seconds.
pub(super) const RETRY_SOON_S: u32 = 1;

/// `Retry-After` when another host can serve the request, in seconds.
const RETRY_ELSEWHERE_S: u32 = 0;

/// `Retry-After` while the store is unavailable, in seconds.
pub(super) const RETRY_STORE_S: u32 = 2;

/// `Retry-After` while more jobs of a restricted queue wait than it can start, in seconds. By then
/// those that wait have started.
const RETRY_RESTRICTED_S: u32 = 2;

/// `Retry-After` while the jobs of a team take all memory that they may, in seconds. Such a backlog
/// lasts; a caller that returns sooner is refused again.
const RETRY_BACKLOG_S: u32 = 10;

/// HTTP response to a caller.
pub(super) type ApiResponse = Response<Full<Bytes>>;

pub(super) fn json(status: StatusCode, body: String) -> ApiResponse {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, http::HeaderValue::from_static("application/json"));
    response
}

/// Returns a response with the reason for which a request can't be served.
pub(super) fn error_response(status: StatusCode, reason: &str) -> ApiResponse {
    let reason = serde_json::Value::from(reason);
    json(status, format!("{{\"error\":{reason}}}"))
}

/// Returns a 503 response that asks the caller to retry. The work has not run and never
/// will.
pub(super) fn retry_later(retry_s: u32, reason: &str) -> ApiResponse {
    let mut response = error_response(StatusCode::SERVICE_UNAVAILABLE, reason);
    response.headers_mut().insert(header::RETRY_AFTER, retry_s.into());
    response
}

/// Returns the response for an outcome.
///
/// If the owner can't write its log while this process can reach the store, only the owner
/// has lost the store and is replaced within a second.
pub(super) fn from_outcome(outcome: RequestOutcome, is_store_reachable: bool) -> ApiResponse {
    match outcome {
        RequestOutcome::Accepted | RequestOutcome::Cancelled => {
            json(StatusCode::OK, "{}".to_string())
        }
        RequestOutcome::State(state) => json(StatusCode::OK, render_state(state)),
        RequestOutcome::Count(count) => json(StatusCode::OK, render_count(count)),
        RequestOutcome::NoSuchJob => error_response(StatusCode::GONE, "no such job"),
        RequestOutcome::NotOwner => retry_later(RETRY_SOON_S, "no owner at present"),
        RequestOutcome::Detached => retry_later(RETRY_ELSEWHERE_S, "this host is cut off"),
        RequestOutcome::StoreAway if is_store_reachable => {
            retry_later(RETRY_SOON_S, "the owner moves")
        }
        RequestOutcome::StoreAway => retry_later(RETRY_STORE_S, "the store is away"),
        RequestOutcome::Overloaded => {
            retry_later(RETRY_RESTRICTED_S, "workers crash under jobs of this queue")
        }
        RequestOutcome::NoMemory => {
            retry_later(RETRY_BACKLOG_S, "too many jobs of this team are not closed yet")
        }
        RequestOutcome::Unknown => error_response(StatusCode::GATEWAY_TIMEOUT, "outcome not known"),
    }
}
