//! Responses, and the mapping from failures to HTTP status codes and headers.
//!
//! Every failure states whether the work may have run, because a caller can safely repeat work
//! only if it has not.

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use serde::Serialize;
use sycamore_types::outcome::{Certainty, Failure, Reason};

/// Body of a response.
pub(crate) type Body = BoxBody<Bytes, std::io::Error>;

/// Header that states whether failed work may have run.
const OUTCOME_HEADER: &str = "x-outcome";

/// Header with the reason code of a failure.
const REASON_HEADER: &str = "x-reason";

/// JSON body of a response to failed work.
#[derive(Serialize)]
struct FailureBody<'a> {
    outcome: &'a str,
    reason: &'a str,
    message: String,
    retry_after_ms: u64,
}

/// Builds a response with a complete body.
pub(crate) fn respond(status: StatusCode, body: impl Into<Bytes>) -> Response<Body> {
    let body = Full::new(body.into()).map_err(|never| match never {}).boxed();
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response
}

/// Builds the response to failed work.
pub(crate) fn failure_response(failure: &Failure) -> Response<Body> {
    let outcome = match failure.certainty {
        Certainty::NotRun => "not_run",
        Certainty::Unknown => "unknown",
    };
    let body = FailureBody {
        outcome,
        reason: failure.reason.code(),
        message: failure.reason.to_string(),
        retry_after_ms: failure.retry_after_ms,
    };
    let mut response =
        respond(status_of(&failure.reason), serde_json::to_vec(&body).unwrap_or_default());
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    headers.insert(OUTCOME_HEADER, HeaderValue::from_static(outcome));
    headers.insert(REASON_HEADER, HeaderValue::from_static(failure.reason.code()));
    if failure.retry_after_ms > 0 {
        let seconds = failure.retry_after_ms.div_ceil(1_000);
        headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
    }
    response
}

fn status_of(reason: &Reason) -> StatusCode {
    match reason {
        Reason::LimitReached | Reason::QueueFull => StatusCode::TOO_MANY_REQUESTS,
        Reason::NeverFits(_) | Reason::NoHostMatches => StatusCode::UNPROCESSABLE_ENTITY,
        Reason::KeyWithdrawn => StatusCode::UNAUTHORIZED,
        Reason::DeadlinePassed => StatusCode::GATEWAY_TIMEOUT,
        Reason::Cancelled | Reason::MemoryLost | Reason::Repeated => StatusCode::CONFLICT,
        Reason::WorkerFailed => StatusCode::BAD_GATEWAY,
        Reason::UnknownJob => StatusCode::NOT_FOUND,
        Reason::Malformed(_) | Reason::CallerGone => StatusCode::BAD_REQUEST,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    }
}

/// Builds the response to a call with an invalid part, which `message` names.
pub(crate) fn malformed(message: impl Into<String>) -> Response<Body> {
    failure_response(&Failure::not_run(Reason::Malformed(message.into())))
}

/// Builds the response to a call without a valid key.
pub(crate) fn unauthorized() -> Response<Body> {
    failure_response(&Failure::not_run(Reason::KeyWithdrawn))
}

/// Builds the response to a call with an unknown path.
pub(crate) fn not_found() -> Response<Body> {
    let mut response = malformed("no such path");
    *response.status_mut() = StatusCode::NOT_FOUND;
    response
}
