//! The steps with tasks that wait to be started, split by whether starting them still has
//! value.
//!
//! A job that is so late that completing it has no value any more is served last. Thousands
//! of such steps may wait after an overload. They are kept apart, in the order in which they
//! are served, and a dispatch pass takes a slice of them in turn, so that its cost does not
//! grow with their number.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::{Bound, RangeInclusive};

use rustc_hash::{FxHashMap, FxHashSet};
use sycamore_types::Name;

use super::Rank;
use super::turns::Turns;
use crate::{StepId, job};

/// What the rank of a waiting step depends on. Changes only with the configuration.
#[derive(Clone, Debug)]
pub(super) struct Urgency {
    pub team: Name,
    /// Priority class of the queue; 0 goes first.
    pub priority: u32,
    /// Time by which the step has to start for its job to meet the objective, in
    /// milliseconds since 1970.
    pub latest_start_unix_ms: i64,
    /// Time from which starting the step has no value any more, in milliseconds since 1970.
    pub hopeless_unix_ms: i64,
    /// Time since which the step has waited on the owner's monotonic clock, in milliseconds, if it is a
    /// gang whose wait may decide its place.
    pub gang_since_ms: Option<u64>,
}

/// What the rank of a step takes from its team at the moment of a pass.
#[derive(Debug, Default)]
pub(super) struct Shares {
    /// Teams that use more than their weighted share.
    pub over_share: FxHashSet<Name>,
    /// How much more a team has used in the past than its weight entitles it to, from 0 to 10.
    /// Teams that are missing have not.
    pub past_use: FxHashMap<Name, u8>,
}

/// Position among the hopeless steps: priority class, latest start, step.
type Place = (u32, i64, StepId);

/// The steps with tasks that wait to be started.
#[derive(Debug, Default)]
pub(super) struct Backlog {
    /// Steps whose start still has value.
    live: BTreeMap<StepId, Urgency>,
    /// The live steps by the time at which they become hopeless.
    expiring: BTreeSet<(i64, StepId)>,
    /// Steps whose start has no value any more, in the order in which they are served.
    hopeless: BTreeMap<Place, Urgency>,
    places: BTreeMap<StepId, Place>,
    /// Last hopeless step that a pass has looked at.
    cursor: Option<Place>,
    /// Last live step that a pass has looked at in turn.
    live_cursor: Option<StepId>,
    /// The gangs whose wait may decide their place, by the time since which they have waited.
    gangs: BTreeSet<(u64, StepId)>,
    /// Last gang that [`Backlog::skip_gang`] has passed over.
    gang_cursor: Option<(u64, StepId)>,
    /// The hopeless steps that need calls for advice.
    pub turns: Turns,
}

impl Urgency {
    /// Returns the rank at `now_unix_ms`.
    pub fn rank(&self, now_unix_ms: u64, shares: &Shares) -> Rank {
        let now_ms = now_unix_ms as i64;
        let slack_ms = self.latest_start_unix_ms - now_ms;
        let is_hopeless = now_ms > self.hopeless_unix_ms;
        let is_over_share = shares.over_share.contains(&self.team);
        let is_late = slack_ms < 0;
        let past_use = if is_hopeless || is_over_share || is_late {
            shares.past_use.get(&self.team).copied().unwrap_or(0)
        } else {
            0
        };
        Rank { is_hopeless, is_over_share, is_late, priority: self.priority, past_use, slack_ms }
    }
}

impl Backlog {
    pub fn is_empty(&self) -> bool {
        self.live.is_empty() && self.hopeless.is_empty()
    }

    pub fn len(&self) -> usize {
        self.live.len() + self.hopeless.len()
    }

    /// Returns the number of steps whose start has no value any more.
    pub fn hopeless_len(&self) -> usize {
        self.hopeless.len()
    }

    pub fn steps(&self) -> impl Iterator<Item = &StepId> {
        self.live.keys().chain(self.places.keys())
    }

    /// Adds a step, or replaces its urgency.
    pub fn insert(&mut self, step_id: StepId, urgency: Urgency) {
        self.remove_urgency(step_id);
        self.expiring.insert((urgency.hopeless_unix_ms, step_id));
        self.gangs.extend(urgency.gang_since_ms.map(|since_ms| (since_ms, step_id)));
        self.live.insert(step_id, urgency);
    }

    pub fn remove(&mut self, step_id: StepId) {
        self.remove_urgency(step_id);
        self.turns.remove(step_id);
    }

    fn remove_urgency(&mut self, step_id: StepId) {
        let live = self.live.remove(&step_id);
        if let Some(urgency) = &live {
            self.expiring.remove(&(urgency.hopeless_unix_ms, step_id));
        }
        let place = self.places.remove(&step_id);
        let urgency = live.or_else(|| self.hopeless.remove(&place?));
        if let Some(since_ms) = urgency.and_then(|urgency| urgency.gang_since_ms) {
            self.gangs.remove(&(since_ms, step_id));
        }
    }

    /// Returns at most `count` gangs that have waited since `until_ms` or before, the longest wait first.
    /// Those that [`Backlog::skip_gang`] has passed over come after all others.
    pub fn longest_waiting_gangs(&mut self, count: usize, until_ms: u64) -> Vec<(u64, StepId)> {
        let start = self.gang_cursor.map_or(Bound::Unbounded, Bound::Excluded);
        let gangs = self.gangs.range((start, Bound::Unbounded)).take(count).copied();
        let waiting: Vec<_> = gangs.take_while(|(since_ms, _)| *since_ms <= until_ms).collect();
        if waiting.len() < count {
            self.gang_cursor = None;
        }
        waiting
    }

    /// Passes over a gang and those that have waited for longer, until all others had their turn.
    pub fn skip_gang(&mut self, since_ms: u64, step_id: StepId) {
        self.gang_cursor = Some((since_ms, step_id));
    }

    pub fn remove_job(&mut self, job: job::Id) {
        let live = self.live.range(steps_of(job)).map(|(step_id, _)| *step_id);
        let hopeless = self.places.range(steps_of(job)).map(|(step_id, _)| *step_id);
        let steps: Vec<StepId> = live.chain(hopeless).collect();
        steps.into_iter().for_each(|step_id| self.remove(step_id));
    }

    /// Moves the steps that have become hopeless behind the others, and returns them.
    pub fn expire(&mut self, now_unix_ms: u64) -> Vec<StepId> {
        let mut expired = Vec::new();
        while let Some((at, step_id)) = self.expiring.first().copied()
            && at < now_unix_ms as i64
        {
            self.expiring.pop_first();
            expired.push(step_id);
            if let Some(urgency) = self.live.remove(&step_id) {
                let place = (urgency.priority, urgency.latest_start_unix_ms, step_id);
                self.places.insert(step_id, place);
                self.hopeless.insert(place, urgency);
            }
        }
        expired
    }

    /// Returns the rank of a step.
    pub fn rank(&self, step_id: StepId, now_unix_ms: u64, shares: &Shares) -> Option<Rank> {
        let live = self.live.get(&step_id);
        let urgency = live.or_else(|| self.hopeless.get(self.places.get(&step_id)?))?;
        Some(urgency.rank(now_unix_ms, shares))
    }

    /// Returns the rank of a hopeless step.
    pub fn hopeless_rank(
        &self,
        step_id: StepId,
        now_unix_ms: u64,
        shares: &Shares,
    ) -> Option<Rank> {
        let urgency = self.hopeless.get(self.places.get(&step_id)?)?;
        Some(urgency.rank(now_unix_ms, shares))
    }

    /// Returns the steps whose start still has value, the most urgent first.
    pub fn ranked(&self, now_unix_ms: u64, shares: &Shares) -> Vec<(Rank, StepId)> {
        let rank =
            |(step_id, urgency): (&StepId, &Urgency)| (urgency.rank(now_unix_ms, shares), *step_id);
        let mut order: Vec<(Rank, StepId)> = self.live.iter().map(rank).collect();
        order.sort_unstable();
        order
    }

    /// Returns at most `count` of some live steps in turn, in their order.
    pub fn next_unreached(
        &mut self,
        steps: &[(Rank, StepId)],
        count: usize,
    ) -> Vec<(Rank, StepId)> {
        if steps.is_empty() {
            return Vec::new();
        }
        let mut ids: Vec<StepId> = steps.iter().map(|(_, step_id)| *step_id).collect();
        ids.sort_unstable();
        let start =
            self.live_cursor.map_or(0, |last| ids.partition_point(|step_id| *step_id <= last));
        ids.rotate_left(start);
        ids.truncate(count);
        self.live_cursor = ids.last().copied();
        let ids: BTreeSet<StepId> = ids.into_iter().collect();
        steps.iter().filter(|(_, step_id)| ids.contains(step_id)).copied().collect()
    }

    /// Returns the next slice of at most `count` hopeless steps, the most urgent first. The
    /// slice after the last one begins anew.
    pub fn next_hopeless(
        &mut self,
        count: usize,
        now_unix_ms: u64,
        shares: &Shares,
    ) -> Vec<(Rank, StepId)> {
        let start = self.cursor.map_or(Bound::Unbounded, Bound::Excluded);
        let slice: Vec<(Place, Rank)> = self
            .hopeless
            .range((start, Bound::Unbounded))
            .take(count)
            .map(|(place, urgency)| (*place, urgency.rank(now_unix_ms, shares)))
            .collect();
        let is_last = slice.len() < count;
        self.cursor = slice.last().map(|(place, _)| *place).filter(|_| !is_last);
        let mut order: Vec<(Rank, StepId)> =
            slice.into_iter().map(|((.., step_id), rank)| (rank, step_id)).collect();
        order.sort_unstable();
        order
    }
}

fn steps_of(job: job::Id) -> RangeInclusive<StepId> {
    let first = StepId { job, occurrence: 0, index: 0 };
    first..=StepId { occurrence: u32::MAX, index: u16::MAX, ..first }
}
