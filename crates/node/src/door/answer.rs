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

/// An answer to a caller.
pub(super) type Answer = Response<Full<Bytes>>;

pub(super) fn text(status: StatusCode, body: String) -> Answer {
    let mut answer = Response::new(Full::new(Bytes::from(body)));
    *answer.status_mut() = status;
    answer
        .headers_mut()
        .insert(header::CONTENT_TYPE, http::HeaderValue::from_static("application/json"));
    answer
}

/// An answer that says why the request can't be served.
pub(super) fn refusal(status: StatusCode, reason: &str) -> Answer {
    let reason = serde_json::Value::from(reason);
    text(status, format!("{{\"error\":{reason}}}"))
}

/// A refusal of work that has not run and never will.
pub(super) fn come_back(retry_s: u32, reason: &str) -> Answer {
    let mut answer = refusal(StatusCode::SERVICE_UNAVAILABLE, reason);
    answer.headers_mut().insert(header::RETRY_AFTER, retry_s.into());
    answer
}

/// Writes the answer of a verdict. Where this process still has the store, only the owner
/// has lost it and is replaced within a second.
pub(super) fn of_verdict(verdict: RequestOutcome, store_is_near: bool) -> Answer {
    match verdict {
        RequestOutcome::Accepted | RequestOutcome::Cancelled => {
            text(StatusCode::OK, "{}".to_string())
        }
        RequestOutcome::State(state) => text(StatusCode::OK, render_state(state)),
        RequestOutcome::Count(count) => text(StatusCode::OK, render_count(count)),
        RequestOutcome::NoSuchJob => refusal(StatusCode::GONE, "no such job"),
        RequestOutcome::NotOwner => come_back(RETRY_SOON_S, "no owner at present"),
        RequestOutcome::Detached => come_back(RETRY_ELSEWHERE_S, "this host is cut off"),
        RequestOutcome::StoreAway if store_is_near => come_back(RETRY_SOON_S, "the owner moves"),
        RequestOutcome::StoreAway => come_back(RETRY_STORE_S, "the store is away"),
        RequestOutcome::Unknown => refusal(StatusCode::GATEWAY_TIMEOUT, "outcome not known"),
    }
}
