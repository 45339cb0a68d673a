//! Who owns the workers: following the owner, noticing its loss, taking over.

mod follow;
mod owner_record;

use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Instant;

pub(crate) use follow::{catch_up, follow};
pub(crate) use owner_record::{OWNER_KEY, OwnerRecord};

use sycamore_types::Name;

use crate::owner::Handle;
use crate::peer::Owner;
use crate::timing::{OWNER_SILENCE, PING_EVERY, PING_TIMEOUT};

/// Who owns, as far as this process knows.
#[derive(Clone, Debug, Default)]
pub(crate) enum CurrentOwner {
    #[default]
    Unknown,
    /// Another process.
    Peer { address: SocketAddr },
    /// This process, which reads the log and can't answer yet.
    Recovering { epoch: u64 },
    /// This process.
    Local(Handle),
}

#[derive(Debug, Default)]
struct State {
    current: CurrentOwner,
    /// The newest owner known, from the store or from peers.
    owner: Option<Owner>,
    heard: Option<Instant>,
    /// Neither the owner nor the store nor any peer can be reached.
    is_detached: bool,
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
        self.with(|state| state.owner.clone())
    }

    pub fn set_current(&self, current: CurrentOwner) {
        self.with(|state| state.current = current);
    }

    /// Learns of an owner. Older ones than the newest known change nothing.
    pub fn learn(&self, owner: &Owner) {
        self.with(|state| {
            if state.owner.as_ref().is_none_or(|known| known.epoch < owner.epoch) {
                state.owner = Some(owner.clone());
            }
        });
    }

    /// Notes that the owner has answered, and which processes it knows.
    pub fn note_heard(&self, peers: Vec<(Name, SocketAddr)>) {
        self.with(|state| {
            state.heard = Some(Instant::now());
            state.is_detached = false;
            if !peers.is_empty() {
                state.peers = peers;
            }
        });
    }

    /// Notes whether this process is cut off from all that could serve a request.
    pub fn set_detached(&self, is_detached: bool) {
        let was = self.with(|state| std::mem::replace(&mut state.is_detached, is_detached));
        if was != is_detached {
            log::warn!(target: "lead", is_detached; "reach of this host changed");
        }
    }

    pub fn is_detached(&self) -> bool {
        self.with(|state| state.is_detached)
    }

    /// The owner if it was heard a moment ago.
    pub fn heard(&self) -> Option<Owner> {
        self.with(|state| {
            let is_recent = state.heard.is_some_and(|at| at.elapsed() < OWNER_SILENCE / 2);
            let is_here =
                matches!(state.current, CurrentOwner::Local(_) | CurrentOwner::Recovering { .. });
            state.owner.clone().filter(|_| is_recent || is_here)
        })
    }

    /// Tells whether the owner has missed pings.
    pub fn is_silent(&self) -> bool {
        self.silence().is_some_and(|silence| silence > 2 * PING_EVERY + PING_TIMEOUT / 2)
    }

    /// Time since the owner answered last.
    pub fn silence(&self) -> Option<std::time::Duration> {
        self.with(|state| state.heard.map(|at| at.elapsed()))
    }

    pub fn peers(&self) -> Vec<(Name, SocketAddr)> {
        self.with(|state| state.peers.clone())
    }
}
