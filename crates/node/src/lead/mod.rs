//! Who owns the workers: following the owner, noticing its loss, taking over.

mod claim;
mod follow;

use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Instant;

pub(crate) use claim::{Claim, OWNER_KEY};
pub(crate) use follow::{catch_up, follow};

use crate::owner::Handle;
use crate::timing::OWNER_SILENCE;

/// Who owns, as far as this process knows.
#[derive(Clone, Debug, Default)]
pub(crate) enum Leader {
    #[default]
    Unknown,
    /// Another process.
    Peer { address: SocketAddr },
    /// This process, which reads the log and can't answer yet.
    Beginning { epoch: u64 },
    /// This process.
    Here(Handle),
}

#[derive(Debug, Default)]
struct State {
    leader: Leader,
    epoch: u64,
    heard: Option<Instant>,
    peers: Vec<(sycamore_types::Name, SocketAddr)>,
}

/// What this process knows of the owner.
#[derive(Debug, Default)]
pub(crate) struct Lead {
    state: Mutex<State>,
}

impl Lead {
    fn with<T>(&self, act: impl FnOnce(&mut State) -> T) -> T {
        let mut state = self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        act(&mut state)
    }

    pub fn leader(&self) -> Leader {
        self.with(|state| state.leader.clone())
    }

    pub fn epoch(&self) -> u64 {
        self.with(|state| state.epoch)
    }

    pub fn set(&self, leader: Leader, epoch: u64) {
        self.with(|state| {
            state.leader = leader;
            state.epoch = state.epoch.max(epoch);
        });
    }

    /// Notes that the owner has answered, and which processes it knows.
    pub fn note_heard(&self, peers: Vec<(sycamore_types::Name, SocketAddr)>) {
        self.with(|state| {
            state.heard = Some(Instant::now());
            if !peers.is_empty() {
                state.peers = peers;
            }
        });
    }

    /// Epoch of the owner if it was heard a moment ago.
    pub fn heard(&self) -> Option<u64> {
        self.with(|state| {
            let is_recent = state.heard.is_some_and(|at| at.elapsed() < OWNER_SILENCE / 2);
            (is_recent || matches!(state.leader, Leader::Here(_))).then_some(state.epoch)
        })
    }

    /// Time since the owner answered last.
    pub fn silence(&self) -> Option<std::time::Duration> {
        self.with(|state| state.heard.map(|at| at.elapsed()))
    }

    pub fn peers(&self) -> Vec<(sycamore_types::Name, SocketAddr)> {
        self.with(|state| state.peers.clone())
    }
}
