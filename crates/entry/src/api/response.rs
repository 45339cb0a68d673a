use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use serde::Serialize;
use sycamore_types::outcome::{Certainty, Failure, Reason};

/// Body of an answer.
pub(crate) type Body = BoxBody<Bytes, std::io::Error>;

/// Header that says whether work that was not answered may have run.
const OUTCOME_HEADER: &str = "x-outcome";

/// Header that says why work was not answered.
const REASON_HEADER: &str = "x-reason";

/// What the body of a failure says.
#[derive(Serialize)]
struct FailureBody<'a> {
    outcome: &'a str,
    reason: &'a str,
    message: String,
    retry_after_ms: u64,
}

/// Builds an answer whose body is at hand.
pub(crate) fn respond(status: StatusCode, body: impl Into<Bytes>) -> Response<Body> {
    let body = Full::new(body.into()).map_err(|never| match never {}).boxed();
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response
}

/// Tells a caller that its work was not answered.
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

/// Tells a caller which part of its call can't be used.
pub(crate) fn malformed(message: impl Into<String>) -> Response<Body> {
    failure_response(&Failure::not_run(Reason::Malformed(message.into())))
}

/// Tells a caller that its key is not accepted.
pub(crate) fn unauthorized() -> Response<Body> {
    failure_response(&Failure::not_run(Reason::KeyWithdrawn))
}

/// Tells a caller that the path is unknown.
pub(crate) fn not_found() -> Response<Body> {
    let mut response = malformed("no such path");
    *response.status_mut() = StatusCode::NOT_FOUND;
    response
}
