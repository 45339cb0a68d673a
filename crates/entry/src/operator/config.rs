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

/// Times that a write in doubt is looked at before its outcome is called unknown.
const MAX_WRITE_CALLS: usize = 5;

/// Time between two looks.
const RETRY_PAUSE: std::time::Duration = std::time::Duration::from_millis(300);

/// What an operator is told of a change.
#[derive(Serialize)]
struct ChangeReport {
    revision: Revision,
    /// Processes that have the change in force.
    in_force: usize,
    /// Processes that are known.
    of: usize,
    /// Processes that did not confirm it.
    missing: Vec<String>,
}

/// Returns the configuration in force, with its revision as the tag.
pub(super) fn read(shared: &Shared) -> Response<Body> {
    let current = shared.rollout.current();
    let body = serde_json::to_vec(&*current.document).unwrap_or_default();
    let mut response = respond(StatusCode::OK, body);
    if let Ok(tag) = HeaderValue::from_str(&current.revision.to_string()) {
        response.headers_mut().insert(header::ETAG, tag);
    }
    response
}

/// Replaces the configuration if it still has the revision that the operator read.
pub(super) async fn write(shared: &Shared, request: Request<Incoming>) -> Response<Body> {
    let tag = request.headers().get(header::IF_MATCH).and_then(|value| value.to_str().ok());
    let Some(expected) = tag.and_then(|tag| tag.trim_matches('"').parse::<Revision>().ok()) else {
        return malformed("header `if-match`: must name the revision that was read");
    };
    let body = match read_limited(request.into_body(), MAX_CONFIG_BYTES).await {
        Ok(body) => body,
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

/// Follows the write until its outcome is certain, or for a while.
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

/// Gives the change to every process and tells how many have it in force.
async fn push_to_peers(shared: &Shared, revision: Revision, document: Document) -> Response<Body> {
    shared.rollout.adopt(revision, document);
    let snapshot = shared.directory.snapshot();
    let others = snapshot.members.values().filter(|record| record.fenced_by.is_none());
    let pushes = others.map(|record| async {
        let address = record.address.parse().ok();
        let confirmed = match address {
            Some(address) => sycamore_rollout::push(&shared.rollout, &shared.pool, address).await,
            None => None,
        };
        (record.member.to_string(), confirmed.is_some_and(|there| there >= revision))
    });
    let results = join_all(pushes).await;
    let missing: Vec<String> =
        results.iter().filter(|(_, is_there)| !is_there).map(|(name, _)| name.clone()).collect();
    let of = results.len();
    let report = ChangeReport { revision, in_force: of - missing.len(), of, missing };
    respond(StatusCode::OK, serde_json::to_vec(&report).unwrap_or_default())
}
