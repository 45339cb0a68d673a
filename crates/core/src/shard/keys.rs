//! Idempotency keys, by which a repeated request is recognised.
//!
//! A key is released when its request was certainly not run, and may then be used
//! again. Keys are removed after a retention time, which bounds their number.

use rustc_hash::FxHashMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::caller::KeyHash;
use crate::log::{KeyState, SavedKey};

/// Idempotency keys that were first seen within the retention time.
#[derive(Debug, Default)]
pub(crate) struct Keys {
    states: FxHashMap<KeyHash, KeyState>,
    by_age: VecDeque<(Duration, KeyHash)>,
    /// Keys that arrived while the store was unavailable, in order of arrival.
    unlogged: Vec<KeyHash>,
}

impl Keys {
    pub(crate) fn get(&self, hash: KeyHash) -> Option<KeyState> {
        self.states.get(&hash).copied()
    }

    pub(crate) fn set(&mut self, now: Duration, hash: KeyHash, state: KeyState) {
        if self.states.insert(hash, state).is_none() {
            self.by_age.push_back((now, hash));
        }
    }

    pub(crate) fn add_unlogged(&mut self, hash: KeyHash) {
        self.unlogged.push(hash);
    }

    pub(crate) fn take_unlogged(&mut self) -> Vec<KeyHash> {
        std::mem::take(&mut self.unlogged)
    }

    pub(crate) fn has_unlogged(&self) -> bool {
        !self.unlogged.is_empty()
    }

    /// Removes the keys that were released for reuse.
    ///
    /// Called when the log may lack keys: a request may have reused a released
    /// key without being logged, so the key must not count as unused.
    pub(crate) fn forget_released(&mut self) {
        self.states.retain(|_, state| *state != KeyState::Released);
    }

    /// Removes keys that are older than the retention time.
    pub(crate) fn expire(&mut self, now: Duration, retention: Duration) {
        while self.by_age.front().is_some_and(|(at, _)| now > *at + retention) {
            if let Some((_, hash)) = self.by_age.pop_front() {
                self.states.remove(&hash);
            }
        }
    }

    pub(crate) fn save(&self, now: Duration) -> Vec<SavedKey> {
        let saved = |(at, hash): &(Duration, KeyHash)| {
            let state = self.get(*hash)?;
            Some(SavedKey { hash: *hash, state, age: now.saturating_sub(*at) })
        };
        self.by_age.iter().filter_map(saved).collect()
    }

    pub(crate) fn restore(&mut self, now: Duration, saved: &[SavedKey]) {
        for key in saved {
            self.set(now.saturating_sub(key.age), key.hash, key.state);
        }
    }
}
