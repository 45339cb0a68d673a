//! Determines which process is the owner: follows the current one, detects its failure and
//! takes over from it. The owner record in the store is authoritative. Reports of peers are
//! hints that save store calls and help while the store is unavailable.

mod follow;
mod owner_record;
mod patience;
#[cfg(test)]
mod tests;

use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Instant;

pub(crate) use follow::follow;
pub(crate) use owner_record::{OWNER_KEY, OwnerRecord};
pub(crate) use patience::Patience;

use sycamore_types::Name;

use crate::owner::Handle;
use crate::peer::Owner;
use crate::timing::OWNER_TIMEOUT;

/// The current owner, as far as this process knows.
#[derive(Clone, Debug, Default)]
pub(crate) enum CurrentOwner {
    #[default]
    Unknown,
    /// Another process.
    Peer { address: SocketAddr },
    /// This process, which is still reading the log and can't answer requests yet.
    Recovering { epoch: u64 },
    /// This process.
    Local(Handle),
}

#[derive(Debug, Default)]
struct State {
    current: CurrentOwner,
    /// Owner with the highest epoch known, from the store or from peers.
    newest_owner: Option<Owner>,
    /// Time of the owner's last reply to a ping.
    last_pong: Option<Instant>,
    /// Neither the owner nor the store nor any peer can be reached.
    is_detached: bool,
    /// Processes that the owner has last reported.
    peers: Vec<(Name, SocketAddr)>,
}

/// What this process knows of the owner.
#[derive(Debug, Default)]
pub(crate) struct Ownership {
    state: Mutex<State>,
}

impl Ownership {
    fn with<T>(&self, act: impl FnOnce(&mut State) -> T) -> T {
        let mut state = self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        act(&mut state)
    }

    pub fn current(&self) -> CurrentOwner {
        self.with(|state| state.current.clone())
    }

    pub fn newest_owner(&self) -> Option<Owner> {
        self.with(|state| state.newest_owner.clone())
    }

    pub fn set_current(&self, current: CurrentOwner) {
        self.with(|state| state.current = current);
    }

    /// Records an owner unless one with the same or a higher epoch is known.
    pub fn record_owner(&self, owner: &Owner) {
        self.with(|state| {
            if state.newest_owner.as_ref().is_none_or(|known| known.epoch < owner.epoch) {
                state.newest_owner = Some(owner.clone());
            }
        });
    }

    /// Records that the owner has replied to a ping, and which processes it knows.
    pub fn record_pong(&self, peers: Vec<(Name, SocketAddr)>) {
        self.with(|state| {
            state.last_pong = Some(Instant::now());
            state.is_detached = false;
            if !peers.is_empty() {
                state.peers = peers;
            }
        });
    }

    /// Records whether this process can reach nobody that could serve a request.
    pub fn set_detached(&self, is_detached: bool) {
        let was = self.with(|state| std::mem::replace(&mut state.is_detached, is_detached));
        if was != is_detached {
            log::warn!(target: "lead", is_detached; "detached state of the host changed");
        }
    }

    pub fn is_detached(&self) -> bool {
        self.with(|state| state.is_detached)
    }

    /// Returns the owner if it has replied to a ping recently or is this process.
    pub fn recently_heard_owner(&self) -> Option<Owner> {
        self.with(|state| {
            let is_recent = state.last_pong.is_some_and(|at| at.elapsed() < OWNER_TIMEOUT / 2);
            let is_local =
                matches!(state.current, CurrentOwner::Local(_) | CurrentOwner::Recovering { .. });
            state.newest_owner.clone().filter(|_| is_recent || is_local)
        })
    }

    /// Returns whether the owner has missed pings.
    pub fn is_owner_overdue(&self, patience: Patience) -> bool {
        self.time_since_pong().is_some_and(|silence| silence > patience.overdue)
    }

    /// Returns the time since the owner's last reply to a ping, `None` before the first.
    pub fn time_since_pong(&self) -> Option<std::time::Duration> {
        self.with(|state| state.last_pong.map(|at| at.elapsed()))
    }

    pub fn peers(&self) -> Vec<(Name, SocketAddr)> {
        self.with(|state| state.peers.clone())
    }
}
