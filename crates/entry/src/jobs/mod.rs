//! Submission, status and cancellation of jobs.
//!
//! A submission that may have been accepted is never repeated: its failure is reported to the
//! caller with an unknown outcome.

use std::sync::Arc;
use std::time::Duration;

use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use rand::Rng;
use rand::seq::IndexedRandom;
use serde::Serialize;
use sycamore_core::caller::Submission;
use sycamore_types::config::Document;
use sycamore_types::id;
use sycamore_types::job::{Spec, SpecError};
use sycamore_types::outcome::{Certainty, Failure, Reason};
use sycamore_wire::{Command, ConnectionKind, Error, Reply};

use crate::api::{
    Body, Caller, MAX_JOB_BYTES, begin_answer, failure_response, identify, malformed, read_limited,
    respond, unauthorized,
};
use crate::entry::Shared;

/// Time within which the owner of a shard must reply.
const OWNER_TIMEOUT: Duration = Duration::from_secs(8);

/// Most shards that a job is offered to in one round.
const MAX_OFFERS: usize = 8;

/// Most rounds of offers while shards change owners.
const MAX_ROUNDS: usize = 12;

/// Pause between two rounds.
const ROUND_PAUSE: Duration = Duration::from_millis(400);

/// JSON response to the submission of a job, which is durable by then.
#[derive(Serialize)]
struct Accepted {
    job: id::Job,
    name: String,
}

/// Serves the submission of a job.
pub(crate) async fn submit(shared: Arc<Shared>, request: Request<Incoming>) -> Response<Body> {
    let headers = request.headers().clone();
    let connection = request.extensions().get().cloned();
    let body = read_limited(&shared.bodies, request.into_body(), MAX_JOB_BYTES).await;
    let (body, _reservation) = match body {
        Ok(received) => received,
        Err(refusal) => return *refusal,
    };
    let _answering = begin_answer(connection.as_ref());
    let spec: Spec = match serde_json::from_slice(&body) {
        Ok(spec) => spec,
        Err(error) => return malformed(format!("body: {error}")),
    };
    let queue = Some(&*spec.queue);
    let patience = shared.arguments.key_patience;
    let caller = match identify(&headers, queue, &shared.rollout, patience) {
        Ok(caller) => caller,
        Err(refusal) => return *refusal,
    };
    if let Err(error) = check_spec(&spec, &caller, &shared.rollout.current().document) {
        return malformed(error.to_string());
    }
    let outcome = submit_with_retries(&shared, &caller, spec).await;
    let label = outcome.as_ref().map_or_else(|failure| failure.reason.code(), |_| "accepted");
    shared.meters.calls.with_label_values(&["submit", label]).inc();
    match outcome {
        Ok(job) => {
            let accepted = Accepted { name: job.to_string(), job };
            respond(StatusCode::ACCEPTED, serde_json::to_vec(&accepted).unwrap_or_default())
        }
        Err(failure) => failure_response(&failure),
    }
}

/// Checks the specification of a job, and that its team may submit urgent work.
fn check_spec(spec: &Spec, caller: &Caller, config: &Document) -> Result<(), SpecError> {
    spec.check()?;
    let may_be_urgent = config.teams.get(&caller.team).is_some_and(|team| team.urgent);
    if spec.urgent && !may_be_urgent {
        return Err(SpecError::Urgent);
    }
    Ok(())
}

/// Submits a job, with further rounds of offers while shards change owners.
async fn submit_with_retries(
    shared: &Shared,
    caller: &Caller,
    mut spec: Spec,
) -> Result<id::Job, Failure> {
    spec.selector = spec.selector.and(&caller.selector);
    let mut refusal = Failure::not_run(Reason::NoHostMatches);
    for _ in 0..MAX_ROUNDS {
        match offer_to_owners(shared, caller, &spec).await {
            Err(failure) if is_transient(&failure) => refusal = failure,
            settled => return settled,
        }
        tokio::time::sleep(ROUND_PAUSE).await;
    }
    Err(refusal)
}

/// Returns whether a refusal only means that a shard is changing owners.
fn is_transient(failure: &Failure) -> bool {
    let is_not_run = failure.certainty == Certainty::NotRun;
    is_not_run && matches!(failure.reason, Reason::Moved | Reason::NoOwner)
}

/// Offers a job to the owners of random matching shards until one accepts it.
async fn offer_to_owners(
    shared: &Shared,
    caller: &Caller,
    spec: &Spec,
) -> Result<id::Job, Failure> {
    let config = shared.rollout.current().document;
    let mut shards = shared.directory.snapshot().matching_shards(&spec.selector, &config);
    let mut refusal = Failure::not_run(Reason::NoHostMatches);
    for _ in 0..MAX_OFFERS {
        let Some(shard) = shards.choose(&mut rand::rng()).cloned() else {
            break;
        };
        shards.retain(|other| *other != shard);
        let submission = Submission {
            id: id::Job::new(shard, rand::rng().random()),
            team: caller.team.clone(),
            spec: spec.clone(),
        };
        let home = submission.id.home.clone();
        match call_owner(shared, &home, Command::Submit(Box::new(submission)), true).await {
            Ok(Reply::Accepted(job)) => return Ok(job),
            Ok(_) => return Err(Failure::unknown(Reason::Moved)),
            Err(failure) if failure.certainty == Certainty::Unknown => return Err(failure),
            Err(failure) => refusal = failure,
        }
    }
    Err(refusal)
}

/// Serves a query for the status of a job.
pub(crate) async fn status(
    shared: Arc<Shared>,
    request: Request<Incoming>,
    job: &str,
) -> Response<Body> {
    call_job_owner(&shared, &request, job, Command::Status).await
}

/// Serves the cancellation of a job.
pub(crate) async fn cancel(
    shared: Arc<Shared>,
    request: Request<Incoming>,
    job: &str,
) -> Response<Body> {
    call_job_owner(&shared, &request, job, Command::Cancel).await
}

/// Sends a command about a job to the owner of its shard, if the caller may see the job.
async fn call_job_owner(
    shared: &Shared,
    request: &Request<Incoming>,
    job: &str,
    command: fn(id::Job) -> Command,
) -> Response<Body> {
    let Ok(job) = id::Job::parse(job) else {
        return malformed("path: a job is written as SHARD.HEX");
    };
    match check_team(shared, request, &job).await {
        Ok(()) => {}
        Err(refusal) => return *refusal,
    }
    let home = job.home.clone();
    match call_owner(shared, &home, command(job), false).await {
        Ok(Reply::Status(status)) => {
            respond(StatusCode::OK, serde_json::to_vec(&status).unwrap_or_default())
        }
        Ok(_) => failure_response(&Failure::unknown(Reason::Moved)),
        Err(failure) => failure_response(&failure),
    }
}

/// Checks that a job belongs to the caller's team.
async fn check_team(
    shared: &Shared,
    request: &Request<Incoming>,
    job: &id::Job,
) -> Result<(), Box<Response<Body>>> {
    let patience = shared.arguments.key_patience;
    let caller = identify(request.headers(), None, &shared.rollout, patience)?;
    match call_owner(shared, &job.home, Command::Status(job.clone()), false).await {
        Ok(Reply::Status(status)) if status.team == caller.team => Ok(()),
        Ok(_) => Err(Box::new(unauthorized())),
        Err(failure) => Err(Box::new(failure_response(&failure))),
    }
}

/// Calls the owner of a shard.
///
/// `starts_work` states whether the command can cause work to run. Without a reply, the outcome of
/// such a command is unknown, while any other command counts as not run.
pub(crate) async fn call_owner(
    shared: &Shared,
    shard: &id::Shard,
    command: Command,
    starts_work: bool,
) -> Result<Reply, Failure> {
    let Some(address) = shared.directory.snapshot().owner_address(shard) else {
        return Err(Failure::not_run(Reason::NoOwner));
    };
    let unanswered = |reason| match starts_work {
        true => Failure::unknown(reason),
        false => Failure::not_run(reason),
    };
    let kind = ConnectionKind::Traffic;
    match shared.pool.call_within(address, kind, &command, OWNER_TIMEOUT).await {
        Ok(Reply::Failed(failure)) => Err(failure),
        Ok(reply) => Ok(reply),
        Err(error) if error.is_not_sent() => Err(Failure::not_run(Reason::NoOwner)),
        Err(Error::Stalled(_)) => Err(unanswered(Reason::DeadlinePassed)),
        Err(_) => Err(unanswered(Reason::Moved)),
    }
}
