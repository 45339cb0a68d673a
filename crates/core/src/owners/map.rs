//! The owners document, and the rules by which shards are assigned.
//!
//! A shard goes to the live member with the fewest shards, and to the first one in
//! member order among equals, so that the choice depends on the state alone.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use sycamore_types::id;

use super::Claim;

/// Document in the store that names the owner of every shard that has one.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Map {
    /// Claims by shard.
    pub shards: BTreeMap<id::Shard, Claim>,
}

impl Map {
    /// Assigns every listed shard without an owner to the live member with the
    /// fewest shards.
    ///
    /// A shard whose owner is not in `known` counts as having none: the record of
    /// a member is removed only after its shards were moved.
    pub(crate) fn assign_unowned(
        &mut self,
        shards: &BTreeSet<id::Shard>,
        live: &[id::Member],
        known: &BTreeSet<id::Member>,
    ) {
        for shard in shards {
            let is_owned = self.shards.get(shard).is_some_and(|claim| known.contains(&claim.owner));
            if !is_owned {
                self.assign(shard, live, false);
            }
        }
    }

    /// Assigns all shards of `subject` to members of `live`.
    ///
    /// `has_key_gap` is that of the new [`Claim`]s.
    pub(crate) fn take_over(
        &mut self,
        subject: &id::Member,
        live: &[id::Member],
        has_key_gap: bool,
    ) {
        for shard in self.owned_by(subject) {
            self.assign(&shard, live, has_key_gap);
        }
    }

    fn assign(&mut self, shard: &id::Shard, live: &[id::Member], has_key_gap: bool) {
        let Some(owner) =
            live.iter().min_by_key(|member| (self.shard_count(member), *member)).cloned()
        else {
            return;
        };
        // The previous owner may have failed before it recorded its own key gap.
        let had_key_gap = self.shards.get(shard).is_some_and(|claim| claim.has_key_gap);
        self.set_owner(shard, owner, has_key_gap || had_key_gap);
    }

    /// Makes `owner` the next owner of a shard, in a new epoch.
    pub(crate) fn set_owner(&mut self, shard: &id::Shard, owner: id::Member, has_key_gap: bool) {
        let epoch = self.shards.get(shard).map_or(0, |claim| claim.epoch) + 1;
        self.shards.insert(shard.clone(), Claim { owner, epoch, has_key_gap });
    }

    /// Returns the shards that a member owns.
    pub fn owned_by(&self, member: &id::Member) -> Vec<id::Shard> {
        let is_owned = |claim: &Claim| claim.owner == *member;
        self.shards.iter().filter(|(_, claim)| is_owned(claim)).map(|(id, _)| id.clone()).collect()
    }

    /// Returns the number of shards that a member owns.
    pub(crate) fn shard_count(&self, member: &id::Member) -> usize {
        self.shards.values().filter(|claim| claim.owner == *member).count()
    }

    /// Returns one shard to move from the member with the most shards, and the
    /// member with the fewest shards to move it to.
    ///
    /// Returns `None` while these numbers differ by one at most, so that shards
    /// move rarely.
    pub(crate) fn rebalance_move(&self, live: &[id::Member]) -> Option<(id::Shard, id::Member)> {
        let most_loaded = live.iter().max_by_key(|member| self.shard_count(member))?;
        let least_loaded = live.iter().min_by_key(|member| (self.shard_count(member), *member))?;
        if self.shard_count(most_loaded) <= self.shard_count(least_loaded) + 1 {
            return None;
        }
        let shard = self.owned_by(most_loaded).into_iter().next()?;
        Some((shard, least_loaded.clone()))
    }
}
