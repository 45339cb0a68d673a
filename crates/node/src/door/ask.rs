use std::sync::Arc;
use std::time::Instant;

use sycamore_wire::{Lane, Pool};

use crate::lead::Leader;
use crate::node::Node;
use crate::peer::{Ask, Command, Reply, Verdict};
use crate::timing::{ASK_RETRY, ASK_TIMEOUT};

/// Gets the owner's answer to a request, through changes of the owner.
///
/// Repeating is safe: jobs are known by their name, and the rest only reads or can be
/// done twice.
pub(super) async fn ask_owner(node: &Arc<Node>, ask: Ask, until: Instant) -> Verdict {
    let mut last = Verdict::NotOwner;
    loop {
        // The process may have been told to stop meanwhile.
        let until = node.answer_by(until);
        let verdict = attempt(node, &ask, until).await;
        match verdict {
            Verdict::NotOwner if node.lead.is_detached() && last == Verdict::NotOwner => {
                return Verdict::Detached;
            }
            Verdict::NotOwner => {}
            Verdict::Unknown => last = Verdict::Unknown,
            // An earlier attempt may have been kept; the owner that says so is replaced,
            // or the store comes back, often within the caller's deadline.
            Verdict::StoreAway if last == Verdict::Unknown => {}
            other => return other,
        }
        if Instant::now() + ASK_RETRY >= until {
            return last;
        }
        tokio::time::sleep(ASK_RETRY).await;
    }
}

async fn attempt(node: &Arc<Node>, ask: &Ask, until: Instant) -> Verdict {
    let rest = until.saturating_duration_since(Instant::now());
    match node.lead.leader() {
        Leader::Beginning { .. } | Leader::Unknown => Verdict::NotOwner,
        Leader::Here(handle) => {
            let answer = handle.ask(ask.clone());
            tokio::time::timeout(rest.min(ASK_TIMEOUT), answer).await.unwrap_or(Verdict::Unknown)
        }
        // What is not sent has certainly not run.
        Leader::Peer { .. } if node.lead.is_silent() => Verdict::NotOwner,
        Leader::Peer { address } => {
            let command = Command::Ask(ask.clone());
            let call = call(&node.pool, address, &command);
            tokio::time::timeout(rest.min(ASK_TIMEOUT), call).await.unwrap_or(Verdict::Unknown)
        }
    }
}

async fn call(pool: &Pool, address: std::net::SocketAddr, command: &Command) -> Verdict {
    match pool.call::<Reply>(address, Lane::Traffic, command).await {
        Ok(Reply::Verdict(verdict)) => verdict,
        Ok(_) => Verdict::Unknown,
        Err(error) if error.is_not_sent() => Verdict::NotOwner,
        Err(error) => {
            log::debug!("owner at {address}: {error}");
            Verdict::Unknown
        }
    }
}
