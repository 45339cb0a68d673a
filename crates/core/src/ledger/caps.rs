//! Caps of one shard, which limit what its owner runs of each team.
//!
//! Another shard may already have been granted the tokens that an owner gave up.
//! A cap is therefore lowered at once, but raised only by a ledger that reflects
//! all earlier reductions.

use std::collections::BTreeMap;
use std::time::Duration;

use sycamore_types::Name;
use sycamore_types::id::Revision;

/// Numbers of tasks and requests of each team that one shard may run at once.
#[derive(Debug, Default)]
pub(crate) struct Caps {
    caps: BTreeMap<Name, u32>,
    revision: Revision,
    /// Number of times that this owner lowered a cap.
    lowerings: u64,
    /// Caps that the planner requested while more than that was running.
    requested: BTreeMap<Name, RequestedCap>,
    /// Limits that the caps were divided from.
    limits: BTreeMap<Name, u32>,
}

/// A lower cap that the planner requested.
#[derive(Clone, Copy, Debug)]
struct RequestedCap {
    cap: u32,
    requested_at: Duration,
}

/// Time after which a requested cap lapses. The planner repeats requests that
/// still apply.
const REQUEST_TTL: Duration = Duration::from_secs(2);

impl Caps {
    pub(crate) fn get(&self, team: &str) -> u32 {
        self.caps.get(team).copied().unwrap_or(0)
    }

    /// Returns the revision of the ledger that was last applied.
    pub(crate) fn revision(&self) -> Revision {
        self.revision
    }

    pub(crate) fn lowerings(&self) -> u64 {
        self.lowerings
    }

    pub(crate) fn teams(&self) -> impl Iterator<Item = &Name> {
        self.caps.keys()
    }

    /// Returns how many tasks and requests of a team may run at once, given its
    /// configured limit.
    ///
    /// A limit that was lowered since the ledger was written applies at once,
    /// without waiting for the planner: every shard reduces its cap by the same
    /// factor, so that the sum stays within the new limit.
    pub(crate) fn usable(&self, team: &str, limit: u32) -> u32 {
        let cap = self.get(team);
        let requested = self.requested.get(team).map_or(cap, |requested| requested.cap);
        let divided = self.limits.get(team).copied().unwrap_or(limit);
        if limit >= divided {
            return cap.min(requested);
        }
        let reduced = u64::from(cap) * u64::from(limit) / u64::from(divided.max(1));
        requested.min(u32::try_from(reduced).unwrap_or(u32::MAX))
    }

    /// Applies the tokens that the ledger grants at `revision`.
    ///
    /// A ledger that does not reflect the latest lowering may grant tokens that
    /// are being moved to another shard, so it can only lower caps further.
    /// Returns `false` if `revision` is not newer than the last one applied.
    pub(crate) fn grant(
        &mut self,
        revision: Revision,
        lowerings: u64,
        tokens: &BTreeMap<Name, u32>,
        limits: &BTreeMap<Name, u32>,
    ) -> bool {
        if revision <= self.revision {
            return false;
        }
        self.revision = revision;
        self.limits = limits.clone();
        if lowerings >= self.lowerings {
            self.caps = tokens.clone();
            self.requested.clear();
        } else {
            for (team, cap) in &mut self.caps {
                *cap = (*cap).min(tokens.get(team).copied().unwrap_or(0));
            }
        }
        true
    }

    /// Drops requested caps that have lapsed. Returns whether there were any.
    pub(crate) fn expire(&mut self, now: Duration) -> bool {
        let before = self.requested.len();
        self.requested.retain(|_, requested| now < requested.requested_at + REQUEST_TTL);
        self.requested.len() < before
    }

    /// Lowers the cap of a team to `to`, or to `running` if that is more.
    ///
    /// In the latter case `to` is kept as the requested cap, so that no more of
    /// the team starts.
    pub(crate) fn lower(&mut self, now: Duration, team: &Name, to: u32, running: u32) {
        let next = to.max(running);
        if next < self.get(team) {
            self.caps.insert(team.clone(), next);
            self.lowerings += 1;
        }
        if next > to {
            self.requested.insert(team.clone(), RequestedCap { cap: to, requested_at: now });
        } else {
            self.requested.remove(team);
        }
    }
}
