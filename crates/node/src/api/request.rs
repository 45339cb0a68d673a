//! Handles one HTTP request of a caller: finds its route and team, parses it, and logs how
//! it was answered. What the process can refuse by itself never reaches the owner.

use std::sync::Arc;
use std::time::{Duration, Instant};

use http::{Method, Request, StatusCode, header};
use hyper::body::Incoming;
use sycamore_graph::job::{Id, Spec};
use sycamore_intake::body::{self, Reservation, receive};
use sycamore_intake::connection::Connection;
use sycamore_platform::site::{Config, Route, header as site_header, parse_job};
use sycamore_types::Name;

use super::forward::forward_to_owner;
use super::response::{ApiResponse, RETRY_SOON_S, error_response, from_outcome, retry_later};
use crate::clock::millis;
use crate::node::Node;
use crate::peer::{CallerRequest, RequestOutcome};
use crate::timing::RESPONSE_MARGIN;

/// Time limit of a request if its route sets none.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(3);

/// Largest part of a time limit that is reserved for the response, as a divisor.
const RESPONSE_MARGIN_DIVISOR: u32 = 4;

/// Answers one request of a caller, and counts and logs the response.
pub(super) async fn handle(
    node: Arc<Node>,
    connection: &Arc<Connection>,
    request: Request<Incoming>,
) -> ApiResponse {
    let started = Instant::now();
    connection.begin_request();
    let method = request.method().clone();
    let path = request.uri().path().to_string();
    let (response, outcome) = serve(&node, connection, request, started).await;
    let job = path.rsplit('/').next().unwrap_or_default();
    let status = response.status().as_u16();
    let verdict = outcome.map_or_else(|| "None".to_string(), |outcome| format!("{outcome:?}"));
    let meters = &node.meters;
    meters.requests.with_label_values(&[method.as_str(), &status.to_string()]).inc();
    meters.request_s.with_label_values(&[method.as_str()]).observe(started.elapsed().as_secs_f64());
    let (config, epoch) =
        (node.configs.version(), node.ownership.newest_owner().map_or(0, |o| o.epoch));
    log::info!(
        target: "request", job, method:%, path, status,
        verdict, ms = millis(started.elapsed()), config, epoch; "answered"
    );
    response
}

/// Returns the response and, for a request that was forwarded to the owner, its outcome.
async fn serve(
    node: &Arc<Node>,
    connection: &Arc<Connection>,
    request: Request<Incoming>,
    started: Instant,
) -> (ApiResponse, Option<RequestOutcome>) {
    match parse(node, request, started).await {
        // The request's memory stays reserved until it is answered.
        Ok((caller_request, deadline, _reservation)) => {
            let _answering = connection.begin_answer();
            let outcome = forward_to_owner(node, caller_request, deadline).await;
            (from_outcome(outcome, node.configs.is_store_reachable()), Some(outcome))
        }
        Err(response) => (response, None),
    }
}

/// Parses a request. Returns it with the time by which the response must be sent and the memory
/// that is reserved for a submission, or the error response.
async fn parse(
    node: &Arc<Node>,
    request: Request<Incoming>,
    started: Instant,
) -> Result<(CallerRequest, Instant, Option<Reservation>), ApiResponse> {
    let Some(current) = node.configs.current() else {
        return Err(retry_later(RETRY_SOON_S, "no configuration yet"));
    };
    let config = &current.config;
    let path = request.uri().path().to_string();
    let Some(route) = find_route(config, &request, &path) else {
        return Err(error_response(StatusCode::NOT_FOUND, "no such queue"));
    };
    let Some(team) = find_team(config, route, &request) else {
        return Err(error_response(StatusCode::UNAUTHORIZED, "unknown key"));
    };
    let deadline = started + response_timeout(route, &request);
    let name = &path[route.prefix.len()..];
    if name.is_empty() && request.method() == Method::GET {
        return Ok((CallerRequest::Count { queue: route.queue.clone() }, deadline, None));
    }
    let Ok(job) = name.parse::<Id>() else {
        return Err(error_response(
            StatusCode::BAD_REQUEST,
            "a job name has 16 hexadecimal digits",
        ));
    };
    let caller_request = match *request.method() {
        Method::GET => CallerRequest::Query { job, team },
        Method::DELETE => CallerRequest::Cancel { job, team },
        Method::POST => {
            let (spec, reservation) = receive_spec(node, config, request, deadline).await?;
            let queue = route.queue.clone();
            let submission = CallerRequest::Submit { job, queue, team, spec };
            return Ok((submission, deadline, Some(reservation)));
        }
        _ => return Err(error_response(StatusCode::METHOD_NOT_ALLOWED, "method not allowed")),
    };
    Ok((caller_request, deadline, None))
}

fn find_route<'a>(
    config: &'a Config,
    request: &Request<Incoming>,
    path: &str,
) -> Option<&'a Route> {
    let host = request.headers().get(header::HOST).and_then(|value| value.to_str().ok());
    let host = host.or_else(|| request.uri().host()).unwrap_or("");
    let host = host.split_once(':').map_or(host, |(name, _)| name);
    let matches =
        |route: &&Route| route.host.eq_ignore_ascii_case(host) && path.starts_with(&*route.prefix);
    // Routes are sorted by length of their prefix, the longest first.
    config.routes.iter().find(matches)
}

fn find_team(config: &Config, route: &Route, request: &Request<Incoming>) -> Option<Name> {
    let key = request.headers().get(site_header::KEY).and_then(|value| value.to_str().ok());
    let team = key.and_then(|key| config.keys.get(key)).cloned();
    if team.is_none() && route.is_open { Some(Name::from("")) } else { team }
}

/// Returns the time within which the response must be sent: the smaller of the route's and
/// the caller's limit, less the time for the response to travel back.
fn response_timeout(route: &Route, request: &Request<Incoming>) -> Duration {
    let requested = request.headers().get(site_header::DEADLINE_MS);
    let requested =
        requested.and_then(|value| value.to_str().ok()).and_then(|text| text.parse().ok());
    let route_timeout = match route.timeout_ms {
        0 => DEFAULT_TIMEOUT,
        timeout_ms => Duration::from_millis(timeout_ms),
    };
    let timeout = requested.map_or(route_timeout, |ms: f64| {
        route_timeout.min(Duration::from_millis(ms.max(0.0) as u64))
    });
    // A caller's last attempt may have little time left, most of which is needed to serve it.
    timeout - RESPONSE_MARGIN.min(timeout / RESPONSE_MARGIN_DIVISOR)
}

/// Receives and parses the body of a submission. Returns the job and the memory that is reserved
/// for it.
async fn receive_spec(
    node: &Node,
    config: &Config,
    request: Request<Incoming>,
    deadline: Instant,
) -> Result<(Spec, Reservation), ApiResponse> {
    let max_bytes = config.limits.max_body_bytes.min(node.bodies.max_bytes());
    let received = receive(&node.bodies, request.into_body(), max_bytes, deadline).await;
    let (bytes, reservation) = received.map_err(|error| {
        let reason = error.to_string();
        match error {
            body::Error::TooLarge => error_response(StatusCode::PAYLOAD_TOO_LARGE, &reason),
            body::Error::NoMemory => retry_later(RETRY_SOON_S, &reason),
            body::Error::Timeout => error_response(StatusCode::REQUEST_TIMEOUT, &reason),
            _ => error_response(StatusCode::BAD_REQUEST, &reason),
        }
    })?;
    let spec = parse_job(&bytes)
        .map_err(|error| error_response(StatusCode::BAD_REQUEST, &error.to_string()))?;
    drop(bytes);
    // The message to the owner holds a copy.
    if reservation.resize(2 * spec.memory_bytes()).is_err() {
        return Err(retry_later(RETRY_SOON_S, "no memory for the job"));
    }
    Ok((spec, reservation))
}
