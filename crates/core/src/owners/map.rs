use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use sycamore_types::id;

use super::Claim;

/// The owners' document: every shard that has an owner.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Map {
    /// Claims by shard.
    pub shards: BTreeMap<id::Shard, Claim>,
}

impl Map {
    /// Gives every listed shard that lacks a present owner to the member with the fewest.
    ///
    /// A shard whose owner is not in `known` is without one: the record of a
    /// member is removed only after its shards were moved.
    pub(crate) fn assign_missing(
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

    /// Gives all shards of `subject` to others.
    pub(crate) fn take_over(&mut self, subject: &id::Member, live: &[id::Member], gap: bool) {
        for shard in self.owned_by(subject) {
            self.assign(&shard, live, gap);
        }
    }

    fn assign(&mut self, shard: &id::Shard, live: &[id::Member], has_memory_gap: bool) {
        let Some(owner) = live.iter().min_by_key(|member| (self.count(member), *member)).cloned()
        else {
            return;
        };
        // The owner before may have died without putting its gap on record.
        let had_gap = self.shards.get(shard).is_some_and(|claim| claim.has_memory_gap);
        self.give(shard, owner, has_memory_gap || had_gap);
    }

    /// Makes `owner` the next owner of a shard.
    pub(crate) fn give(&mut self, shard: &id::Shard, owner: id::Member, has_memory_gap: bool) {
        let epoch = self.shards.get(shard).map_or(0, |claim| claim.epoch) + 1;
        self.shards.insert(shard.clone(), Claim { owner, epoch, has_memory_gap });
    }

    /// Returns the shards of a member.
    pub fn owned_by(&self, member: &id::Member) -> Vec<id::Shard> {
        let is_owned = |claim: &Claim| claim.owner == *member;
        self.shards.iter().filter(|(_, claim)| is_owned(claim)).map(|(id, _)| id.clone()).collect()
    }

    /// Returns the number of shards of a member.
    pub(crate) fn count(&self, member: &id::Member) -> usize {
        self.shards.values().filter(|claim| claim.owner == *member).count()
    }

    /// Picks one shard to move from the fullest to the emptiest member.
    ///
    /// Returns `None` while the numbers differ by one at most, so that shards
    /// move little.
    pub(crate) fn rebalance_move(&self, live: &[id::Member]) -> Option<(id::Shard, id::Member)> {
        let fullest = live.iter().max_by_key(|member| self.count(member))?;
        let emptiest = live.iter().min_by_key(|member| (self.count(member), *member))?;
        if self.count(fullest) <= self.count(emptiest) + 1 {
            return None;
        }
        let shard = self.owned_by(fullest).into_iter().next()?;
        Some((shard, emptiest.clone()))
    }
}
