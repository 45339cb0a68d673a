//! Confirms again and again that this process is still the owner.
//!
//! Writes of the log do so while there is something to write. Otherwise the owner reads its record. If
//! the store does not reply, it asks the other processes, which may reach the store or have become the
//! owner themselves.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use sycamore_types::Name;
use sycamore_wire::ConnectionKind;
use tokio::time::MissedTickBehavior;

use super::{EndReason, Shared};
use crate::clock::millis;
use crate::node::Node;
use crate::peer::{Command, Owner, OwnerStatus, Reply};
use crate::timing::{CONFIRM_INTERVAL, CONFIRM_TIMEOUT};

/// Interval of the log lines about an ownership that is not confirmed.
const LOG_INTERVAL: Duration = Duration::from_secs(2);

/// Most processes without a reply that a log line names.
const MAX_LOGGED_PROCESSES: usize = 10;

/// Most processes that read the owner record at a time. One that reaches the store is enough, and all
/// share the store's limit on reads.
const MAX_READERS: usize = 4;

/// What the other processes say about this owner.
#[derive(Debug)]
enum Answer {
    /// One of them has read the record of this owner.
    Confirmed,
    /// One of them knows a newer owner.
    Superseded(Owner),
    /// None of them is or knows a newer owner, and the store has told none.
    Unopposed,
    /// These have not replied, and may have become the owner.
    Silent(Vec<Name>),
}

/// Confirms the ownership until another process is known to be the owner.
pub(super) async fn run(node: &Arc<Node>, shared: &Shared, epoch: u64) -> EndReason {
    let mut interval = tokio::time::interval(CONFIRM_INTERVAL);
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut last_log: Option<Instant> = None;
    let mut round = 0;
    loop {
        interval.tick().await;
        round += 1;
        let age = shared.confirmation.age();
        if age < CONFIRM_INTERVAL {
            if last_log.take().is_some() {
                log::info!(target: "lead", epoch; "ownership is confirmed again");
            }
            continue;
        }
        let by_store = shared.confirm(&node.store);
        // One failed read is no reason to bother the others.
        let is_overdue = age >= 2 * CONFIRM_INTERVAL;
        let by_peers = async {
            if is_overdue { Some(ask_peers(node, shared, epoch, round).await) } else { None }
        };
        let (by_store, by_peers) = tokio::join!(by_store, by_peers);
        if matches!(by_store, Ok(false)) {
            return EndReason::Deposed;
        }
        let store = if by_store.is_ok() { "confirmed" } else { "failed" };
        node.meters.confirmations.with_label_values(&["store", store]).inc();
        let Some((asked_ms, answer)) = by_peers else { continue };
        let outcome = match &answer {
            Answer::Confirmed => {
                shared.confirmation.record(asked_ms);
                "confirmed"
            }
            Answer::Superseded(owner) => {
                log::info!(
                    target: "lead", epoch, newer = owner.epoch, owner:% = owner.host;
                    "a peer knows a newer owner"
                );
                node.ownership.record_owner(owner);
                return EndReason::Deposed;
            }
            Answer::Unopposed if shared.confirmation.extend(asked_ms, node.settings.lease_ms) => {
                "unopposed"
            }
            Answer::Unopposed => "too_late",
            Answer::Silent(_) => "silent",
        };
        node.meters.confirmations.with_label_values(&["peers", outcome]).inc();
        let is_confirmed = by_store.is_ok() || matches!(outcome, "confirmed" | "unopposed");
        if !is_confirmed && last_log.is_none_or(|at| at.elapsed() >= LOG_INTERVAL) {
            last_log = Some(Instant::now());
            log_unconfirmed(shared, epoch, outcome, &answer);
        }
    }
}

fn log_unconfirmed(shared: &Shared, epoch: u64, outcome: &str, answer: &Answer) {
    let silent: &[Name] = if let Answer::Silent(silent) = answer { silent } else { &[] };
    let named: Vec<&str> = silent.iter().take(MAX_LOGGED_PROCESSES).map(|name| &**name).collect();
    log::warn!(
        target: "lead", epoch, confirmed_ms_ago = millis(shared.confirmation.age()), outcome,
        silent = named.join(" "), total = silent.len();
        "ownership is not confirmed; leases end with the last confirmation"
    );
}

/// Asks all other processes whether one of them is or knows a newer owner, some of which also read the
/// owner record. `round` selects these. Returns the time that the answer is about, too.
async fn ask_peers(node: &Arc<Node>, shared: &Shared, epoch: u64, round: usize) -> (u64, Answer) {
    let asked_ms = shared.confirmation.begin();
    let members = node.members();
    // The ownership can't rest on the consent of nobody.
    if members.is_empty() {
        return (asked_ms, Answer::Silent(Vec::new()));
    }
    let first_reader = round.wrapping_mul(MAX_READERS) % members.len();
    let mut silent: BTreeSet<Name> = members.iter().map(|(name, _)| name.clone()).collect();
    let mut calls: FuturesUnordered<_> = members
        .iter()
        .enumerate()
        .map(|(at, (name, address))| {
            let place = (at + members.len() - first_reader) % members.len();
            async move { (name, ask(node, *address, epoch, place < MAX_READERS).await) }
        })
        .collect();
    while let Some((name, status)) = calls.next().await {
        match status {
            Some(OwnerStatus::Superseded(owner)) => return (asked_ms, Answer::Superseded(owner)),
            Some(OwnerStatus::Confirmed) => return (asked_ms, Answer::Confirmed),
            Some(OwnerStatus::Unopposed) => {
                silent.remove(name);
            }
            None => {}
        }
    }
    let silent: Vec<Name> = silent.into_iter().collect();
    let answer = if silent.is_empty() { Answer::Unopposed } else { Answer::Silent(silent) };
    (asked_ms, answer)
}

/// Asks one process. Earlier versions don't know the call, and count as silent.
async fn ask(
    node: &Arc<Node>,
    address: SocketAddr,
    epoch: u64,
    may_read: bool,
) -> Option<OwnerStatus> {
    let (kind, command) = (ConnectionKind::Control, Command::ConfirmOwner { epoch, may_read });
    match node.pool.call_within(address, kind, &command, CONFIRM_TIMEOUT).await {
        Ok(Reply::OwnerStatus(status)) => Some(status),
        _ => None,
    }
}
