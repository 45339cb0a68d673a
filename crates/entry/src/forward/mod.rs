//! Forwards interactive requests to the owners of shards.
//!
//! A refused request is offered to further shards, but only if it certainly has not run, none of
//! its body has been read, and the retry budget allows it.

mod attempt;
mod body;

use std::sync::Arc;
use std::time::Duration;

use http::{HeaderMap, Request, Response};
use hyper::body::Incoming;
use rand::Rng;
use rand::seq::IndexedRandom;
use sycamore_core::caller;
use sycamore_platform::otlp::Span;
use sycamore_telemetry::trace::{TRACEPARENT, TraceContext};
use sycamore_types::id;
use sycamore_types::outcome::{Certainty, Failure, Reason};
use sycamore_types::selector::Selector;
use sycamore_wire::{Header, InteractiveRequest, RequestHead};
use tokio::time::Instant;

use crate::api::{Body, Caller, failure_response, identify, malformed};
use crate::entry::Shared;
use attempt::Attempt;
use body::RequestBody;

/// Header that carries an idempotency key.
const KEY: &str = "idempotency-key";

/// Longest idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 256;

/// Header with the time limit of a request, in milliseconds. It can only shorten the limit of
/// the service.
const TIMEOUT: &str = "x-timeout-ms";

/// Response header with the identifier of the request, which its worker receives in the launch.
const REQUEST_ID_HEADER: &str = "x-request-id";

/// First pause before shards that are changing owners are tried again. Each further pause is twice
/// as long.
const FIRST_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Longest pause before shards are tried again.
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(1);

/// Request headers that are not forwarded: those that concern a single hop, the caller's key, and
/// those that only this system may set.
const DROPPED_HEADERS: [&str; 9] = [
    "authorization",
    "connection",
    "host",
    "keep-alive",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "x-launch",
];

/// An authenticated request, without its body.
struct Admitted {
    caller: Caller,
    service: sycamore_types::Name,
    size: sycamore_types::resources::Resources,
    selector: Selector,
    key: Option<caller::KeyHash>,
    head: RequestHead,
    span: Span,
    deadline: Instant,
}

/// Serves one request to `/v1/services/SERVICE/...`.
pub(crate) async fn serve(
    shared: Arc<Shared>,
    request: Request<Incoming>,
    service: &str,
) -> Response<Body> {
    shared.retry_budget.deposit();
    let mut admitted = match admit(&shared, &request, service) {
        Ok(admitted) => admitted,
        Err(refusal) => return *refusal,
    };
    let connection = request.extensions().get().cloned();
    let mut body = RequestBody::new(request.into_body(), connection);
    let result = offer_to_owners(&shared, &admitted, &mut body).await;
    admitted
        .span
        .set_outcome(result.as_ref().map_or_else(|failure| failure.reason.code(), |_| "answered"));
    match result {
        Ok(response) => {
            shared.meters.calls.with_label_values(&["request", "answered"]).inc();
            response
        }
        Err(failure) => {
            shared.meters.calls.with_label_values(&["request", failure.reason.code()]).inc();
            failure_response(&failure)
        }
    }
}

/// Authenticates a request and determines its service, key and deadline.
fn admit(
    shared: &Shared,
    request: &Request<Incoming>,
    service: &str,
) -> Result<Admitted, Box<Response<Body>>> {
    let headers = request.headers();
    let caller = identify(headers, None, &shared.rollout, shared.arguments.key_patience)?;
    let config = shared.rollout.current().document;
    let Some((name, settings)) = config.services.get_key_value(service) else {
        let message = format!("path: no service is named `{service}`");
        return Err(Box::new(malformed(message)));
    };
    let key = idempotency_key(headers, &caller).map_err(|message| Box::new(malformed(message)))?;
    let max_timeout = Duration::from_millis(settings.timeout_ms);
    let timeout = request_timeout(headers, max_timeout).map_err(|m| Box::new(malformed(m)))?;
    let incoming = headers.get(TRACEPARENT).and_then(|value| value.to_str().ok());
    let span = shared.tracer.begin("entry", incoming.and_then(TraceContext::parse));
    Ok(Admitted {
        selector: settings.selector.and(&caller.selector),
        service: name.clone(),
        size: settings.size,
        key,
        head: request_head(request, &span.context()),
        span,
        deadline: Instant::now() + timeout,
        caller,
    })
}

/// Returns the hash of the idempotency key, if the request has one.
fn idempotency_key(
    headers: &HeaderMap,
    caller: &Caller,
) -> Result<Option<caller::KeyHash>, String> {
    let Some(value) = headers.get(KEY) else {
        return Ok(None);
    };
    if value.is_empty() || value.len() > MAX_KEY_BYTES {
        return Err(format!("header `{KEY}`: must have 1 to {MAX_KEY_BYTES} bytes"));
    }
    Ok(Some(hash_key(&caller.team, value.as_bytes())))
}

/// Hashes a key together with its team, so that equal keys of two teams do not collide.
fn hash_key(team: &str, key: &[u8]) -> caller::KeyHash {
    let mut bytes = team.as_bytes().to_vec();
    bytes.push(0);
    bytes.extend_from_slice(key);
    let digest = blake3::hash(&bytes);
    let mut half = [0; 16];
    half.copy_from_slice(&digest.as_bytes()[..16]);
    caller::KeyHash::from_le_bytes(half)
}

/// Returns the time limit of a request, at most `max_timeout`.
fn request_timeout(headers: &HeaderMap, max_timeout: Duration) -> Result<Duration, String> {
    let Some(value) = headers.get(TIMEOUT) else {
        return Ok(max_timeout);
    };
    let wanted = value.to_str().ok().and_then(|text| text.parse::<u64>().ok());
    match wanted {
        Some(millis) if millis > 0 => Ok(Duration::from_millis(millis).min(max_timeout)),
        _ => Err(format!("header `{TIMEOUT}`: must be a whole number above zero")),
    }
}

/// Builds the head that the worker receives: the path below the service, and the headers that are
/// forwarded.
fn request_head(request: &Request<Incoming>, trace: &TraceContext) -> RequestHead {
    let path = request.uri().path_and_query().map_or("/", |path| path.as_str());
    let rest = path.splitn(5, '/').nth(4).unwrap_or_default();
    let mut headers: Vec<Header> = request
        .headers()
        .iter()
        .filter(|(name, _)| !DROPPED_HEADERS.contains(&name.as_str()) && *name != TRACEPARENT)
        .map(|(name, value)| Header {
            name: name.as_str().to_string(),
            value: value.as_bytes().to_vec(),
        })
        .collect();
    headers.push(Header { name: TRACEPARENT.to_string(), value: trace.to_string().into_bytes() });
    RequestHead { method: request.method().to_string(), path: format!("/{rest}"), headers }
}

/// Offers a request to one owner after another until one responds to it.
///
/// The next owner is tried only if the request certainly did not run at the previous one, so that
/// it never reaches two workers. Returns the last refusal if no owner accepts the request before
/// the deadline or the retry budget is used up.
async fn offer_to_owners(
    shared: &Arc<Shared>,
    admitted: &Admitted,
    body: &mut RequestBody,
) -> Result<Response<Body>, Failure> {
    let mut tried: Vec<id::Shard> = Vec::new();
    let mut pause = FIRST_RETRY_PAUSE;
    loop {
        let Some(shard) = pick_shard(shared, admitted, &tried) else {
            return Err(Failure::not_run(Reason::NoHostMatches));
        };
        let refusal = match offer_to_shard(shared, admitted, &shard, body).await {
            Ok(response) => return Ok(response),
            Err(refusal) => refusal,
        };
        let is_final = refusal.certainty == Certainty::Unknown
            || !may_succeed_elsewhere(&refusal.reason)
            || body.has_been_read();
        if is_final || !shared.retry_budget.withdraw() {
            return Err(refusal);
        }
        shared.meters.retries.with_label_values(&[refusal.reason.code()]).inc();
        tried.push(shard);
        if admitted.key.is_none() && has_untried(shared, admitted, &tried) {
            continue;
        }
        // All shards that may run the request were tried; with a key, that is its home shard only.
        // A shard without an owner soon gets one; any other refusal is final.
        let is_transient = matches!(refusal.reason, Reason::Moved | Reason::NoOwner);
        if !is_transient || Instant::now() + pause >= admitted.deadline {
            return Err(refusal);
        }
        tokio::time::sleep(pause).await;
        pause = (pause * 2).min(MAX_RETRY_PAUSE);
        tried.clear();
    }
}

/// Returns whether there is a matching shard that was not tried yet.
fn has_untried(shared: &Shared, admitted: &Admitted, tried: &[id::Shard]) -> bool {
    let config = shared.rollout.current().document;
    let all = shared.directory.snapshot().matching_shards(&admitted.selector, &config);
    all.iter().any(|shard| !tried.contains(shard))
}

/// Returns whether another shard, or the next owner of this one, may accept the request.
fn may_succeed_elsewhere(reason: &Reason) -> bool {
    matches!(
        reason,
        Reason::Moved
            | Reason::NeverFits(_)
            | Reason::NoHostMatches
            | Reason::NoOwner
            | Reason::QueueFull
    )
}

/// Picks the shard for the next offer.
///
/// A request with an idempotency key always goes to the shard that remembers the key. For any
/// other, two untried shards are drawn at random and the one with fewer calls in flight is picked.
/// If all of them were tried, the last one is picked again.
fn pick_shard(shared: &Shared, admitted: &Admitted, tried: &[id::Shard]) -> Option<id::Shard> {
    let snapshot = shared.directory.snapshot();
    if let Some(key) = admitted.key {
        return snapshot.home_shard(key);
    }
    let config = shared.rollout.current().document;
    let all = snapshot.matching_shards(&admitted.selector, &config);
    let untried: Vec<&id::Shard> = all.iter().filter(|shard| !tried.contains(shard)).collect();
    let mut rng = rand::rng();
    let two = untried.choose_multiple(&mut rng, 2);
    let chosen = two.min_by_key(|shard| shared.directory.in_flight_calls(shard));
    chosen.map(|shard| (*shard).clone()).or_else(|| tried.last().cloned())
}

/// Offers a request to the current owner of a shard.
async fn offer_to_shard(
    shared: &Arc<Shared>,
    admitted: &Admitted,
    shard: &id::Shard,
    body: &mut RequestBody,
) -> Result<Response<Body>, Failure> {
    let snapshot = shared.directory.snapshot();
    let Some(address) = snapshot.owner_address(shard) else {
        return Err(Failure::not_run(Reason::NoOwner));
    };
    let remaining = admitted.deadline.saturating_duration_since(Instant::now());
    if remaining.is_zero() {
        return Err(Failure::not_run(Reason::DeadlinePassed));
    }
    let id = id::Job::new(shard.clone(), rand::rng().random());
    let request = caller::Request {
        id: id.clone(),
        team: admitted.caller.team.clone(),
        service: admitted.service.clone(),
        size: admitted.size,
        selector: admitted.selector.clone(),
        key: admitted.key,
        start_timeout: remaining,
    };
    let request = InteractiveRequest { request, head: admitted.head.clone(), timeout: remaining };
    let guard = shared.directory.track_call(shard);
    let attempt = Attempt { pool: &shared.pool, address, request, deadline: admitted.deadline };
    let mut response = attempt.run(body, guard).await?;
    response.headers_mut().extend(identity_headers(&id, &admitted.span.context()));
    Ok(response)
}

/// Returns the response headers that identify the request and its trace.
fn identity_headers(id: &id::Job, trace: &TraceContext) -> HeaderMap {
    let mut headers = HeaderMap::new();
    if let Ok(value) = id.to_string().parse() {
        headers.insert(REQUEST_ID_HEADER, value);
    }
    if let Ok(value) = trace.to_string().parse() {
        headers.insert(TRACEPARENT, value);
    }
    headers
}
