//! Jobs: hand in, ask for, cancel.

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
use sycamore_wire::{Command, Lane, Reply};

use crate::door::{
    Body, Caller, MAX_JOB_BYTES, failure, full, identify, malformed, read_limited, unauthorized,
};
use crate::entry::Shared;

/// Time within which an owner must answer.
const TIMEOUT: Duration = Duration::from_secs(8);

/// Owners that one job is offered to at most.
const MAX_OFFERS: usize = 8;

/// Times that all owners are asked again while shards change their owners.
const ROUNDS: usize = 12;

/// Pause before they are asked again.
const ROUND_PAUSE: Duration = Duration::from_millis(400);

/// What a caller is told of a job that is on record.
#[derive(Serialize)]
struct Accepted {
    job: id::Job,
    name: String,
}

/// Takes in a job.
pub(crate) async fn submit(shared: Arc<Shared>, request: Request<Incoming>) -> Response<Body> {
    let headers = request.headers().clone();
    let body = match read_limited(request.into_body(), MAX_JOB_BYTES).await {
        Ok(body) => body,
        Err(refusal) => return *refusal,
    };
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
    if let Err(error) = check(&spec, &caller, &shared.rollout.current().document) {
        return malformed(error.to_string());
    }
    let outcome = hand_in(&shared, &caller, spec).await;
    let label = outcome.as_ref().map_or_else(|told| told.reason.code(), |_| "accepted");
    shared.meters.calls.with_label_values(&["submit", label]).inc();
    match outcome {
        Ok(job) => {
            let told = Accepted { name: job.to_string(), job };
            full(StatusCode::ACCEPTED, serde_json::to_vec(&told).unwrap_or_default())
        }
        Err(told) => failure(&told),
    }
}

fn check(spec: &Spec, caller: &Caller, config: &Document) -> Result<(), SpecError> {
    spec.check()?;
    let may_be_urgent = config.teams.get(&caller.team).is_some_and(|team| team.urgent);
    if spec.urgent && !may_be_urgent {
        return Err(SpecError::Urgent);
    }
    Ok(())
}

/// Offers a job to owners until one puts it on record.
async fn hand_in(shared: &Shared, caller: &Caller, mut spec: Spec) -> Result<id::Job, Failure> {
    spec.selector = spec.selector.and(&caller.selector);
    let mut refusal = Failure::not_run(Reason::NoHostMatches);
    for _ in 0..ROUNDS {
        match offer_around(shared, caller, &spec).await {
            Err(told) if is_passing(&told) => refusal = told,
            settled => return settled,
        }
        tokio::time::sleep(ROUND_PAUSE).await;
    }
    Err(refusal)
}

/// Tells whether a refusal only says that a shard is changing its owner.
fn is_passing(told: &Failure) -> bool {
    let is_not_run = told.certainty == Certainty::NotRun;
    is_not_run && matches!(told.reason, Reason::Moved | Reason::NoOwner)
}

async fn offer_around(shared: &Shared, caller: &Caller, spec: &Spec) -> Result<id::Job, Failure> {
    let config = shared.rollout.current().document;
    let mut shards = shared.directory.snapshot().shards(&spec.selector, &config);
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
        match ask(shared, &home, Command::Submit(Box::new(submission)), true).await {
            Ok(Reply::Accepted(job)) => return Ok(job),
            Ok(_) => return Err(Failure::unknown(Reason::Moved)),
            Err(told) if told.certainty == Certainty::Unknown => return Err(told),
            Err(told) => refusal = told,
        }
    }
    Err(refusal)
}

/// Says how far a job has come.
pub(crate) async fn status(
    shared: Arc<Shared>,
    request: Request<Incoming>,
    job: &str,
) -> Response<Body> {
    ask_about(&shared, &request, job, Command::Status).await
}

/// Cancels a job.
pub(crate) async fn cancel(
    shared: Arc<Shared>,
    request: Request<Incoming>,
    job: &str,
) -> Response<Body> {
    ask_about(&shared, &request, job, Command::Cancel).await
}

async fn ask_about(
    shared: &Shared,
    request: &Request<Incoming>,
    job: &str,
    command: fn(id::Job) -> Command,
) -> Response<Body> {
    let Ok(job) = id::Job::parse(job) else {
        return malformed("path: a job is written as SHARD.HEX");
    };
    match may_see(shared, request, &job).await {
        Ok(()) => {}
        Err(refusal) => return *refusal,
    }
    let home = job.home.clone();
    match ask(shared, &home, command(job), false).await {
        Ok(Reply::Status(status)) => {
            full(StatusCode::OK, serde_json::to_vec(&status).unwrap_or_default())
        }
        Ok(_) => failure(&Failure::unknown(Reason::Moved)),
        Err(told) => failure(&told),
    }
}

/// Lets a caller see a job only if it counts for the caller's team.
async fn may_see(
    shared: &Shared,
    request: &Request<Incoming>,
    job: &id::Job,
) -> Result<(), Box<Response<Body>>> {
    let patience = shared.arguments.key_patience;
    let caller = identify(request.headers(), None, &shared.rollout, patience)?;
    match ask(shared, &job.home, Command::Status(job.clone()), false).await {
        Ok(Reply::Status(status)) if status.team == caller.team => Ok(()),
        Ok(_) => Err(Box::new(unauthorized())),
        Err(told) => Err(Box::new(failure(&told))),
    }
}

/// Asks the owner of a shard. `changes` tells whether the call may have an effect.
pub(crate) async fn ask(
    shared: &Shared,
    shard: &id::Shard,
    command: Command,
    changes: bool,
) -> Result<Reply, Failure> {
    let Some(address) = shared.directory.snapshot().owner(shard) else {
        return Err(Failure::not_run(Reason::NoOwner));
    };
    let call = shared.pool.call::<Reply>(address, Lane::Traffic, &command);
    let lost = |reason| match changes {
        true => Failure::unknown(reason),
        false => Failure::not_run(reason),
    };
    match tokio::time::timeout(TIMEOUT, call).await {
        Ok(Ok(Reply::Failed(told))) => Err(told),
        Ok(Ok(reply)) => Ok(reply),
        Ok(Err(error)) if error.is_not_sent() => Err(Failure::not_run(Reason::NoOwner)),
        Ok(Err(_)) => Err(lost(Reason::Moved)),
        Err(_) => Err(lost(Reason::DeadlinePassed)),
    }
}
