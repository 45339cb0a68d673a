use bytes::Bytes;
use http::{Response, StatusCode, header};
use http_body_util::Full;
use sycamore_platform::site::{render_count, render_state};

use crate::peer::RequestOutcome;

/// Time after which a caller may come back while ownership moves, in seconds.
pub(super) const RETRY_SOON_S: u32 = 1;

/// Time after which a caller may come back to another host, in seconds.
const RETRY_ELSEWHERE_S: u32 = 0;

/// Time after which a caller may come back while the store is away, in seconds.
pub(super) const RETRY_STORE_S: u32 = 2;

/// A response to a caller.
pub(super) type ApiResponse = Response<Full<Bytes>>;

pub(super) fn json(status: StatusCode, body: String) -> ApiResponse {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, http::HeaderValue::from_static("application/json"));
    response
}

/// A response that says why the request can't be served.
pub(super) fn error_response(status: StatusCode, reason: &str) -> ApiResponse {
    let reason = serde_json::Value::from(reason);
    json(status, format!("{{\"error\":{reason}}}"))
}

/// A refusal of work that has not run and never will.
pub(super) fn retry_later(retry_s: u32, reason: &str) -> ApiResponse {
    let mut response = error_response(StatusCode::SERVICE_UNAVAILABLE, reason);
    response.headers_mut().insert(header::RETRY_AFTER, retry_s.into());
    response
}

/// Writes the response of a verdict. Where this process still has the store, only the owner
/// has lost it and is replaced within a second.
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
        RequestOutcome::Unknown => error_response(StatusCode::GATEWAY_TIMEOUT, "outcome not known"),
    }
}
