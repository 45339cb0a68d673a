//! Status of the deployment, of jobs and of the decision records.
//!
//! The deployment is described as this process knows it. The status of a job comes from the owner
//! of its shard, and the heads of the decision records come from the store.

use std::collections::BTreeMap;

use http::{Response, StatusCode};
use serde::Serialize;
use sycamore_core::member::Role;
use sycamore_core::owners::Claim;
use sycamore_core::store::{Op, Reply, decode_value};
use sycamore_platform::store::Store;
use sycamore_types::id;
use sycamore_types::outcome::{Failure, Reason};
use sycamore_wire::{Command, Reply as WireReply};

use crate::api::{Body, failure_response, malformed, respond};
use crate::entry::Shared;
use crate::jobs;

/// JSON response with the status of the deployment as this process knows it.
#[derive(Serialize)]
struct Status {
    config_revision: u64,
    entries: usize,
    schedulers: usize,
    members: Vec<String>,
    shards: BTreeMap<id::Shard, Claim>,
    hosts: usize,
    hosts_leaving: usize,
}

/// Serves a query for the status of the deployment.
pub(super) async fn deployment(shared: &Shared) -> Response<Body> {
    let snapshot = shared.directory.snapshot();
    let status = Status {
        config_revision: shared.rollout.current().revision,
        entries: snapshot.count_role(Role::Entry),
        schedulers: snapshot.count_role(Role::Scheduler),
        members: snapshot.members.keys().map(|member| member.to_string()).collect(),
        shards: snapshot.owners.shards.clone(),
        hosts: snapshot.hosts.len(),
        hosts_leaving: snapshot.hosts.iter().filter(|host| host.is_leaving).count(),
    };
    respond(StatusCode::OK, serde_json::to_vec(&status).unwrap_or_default())
}

/// Returns the sequence number and hash of the last record in each shard's chain of decision
/// records, by epoch, for the audit.
pub(super) async fn heads(shared: &Shared) -> Response<Body> {
    let prefix = "heads/".to_string();
    let Reply::Values(values) = shared.store.call(Op::List { prefix }).await else {
        return failure_response(&Failure::not_run(Reason::StoreUnavailable));
    };
    let mut heads: BTreeMap<String, serde_json::Value> = BTreeMap::new();
    for value in values {
        let body =
            decode_value(&value.value).and_then(|(_, body)| serde_json::from_slice(body).ok());
        if let Some(body) = body {
            heads.insert(value.key.trim_start_matches("heads/").to_string(), body);
        }
    }
    respond(StatusCode::OK, serde_json::to_vec(&heads).unwrap_or_default())
}

/// Returns the status of a job of any team, with the reason why it waits.
pub(super) async fn explain(shared: &Shared, job: &str) -> Response<Body> {
    let Ok(job) = id::Job::parse(job) else {
        return malformed("path: a job is written as SHARD.HEX");
    };
    let home = job.home.clone();
    match jobs::call_owner(shared, &home, Command::Status(job), false).await {
        Ok(WireReply::Status(status)) => {
            respond(StatusCode::OK, serde_json::to_vec(&status).unwrap_or_default())
        }
        Ok(_) => failure_response(&Failure::not_run(Reason::UnknownJob)),
        Err(failure) => failure_response(&failure),
    }
}
