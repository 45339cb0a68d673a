//! Follows the owner with pings and takes over when it fails.
//!
//! A process takes over only after it has read the owner record, and wins only by a
//! compare-and-swap of it. A wrong suspicion therefore costs a short pause, never two owners
//! with one epoch.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::Rng;
use sycamore_platform::site::StoreError;
use sycamore_wire::ConnectionKind;

use super::{CurrentOwner, OwnerRecord};
use crate::backoff::Backoff;
use crate::node::Node;
use crate::owner;
use crate::peer::{Command, Owner, Ping, Pong, Reply, Role};
use crate::timing::{
    CLAIM_JITTER, OWNER_MIN_CORES, OWNER_MIN_LINK_MBPS, OWNER_STRENGTH_CHECK_DELAY, PING_INTERVAL,
    STORE_RETRY, STORE_RETRY_MAX, WEAK_HOST_CLAIM_DELAY,
};

/// Consecutive replies of an owner that can't reach the store after which a process that can
/// takes over.
const MAX_PINGS_WITHOUT_STORE: u32 = 2;

/// Delay before the next ping after a refused connection. The process at the owner's address
/// is probably gone, and one more attempt rules out a transient failure.
const REFUSED_RETRY_DELAY: Duration = Duration::from_millis(60);

/// Refused pings since the owner's last reply after which it is presumed dead. A reply of a
/// process that is not this owner counts as a refusal.
const MAX_CONSECUTIVE_REFUSALS: u32 = 2;

/// Most peers asked whether they still hear from the owner before a takeover.
const MAX_QUERIED_PEERS: usize = 4;

/// What a process that followed an owner does next.
enum Next {
    /// Take over from the owner, for the reason given.
    TakeOver(&'static str),
    /// Read the owner record again.
    ReadRecord,
    /// Follow a newer owner that peers have reported.
    Follow(Owner),
}

/// Follows the owner until the process exits, and takes over when the owner fails. A
/// stopping process keeps following, because it still forwards its remaining requests.
pub(crate) async fn follow(node: Arc<Node>) {
    let mut backoff = Backoff::new(STORE_RETRY, STORE_RETRY_MAX);
    loop {
        let read_ms = node.clock.uptime_ms();
        match OwnerRecord::read(&node.store).await {
            Ok((record, rev)) => {
                node.ownership.set_detached(false);
                backoff.reset();
                handle_record(&node, record, rev, read_ms).await;
            }
            Err(error) => {
                log::debug!("can't read the owner record: {error}");
                // Peers may know the owner while the store is unavailable.
                match query_peers(&node).await {
                    Some(owner) => follow_peer_owner(&node, owner).await,
                    None => backoff.pause().await,
                }
            }
        }
    }
}

/// Acts on the owner record, which was read by a call sent at `read_ms` of the host's uptime.
async fn handle_record(node: &Arc<Node>, record: Option<OwnerRecord>, rev: u64, read_ms: u64) {
    let Some(record) = record else {
        take_over(node, None, rev, "first").await;
        return;
    };
    node.ownership.record_owner(&record.owner());
    if record.is_vacant {
        take_over(node, Some(record), rev, "vacant").await;
    } else if record.nonce == node.nonce {
        // An earlier claim of this process succeeded, but its reply was lost.
        owner::run(node, record, rev, read_ms).await;
    } else if record.host == node.settings.host {
        take_over(node, Some(record), rev, "restarted").await;
    } else {
        match watch_owner(node, &record.owner()).await {
            Next::TakeOver(why) => take_over(node, Some(record), rev, why).await,
            Next::Follow(owner) => follow_peer_owner(node, owner).await,
            Next::ReadRecord => {}
        }
    }
}

/// Follows an owner reported by peers, and the owners that replace it.
async fn follow_peer_owner(node: &Arc<Node>, mut owner: Owner) {
    loop {
        match watch_owner(node, &owner).await {
            Next::Follow(newer) => owner = newer,
            Next::ReadRecord => return,
            Next::TakeOver(why) => {
                replace_owner(node, &owner, why).await;
                return;
            }
        }
    }
}

/// Takes over from an owner if the owner record still names it.
async fn replace_owner(node: &Arc<Node>, owner: &Owner, why: &str) {
    match OwnerRecord::read(&node.store).await {
        Ok((Some(record), rev)) if record.owner() == *owner && !record.is_vacant => {
            take_over(node, Some(record), rev, why).await;
        }
        Ok(_) => {}
        Err(error) => log::debug!("can't read the owner record: {error}"),
    }
}

/// Pings the owner until it fails or is replaced.
async fn watch_owner(node: &Arc<Node>, owner: &Owner) -> Next {
    node.ownership.record_owner(owner);
    node.meters.epoch.set(owner.epoch as i64);
    node.ownership.set_current(CurrentOwner::Peer { address: owner.address });
    log::info!(target: "lead", owner:% = owner.host, epoch = owner.epoch; "following");
    let followed_since = Instant::now();
    let mut is_strength_known = is_weak(node);
    let mut last_pong = Instant::now();
    let mut refusals = 0;
    let mut pings_without_store = 0;
    loop {
        if let Some(newer) = node.ownership.newest_owner().filter(|known| known.epoch > owner.epoch)
        {
            return if newer.host == node.settings.host {
                Next::ReadRecord
            } else {
                Next::Follow(newer)
            };
        }
        match ping(node, owner.address).await {
            Ok(pong) => match pong.role {
                Role::Owner { epoch } if epoch == owner.epoch => {
                    last_pong = Instant::now();
                    refusals = 0;
                    node.record_members(&pong.peers);
                    node.ownership.record_pong(pong.peers);
                    node.configs.on_peer_version(&node.pool, owner.address, pong.config_version);
                    if pong.is_leaving
                        && !node.is_stopping()
                        && let Some(next) = check_record(node, owner, "owner stops").await
                    {
                        return next;
                    }
                    if !is_strength_known
                        && !node.is_stopping()
                        && followed_since.elapsed() >= OWNER_STRENGTH_CHECK_DELAY
                        && let Ok((record, _)) = OwnerRecord::read(&node.store).await
                    {
                        is_strength_known = true;
                        if record.is_some_and(|now| now.owner() == *owner && now.is_weak) {
                            return Next::TakeOver("weak owner");
                        }
                    }
                    let owner_lost_store =
                        !pong.is_store_reachable && node.configs.is_store_steady();
                    pings_without_store =
                        if owner_lost_store { pings_without_store + 1 } else { 0 };
                    // Only a reply of the store proves that this process can reach it.
                    if pings_without_store >= MAX_PINGS_WITHOUT_STORE {
                        pings_without_store = 0;
                        if let Some(next) = check_record(node, owner, "owner without store").await {
                            return next;
                        }
                    }
                }
                // The process has resigned, or has restarted and is no longer the owner.
                _ => refusals += 1,
            },
            Err(is_refused) => refusals += u32::from(is_refused),
        }
        let why = if last_pong.elapsed() > node.patience().silence {
            Some("silent")
        } else if refusals >= MAX_CONSECUTIVE_REFUSALS {
            Some("refuses connections")
        } else {
            None
        };
        if let Some(why) = why {
            match query_peers(node).await {
                Some(newer) if newer.epoch > owner.epoch => return Next::Follow(newer),
                Some(_) => {}
                None => {
                    if let Some(next) = check_record(node, owner, why).await {
                        return next;
                    }
                }
            }
        }
        tokio::time::sleep(if refusals == 0 { PING_INTERVAL } else { REFUSED_RETRY_DELAY }).await;
    }
}

/// Reads the owner record before a takeover, since another process may have become the
/// owner already. Returns `None` if the store does not reply, as no takeover is possible
/// without it.
async fn check_record(node: &Arc<Node>, owner: &Owner, why: &'static str) -> Option<Next> {
    match OwnerRecord::read(&node.store).await {
        Ok((Some(now), _)) if now.owner() == *owner && !now.is_vacant => Some(Next::TakeOver(why)),
        Ok(_) => Some(Next::ReadRecord),
        Err(StoreError::Refused(_)) => None,
        Err(error) => {
            log::debug!("can't read the owner record: {error}");
            if node.ownership.is_owner_overdue(node.patience()) {
                node.ownership.set_detached(true);
            }
            None
        }
    }
}

/// Asks other processes which owner they hear from. Returns the one with the highest epoch.
async fn query_peers(node: &Arc<Node>) -> Option<Owner> {
    let known = node.ownership.newest_owner();
    let mut addresses: Vec<SocketAddr> =
        node.ownership.peers().into_iter().map(|(_, address)| address).collect();
    addresses.extend(node.seeds());
    let own_address = node.settings.peers;
    let suspect_address = known.map(|owner| owner.address);
    addresses.retain(|address| *address != own_address && Some(*address) != suspect_address);
    let timeout = node.patience().peer_query;
    let calls = addresses.into_iter().take(MAX_QUERIED_PEERS).map(|address| {
        let node = node.clone();
        async move {
            let (kind, query) = (ConnectionKind::Control, Command::QueryOwner);
            match node.pool.call_within(address, kind, &query, timeout).await {
                Ok(Reply::Owner(owner)) => owner,
                _ => None,
            }
        }
    });
    futures::future::join_all(calls).await.into_iter().flatten().max_by_key(|owner| owner.epoch)
}

/// Pings the process at an address.
///
/// # Errors
///
/// Returns `true` if the call failed, and `false` if its reply timed out or was unexpected.
async fn ping(node: &Arc<Node>, address: SocketAddr) -> Result<Pong, bool> {
    let ping = Command::Ping(Ping {
        host: node.settings.host.clone(),
        address: node.settings.peers,
        config_version: node.configs.version(),
        owner: node.ownership.newest_owner(),
    });
    let timeout = node.patience().ping;
    match node.pool.call_within(address, ConnectionKind::Control, &ping, timeout).await {
        Ok(Reply::Pong(pong)) => {
            if let Some(owner) = &pong.owner {
                node.ownership.record_owner(owner);
            }
            Ok(pong)
        }
        Ok(_) | Err(sycamore_wire::Error::Stalled(_)) => Err(false),
        Err(error) => {
            log::debug!("ping of {address} failed: {error}");
            Err(true)
        }
    }
}

/// Notifies the previous owner, which may be unable to reach the store, that it was
/// replaced. The ping carries the new owner.
fn notify_previous_owner(node: &Arc<Node>, address: SocketAddr) {
    let node = node.clone();
    tokio::spawn(async move {
        if ping(&node, address).await.is_err() {
            log::debug!("can't notify the previous owner at {address} that it was replaced");
        }
    });
}

/// Returns whether this host lacks the CPU or bandwidth that the owner's calls need.
fn is_weak(node: &Arc<Node>) -> bool {
    let settings = &node.settings;
    settings.cores < OWNER_MIN_CORES || settings.link_mbps < OWNER_MIN_LINK_MBPS
}

/// Returns the delay that lets stronger hosts claim first.
fn claim_delay(node: &Arc<Node>) -> Duration {
    if is_weak(node) { WEAK_HOST_CLAIM_DELAY } else { Duration::ZERO }
}

/// Claims ownership and, if the claim wins, runs as the owner until ownership is lost.
async fn take_over(node: &Arc<Node>, record: Option<OwnerRecord>, rev: u64, why: &str) {
    let jitter = rand::rng().random_range(Duration::ZERO..CLAIM_JITTER);
    tokio::time::sleep(jitter + claim_delay(node)).await;
    if node.is_stopping() {
        // Another process takes over; this one waits before it reads the record again.
        tokio::time::sleep(PING_INTERVAL).await;
        return;
    }
    let epoch = record.as_ref().map_or(0, |record| record.epoch) + 1;
    // A record that can't be used names no host.
    let previous = record.map(|record| record.owner()).filter(|owner| !owner.host.is_empty());
    let own = OwnerRecord {
        epoch,
        host: node.settings.host.clone(),
        address: node.settings.peers,
        nonce: node.nonce,
        is_vacant: false,
        is_weak: is_weak(node),
    };
    let claimed_ms = node.clock.uptime_ms();
    match own.write(&node.store, rev).await {
        Ok(rev) => {
            node.meters.claims.with_label_values(&[why, "won"]).inc();
            log::info!(target: "lead", epoch, why; "claimed ownership");
            node.ownership.record_owner(&own.owner());
            if let Some(previous) = previous.filter(|previous| previous.address != own.address) {
                notify_previous_owner(node, previous.address);
                node.record_members(&[(previous.host, previous.address)]);
            }
            owner::run(node, own, rev, claimed_ms).await;
        }
        Err(error) => {
            node.meters.claims.with_label_values(&[why, "not won"]).inc();
            log::info!(target: "lead", epoch, why, error:%; "can't claim ownership");
            tokio::time::sleep(STORE_RETRY).await;
        }
    }
}
