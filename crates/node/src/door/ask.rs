use std::sync::Arc;
use std::time::Instant;

use sycamore_wire::{Lane, Pool};

use crate::node::Node;
use crate::ownership::CurrentOwner;
use crate::peer::{CallerRequest, Command, Reply, RequestOutcome};
use crate::timing::{ASK_RETRY, ASK_TIMEOUT};

/// Gets the owner's answer to a request, through changes of the owner.
///
/// Repeating is safe: jobs are known by their name, and the rest only reads or can be
/// done twice.
pub(super) async fn ask_owner(
    node: &Arc<Node>,
    ask: CallerRequest,
    until: Instant,
) -> RequestOutcome {
    let mut last = RequestOutcome::NotOwner;
    loop {
        // The process may have been told to stop meanwhile.
        let until = node.answer_by(until);
        let verdict = attempt(node, &ask, until).await;
        match verdict {
            RequestOutcome::NotOwner
                if node.ownership.is_detached() && last == RequestOutcome::NotOwner =>
            {
                return RequestOutcome::Detached;
            }
            RequestOutcome::NotOwner => {}
            RequestOutcome::Unknown => last = RequestOutcome::Unknown,
            // An earlier attempt may have been kept; the owner that says so is replaced,
            // or the store comes back, often within the caller's deadline.
            RequestOutcome::StoreAway if last == RequestOutcome::Unknown => {}
            other => return other,
        }
        if Instant::now() + ASK_RETRY >= until {
            return last;
        }
        tokio::time::sleep(ASK_RETRY).await;
    }
}

async fn attempt(node: &Arc<Node>, ask: &CallerRequest, until: Instant) -> RequestOutcome {
    let rest = until.saturating_duration_since(Instant::now());
    match node.ownership.current() {
        CurrentOwner::Recovering { .. } | CurrentOwner::Unknown => RequestOutcome::NotOwner,
        CurrentOwner::Local(handle) => {
            let answer = handle.ask(ask.clone());
            tokio::time::timeout(rest.min(ASK_TIMEOUT), answer)
                .await
                .unwrap_or(RequestOutcome::Unknown)
        }
        // What is not sent has certainly not run.
        CurrentOwner::Peer { .. } if node.ownership.is_silent() => RequestOutcome::NotOwner,
        CurrentOwner::Peer { address } => {
            let command = Command::Ask(ask.clone());
            let call = call(&node.pool, address, &command);
            tokio::time::timeout(rest.min(ASK_TIMEOUT), call)
                .await
                .unwrap_or(RequestOutcome::Unknown)
        }
    }
}

async fn call(pool: &Pool, address: std::net::SocketAddr, command: &Command) -> RequestOutcome {
    match pool.call::<Reply>(address, Lane::Traffic, command).await {
        Ok(Reply::Verdict(verdict)) => verdict,
        Ok(_) => RequestOutcome::Unknown,
        Err(error) if error.is_not_sent() => RequestOutcome::NotOwner,
        Err(error) => {
            log::debug!("owner at {address}: {error}");
            RequestOutcome::Unknown
        }
    }
}
