use std::sync::Arc;
use std::time::{Duration, Instant};

use http::{Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use sycamore_graph::job::Id;
use sycamore_platform::site::{Config, Route, header as site_header, parse_job};
use sycamore_types::Name;

use super::answer::{Answer, RETRY_SOON_S, come_back, of_verdict, refusal};
use super::ask::ask_owner;
use crate::clock::millis;
use crate::node::Node;
use crate::peer::{CallerRequest, RequestOutcome};
use crate::timing::ANSWER_MARGIN;

/// Time a caller waits when it names none and the route sets none.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(3);

/// Serves one request of a caller, and logs what became of it.
pub(super) async fn handle(node: Arc<Node>, request: Request<Incoming>) -> Answer {
    let begun = Instant::now();
    let method = request.method().clone();
    let path = request.uri().path().to_string();
    let (answer, verdict) = serve(&node, request, begun).await;
    let job = path.rsplit('/').next().unwrap_or_default();
    let status = answer.status().as_u16();
    let verdict = verdict.map_or_else(|| "None".to_string(), |verdict| format!("{verdict:?}"));
    let meters = &node.meters;
    meters.requests.with_label_values(&[method.as_str(), &status.to_string()]).inc();
    meters.request_s.with_label_values(&[method.as_str()]).observe(begun.elapsed().as_secs_f64());
    let (config, epoch) =
        (node.configs.version(), node.ownership.newest_owner().map_or(0, |o| o.epoch));
    log::info!(
        target: "request", job, method:%, path, status,
        verdict, ms = millis(begun.elapsed()), config, epoch; "answered"
    );
    answer
}

/// Returns the answer, and the owner's verdict where it was asked.
async fn serve(
    node: &Arc<Node>,
    request: Request<Incoming>,
    begun: Instant,
) -> (Answer, Option<RequestOutcome>) {
    match read(node, request, begun).await {
        Ok((ask, until)) => {
            let verdict = ask_owner(node, ask, until).await;
            (of_verdict(verdict, node.configs.store_is_near()), Some(verdict))
        }
        Err(answer) => (answer, None),
    }
}

/// Reads what is asked for, and until when the answer must be on its way.
async fn read(
    node: &Arc<Node>,
    request: Request<Incoming>,
    begun: Instant,
) -> Result<(CallerRequest, Instant), Answer> {
    let Some(current) = node.configs.current() else {
        return Err(come_back(RETRY_SOON_S, "no configuration yet"));
    };
    let config = &current.config;
    let path = request.uri().path().to_string();
    let Some(route) = find_route(config, &request, &path) else {
        return Err(refusal(StatusCode::NOT_FOUND, "no such queue"));
    };
    let Some(team) = find_team(config, route, &request) else {
        return Err(refusal(StatusCode::UNAUTHORIZED, "unknown key"));
    };
    let until = begun + patience(route, &request);
    let name = &path[route.prefix.len()..];
    if name.is_empty() && request.method() == Method::GET {
        return Ok((CallerRequest::Count { queue: route.queue.clone() }, until));
    }
    let Ok(job) = name.parse::<Id>() else {
        return Err(refusal(StatusCode::BAD_REQUEST, "a job name has 16 hexadecimal digits"));
    };
    let ask = match *request.method() {
        Method::GET => CallerRequest::Query { job, team },
        Method::DELETE => CallerRequest::Cancel { job, team },
        Method::POST => read_job(config, request, job, route, team, until).await?,
        _ => return Err(refusal(StatusCode::METHOD_NOT_ALLOWED, "method not allowed")),
    };
    Ok((ask, until))
}

fn find_route<'a>(
    config: &'a Config,
    request: &Request<Incoming>,
    path: &str,
) -> Option<&'a Route> {
    let host = request.headers().get(header::HOST).and_then(|value| value.to_str().ok());
    let host = host.or_else(|| request.uri().host()).unwrap_or("");
    let host = host.split_once(':').map_or(host, |(name, _)| name);
    let fits =
        |route: &&Route| route.host.eq_ignore_ascii_case(host) && path.starts_with(&*route.prefix);
    // Routes are sorted by the length of their prefix, the longest first.
    config.routes.iter().find(fits)
}

fn find_team(config: &Config, route: &Route, request: &Request<Incoming>) -> Option<Name> {
    let key = request.headers().get(site_header::KEY).and_then(|value| value.to_str().ok());
    let team = key.and_then(|key| config.keys.get(key)).cloned();
    if team.is_none() && route.is_open { Some(Name::from("")) } else { team }
}

/// Time until the answer must be on its way.
fn patience(route: &Route, request: &Request<Incoming>) -> Duration {
    let named = request.headers().get(site_header::DEADLINE_MS);
    let named = named.and_then(|value| value.to_str().ok()).and_then(|text| text.parse().ok());
    let own = match route.timeout_ms {
        0 => DEFAULT_TIMEOUT,
        timeout_ms => Duration::from_millis(timeout_ms),
    };
    let whole = named.map_or(own, |ms: f64| own.min(Duration::from_millis(ms.max(0.0) as u64)));
    whole.saturating_sub(ANSWER_MARGIN)
}

async fn read_job(
    config: &Config,
    request: Request<Incoming>,
    job: Id,
    route: &Route,
    team: Name,
    until: Instant,
) -> Result<CallerRequest, Answer> {
    let body = Limited::new(request.into_body(), config.limits.max_body_bytes).collect();
    let bytes = match tokio::time::timeout_at(until.into(), body).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            return Err(refusal(StatusCode::PAYLOAD_TOO_LARGE, "body too large"));
        }
        Ok(Err(_)) => return Err(refusal(StatusCode::BAD_REQUEST, "body broken off")),
        Err(_) => return Err(refusal(StatusCode::REQUEST_TIMEOUT, "body not sent in time")),
    };
    match parse_job(&bytes) {
        Ok(spec) => Ok(CallerRequest::Submit { job, queue: route.queue.clone(), team, spec }),
        Err(error) => Err(refusal(StatusCode::BAD_REQUEST, &error.to_string())),
    }
}
