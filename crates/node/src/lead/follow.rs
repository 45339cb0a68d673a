use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::Rng;
use sycamore_wire::Lane;

use super::{Claim, Leader};
use crate::backoff::Backoff;
use crate::node::Node;
use crate::owner;
use crate::peer::{Command, Ping, Pong, Reply, Role};
use crate::timing::{
    CLAIM_JITTER, OWNER_SILENCE, PING_EVERY, PING_TIMEOUT, STORE_RETRY, STORE_RETRY_MAX,
};

/// Pings without the store behind the owner after which a process that has it takes over.
const STORE_LOST_PINGS: u32 = 2;

/// Pause after a refused connection: the process at the owner's address is gone, and
/// one more try tells whether that was all.
const REFUSED_PAUSE: Duration = Duration::from_millis(60);

/// Most peers asked whether they hear the owner before a takeover.
const WITNESSES: usize = 2;

/// Longest wait for a witness.
const WITNESS_TIMEOUT: Duration = Duration::from_millis(150);

/// Follows the owner for as long as the process lives, and takes over when it is lost.
/// A process that stops follows on, for the requests that it still has.
pub(crate) async fn follow(node: Arc<Node>) {
    let mut backoff = Backoff::new(STORE_RETRY, STORE_RETRY_MAX);
    loop {
        let (claim, rev) = match Claim::read(&node.store).await {
            Ok(found) => found,
            Err(error) => {
                log::debug!("owner record not read: {error}");
                backoff.pause().await;
                continue;
            }
        };
        backoff.reset();
        match claim {
            None => take_over(&node, None, rev, "first").await,
            Some(claim) if claim.is_vacant => take_over(&node, Some(claim), rev, "vacant").await,
            Some(claim) if claim.nonce == node.nonce => {
                // A claim whose answer was lost has succeeded.
                owner::own(&node, claim, rev).await;
            }
            Some(claim) => {
                let why = watch_owner(&node, &claim).await;
                if let Some(why) = why {
                    take_over(&node, Some(claim), rev, why).await;
                }
            }
        }
    }
}

/// Pings the owner until it is lost. Returns why it should be replaced, or `None` when
/// the record must be read again first.
async fn watch_owner(node: &Arc<Node>, claim: &Claim) -> Option<&'static str> {
    node.lead.set(Leader::Peer { address: claim.address }, claim.epoch);
    log::info!("following owner={} epoch={}", claim.host, claim.epoch);
    let mut heard = Instant::now();
    let mut refusals = 0;
    let mut without_store = 0;
    loop {
        match ping(node, claim.address).await {
            Ok(pong) => match pong.role {
                Role::Owner { epoch } if epoch == claim.epoch => {
                    heard = Instant::now();
                    refusals = 0;
                    node.lead.note_heard(pong.peers);
                    catch_up(node, claim.address, pong.config_version);
                    let is_lost = !pong.store_is_near && node.configs.store_is_near();
                    without_store = if is_lost { without_store + 1 } else { 0 };
                    // Only the store's own answer tells that this process has it.
                    if without_store >= STORE_LOST_PINGS {
                        without_store = 0;
                        match Claim::read(&node.store).await {
                            Ok((Some(now), _)) if now == *claim => {
                                return Some("owner without store");
                            }
                            Ok(_) => return None,
                            Err(error) => log::debug!("owner record not read: {error}"),
                        }
                    }
                }
                // It begins, has resigned, or is another incarnation.
                _ => {
                    refusals += 1;
                    if heard.elapsed() > OWNER_SILENCE {
                        return Some("not owning");
                    }
                }
            },
            Err(is_refused) => refusals += u32::from(is_refused),
        }
        let silence = heard.elapsed();
        if silence > OWNER_SILENCE && !others_hear(node, claim).await {
            return Some("silent");
        }
        if refusals >= 2 {
            // Read the record first: another may own already.
            match Claim::read(&node.store).await {
                Ok((Some(now), _)) if now.epoch == claim.epoch && !now.is_vacant => {
                    if !others_hear(node, claim).await {
                        return Some("refuses connections");
                    }
                }
                Ok(_) => return None,
                Err(error) => log::debug!("owner record not read: {error}"),
            }
        }
        tokio::time::sleep(if refusals == 0 { PING_EVERY } else { REFUSED_PAUSE }).await;
    }
}

/// Asks other processes whether they hear the owner.
async fn others_hear(node: &Arc<Node>, claim: &Claim) -> bool {
    let peers = node.lead.peers();
    let others =
        peers.iter().filter(|(name, _)| *name != node.settings.host && *name != claim.host);
    for (_, address) in others.take(WITNESSES) {
        let asked = node.pool.call::<Reply>(*address, Lane::Control, &Command::Heard);
        if let Ok(Ok(Reply::Heard(Some(epoch)))) =
            tokio::time::timeout(WITNESS_TIMEOUT, asked).await
            && epoch >= claim.epoch
        {
            return true;
        }
    }
    false
}

/// Fails with whether the connection was refused.
async fn ping(node: &Arc<Node>, address: SocketAddr) -> Result<Pong, bool> {
    let ping = Command::Ping(Ping {
        host: node.settings.host.clone(),
        address: node.settings.peers,
        config_version: node.configs.version(),
        epoch: node.lead.epoch(),
    });
    let call = node.pool.call::<Reply>(address, Lane::Control, &ping);
    match tokio::time::timeout(PING_TIMEOUT, call).await {
        Ok(Ok(Reply::Pong(pong))) => Ok(pong),
        Ok(Ok(_)) => Err(false),
        Ok(Err(error)) => {
            log::debug!("ping of {address}: {error}");
            Err(true)
        }
        Err(_) => Err(false),
    }
}

/// Fetches a newer configuration from a peer.
pub(crate) fn catch_up(node: &Arc<Node>, address: SocketAddr, version: u64) {
    if version <= node.configs.version() {
        return;
    }
    let node = node.clone();
    tokio::spawn(async move {
        let call = node.pool.call::<Reply>(address, Lane::Control, &Command::Config);
        if let Ok(Ok(Reply::Config(Some(source)))) = tokio::time::timeout(PING_TIMEOUT, call).await
        {
            node.configs.offer(source, "peer");
        }
    });
}

/// Tells the owner before, which may not reach the store, that it was replaced.
fn depose(node: &Arc<Node>, address: SocketAddr, epoch: u64) {
    let node = node.clone();
    tokio::spawn(async move {
        let ping = Command::Ping(Ping {
            host: node.settings.host.clone(),
            address: node.settings.peers,
            config_version: node.configs.version(),
            epoch,
        });
        let call = node.pool.call::<Reply>(address, Lane::Control, &ping);
        if !matches!(tokio::time::timeout(PING_TIMEOUT, call).await, Ok(Ok(_))) {
            log::debug!("owner before at {address} not told of epoch {epoch}");
        }
    });
}

/// Claims the workers and, with the claim won, owns them until it is lost.
async fn take_over(node: &Arc<Node>, claim: Option<Claim>, rev: u64, why: &str) {
    let jitter = rand::rng().random_range(Duration::ZERO..CLAIM_JITTER);
    tokio::time::sleep(jitter).await;
    if node.is_stopping() {
        // Others take over; this process only waits to follow.
        tokio::time::sleep(PING_EVERY).await;
        return;
    }
    let before = claim.as_ref().map(|claim| claim.address);
    let epoch = claim.map_or(0, |claim| claim.epoch) + 1;
    let own = Claim {
        epoch,
        host: node.settings.host.clone(),
        address: node.settings.peers,
        nonce: node.nonce,
        is_vacant: false,
    };
    match own.write(&node.store, rev).await {
        Ok(rev) => {
            log::info!("takeover epoch={epoch} why=\"{why}\"");
            if let Some(address) = before {
                depose(node, address, epoch);
            }
            owner::own(node, own, rev).await;
        }
        Err(error) => {
            log::info!("takeover epoch={epoch} why=\"{why}\" not won: {error}");
            tokio::time::sleep(STORE_RETRY).await;
        }
    }
}
