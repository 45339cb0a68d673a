//! Forwards callers' requests to the owner, and retries while ownership moves.

use std::sync::Arc;
use std::time::{Duration, Instant};

use sycamore_wire::{ConnectionKind, Pool};

use crate::node::Node;
use crate::ownership::CurrentOwner;
use crate::peer::{CallerRequest, Command, Reply, RequestOutcome};
use crate::timing::{OWNER_REQUEST_RETRY_DELAY, OWNER_REQUEST_TIMEOUT};

/// Returns the owner's answer to a request. Retries until the deadline while there is no
/// owner or the owner changes.
///
/// Retries are safe: a job is identified by its name, and the other requests only read or
/// are idempotent.
pub(super) async fn forward_to_owner(
    node: &Arc<Node>,
    request: CallerRequest,
    deadline: Instant,
) -> RequestOutcome {
    let mut last = RequestOutcome::NotOwner;
    loop {
        // A stop of the process may have shortened the deadline since the last attempt.
        let deadline = node.cap_deadline(deadline);
        let outcome = attempt(node, &request, deadline).await;
        match outcome {
            RequestOutcome::NotOwner
                if node.ownership.is_detached() && last == RequestOutcome::NotOwner =>
            {
                return RequestOutcome::Detached;
            }
            RequestOutcome::NotOwner => {}
            RequestOutcome::Unknown => last = RequestOutcome::Unknown,
            // An earlier attempt may have been logged, so that a refusal would be wrong. The
            // store recovers or the owner is replaced, often before the deadline.
            RequestOutcome::StoreAway | RequestOutcome::Overloaded | RequestOutcome::NoMemory
                if last == RequestOutcome::Unknown => {}
            other => return other,
        }
        if Instant::now() + OWNER_REQUEST_RETRY_DELAY >= deadline {
            return last;
        }
        tokio::time::sleep(OWNER_REQUEST_RETRY_DELAY).await;
    }
}

async fn attempt(node: &Arc<Node>, request: &CallerRequest, deadline: Instant) -> RequestOutcome {
    let remaining = deadline.saturating_duration_since(Instant::now());
    // Without time to wait for an answer, a request that is not sent has certainly not run.
    if remaining.is_zero() {
        return RequestOutcome::NotOwner;
    }
    match node.ownership.current() {
        CurrentOwner::Recovering { .. } | CurrentOwner::Unknown => RequestOutcome::NotOwner,
        CurrentOwner::Local(handle) => {
            let answer = handle.ask(request.clone(), node);
            tokio::time::timeout(remaining.min(OWNER_REQUEST_TIMEOUT), answer)
                .await
                .unwrap_or(RequestOutcome::Unknown)
        }
        // The owner misses pings. A request that is not sent has certainly not run.
        CurrentOwner::Peer { .. } if node.ownership.is_owner_overdue(node.patience()) => {
            RequestOutcome::NotOwner
        }
        CurrentOwner::Peer { address } => {
            let command = Command::CallerRequest(request.clone());
            call(&node.pool, address, &command, remaining.min(OWNER_REQUEST_TIMEOUT)).await
        }
    }
}

async fn call(
    pool: &Pool,
    address: std::net::SocketAddr,
    command: &Command,
    timeout: Duration,
) -> RequestOutcome {
    match pool.call_within::<Reply>(address, ConnectionKind::Traffic, command, timeout).await {
        Ok(Reply::Outcome(outcome)) => outcome,
        Ok(_) => RequestOutcome::Unknown,
        Err(error) if error.is_not_sent() => RequestOutcome::NotOwner,
        Err(error) => {
            log::debug!("request to the owner at {address} failed: {error}");
            RequestOutcome::Unknown
        }
    }
}
