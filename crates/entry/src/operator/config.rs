//! Reads and changes of the configuration by operators.
//!
//! A change is written to the store by compare-and-swap, so that two operators can't overwrite
//! each other's changes, and is then pushed to all processes.

use futures::future::join_all;
use http::{HeaderValue, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use rand::Rng;
use serde::Serialize;
use sycamore_core::store::{CONFIG, Write, WriteProgress};
use sycamore_platform::store::Store;
use sycamore_types::config::Document;
use sycamore_types::id::Revision;
use sycamore_types::outcome::{Failure, Reason};

use crate::api::{Body, failure_response, malformed, read_limited, respond};
use crate::entry::Shared;

/// Largest configuration document, in bytes.
const MAX_CONFIG_BYTES: usize = 900 * 1024;

/// Most store calls for one write, after which its outcome is reported as unknown.
const MAX_WRITE_CALLS: usize = 5;

/// Pause before a stalled write is resumed.
const RETRY_PAUSE: std::time::Duration = std::time::Duration::from_millis(300);

/// JSON response to a change of the configuration.
#[derive(Serialize)]
struct ChangeReport {
    revision: Revision,
    /// Number of processes that have the change in force.
    in_force: usize,
    /// Number of known processes.
    of: usize,
    /// Processes that did not confirm the change.
    missing: Vec<String>,
}

/// Returns the configuration in force, with its revision as the entity tag.
pub(super) fn read(shared: &Shared) -> Response<Body> {
    let current = shared.rollout.current();
    let body = serde_json::to_vec(&*current.document).unwrap_or_default();
    let mut response = respond(StatusCode::OK, body);
    if let Ok(tag) = HeaderValue::from_str(&current.revision.to_string()) {
        response.headers_mut().insert(header::ETAG, tag);
    }
    response
}

/// Replaces the configuration if its revision is still the one in the `if-match` header.
pub(super) async fn write(shared: &Shared, request: Request<Incoming>) -> Response<Body> {
    let tag = request.headers().get(header::IF_MATCH).and_then(|value| value.to_str().ok());
    let Some(expected) = tag.and_then(|tag| tag.trim_matches('"').parse::<Revision>().ok()) else {
        return malformed("header `if-match`: must name the revision that was read");
    };
    let body = read_limited(&shared.bodies, request.into_body(), MAX_CONFIG_BYTES).await;
    let (body, _reservation) = match body {
        Ok(received) => received,
        Err(refusal) => return *refusal,
    };
    let document: Document = match serde_json::from_slice(&body) {
        Ok(document) => document,
        Err(error) => return malformed(format!("body: {error}")),
    };
    if let Err(error) = document.check() {
        return malformed(error.to_string());
    }
    match write_document(shared, expected, &document).await {
        WriteProgress::Written(revision) => {
            count(shared, "written");
            push_to_peers(shared, revision, document).await
        }
        WriteProgress::Conflict(found) => {
            count(shared, "conflict");
            let revision = found.map_or(0, |value| value.revision);
            conflict(expected, revision)
        }
        WriteProgress::Refused => {
            count(shared, "refused");
            failure_response(&Failure::not_run(Reason::StoreUnavailable))
        }
        _ => {
            count(shared, "unknown");
            failure_response(&Failure::unknown(Reason::StoreUnavailable))
        }
    }
}

fn count(shared: &Shared, outcome: &str) {
    shared.meters.changes.with_label_values(&[outcome]).inc();
}

fn conflict(expected: Revision, found: Revision) -> Response<Body> {
    let message = format!(
        "the configuration has revision {found}, not {expected}: read it again and repeat the change"
    );
    let mut response = malformed(message);
    *response.status_mut() = StatusCode::CONFLICT;
    response
}

/// Writes the configuration to the store.
///
/// Returns the outcome, or [`WriteProgress::Stalled`] if it stays uncertain after
/// [`MAX_WRITE_CALLS`].
async fn write_document(shared: &Shared, expected: Revision, document: &Document) -> WriteProgress {
    let body = serde_json::to_vec(document).unwrap_or_default();
    let id = rand::rng().random();
    let mut write = Write::new(CONFIG.to_string(), expected, id, &body);
    let mut op = write.start();
    for _ in 0..MAX_WRITE_CALLS {
        let reply = shared.store.call(op).await;
        op = match write.on_reply(reply) {
            WriteProgress::Send(next) => next,
            WriteProgress::Stalled => {
                tokio::time::sleep(RETRY_PAUSE).await;
                write.resume()
            }
            settled => return settled,
        };
    }
    WriteProgress::Stalled
}

/// Pushes a written change to all processes and reports how many have it in force.
async fn push_to_peers(shared: &Shared, revision: Revision, document: Document) -> Response<Body> {
    shared.rollout.adopt(revision, document);
    let snapshot = shared.directory.snapshot();
    let members = snapshot.members.values().filter(|record| record.fenced_by.is_none());
    let pushes = members.map(|record| async {
        let address = record.address.parse().ok();
        let confirmed = match address {
            Some(address) => sycamore_rollout::push(&shared.rollout, &shared.pool, address).await,
            None => None,
        };
        (record.member.to_string(), confirmed.is_some_and(|in_force| in_force >= revision))
    });
    let results = join_all(pushes).await;
    let missing: Vec<String> = results
        .iter()
        .filter(|(_, is_in_force)| !is_in_force)
        .map(|(name, _)| name.clone())
        .collect();
    let of = results.len();
    let report = ChangeReport { revision, in_force: of - missing.len(), of, missing };
    respond(StatusCode::OK, serde_json::to_vec(&report).unwrap_or_default())
}
