//! Decides which runs give room to a waiting step of a more urgent queue.
//!
//! Pure functions on plain data: who may take room, which runs may yield, and which of them
//! cost the least. Stopping the runs and reserving the room is in `reclaim` and `reservations`.

use sycamore_types::resources::Resources;

use crate::TaskId;
use crate::timing::PreemptionTiming;

/// Time from the end of a run on its host to the dispatch pass that uses its room, in
/// milliseconds. A long poll returns at once when a run ends; dispatch passes take up to 92 ms.
const LEARN_MS: u64 = 100;

/// Stops of a task for others after which it is not a victim again.
pub(super) const MAX_YIELDS: u32 = 2;

/// Divisor of a victim's declared duration. The checkpoint interval and the time to resume may
/// take at most that part of it, or preemption wastes too much of the capacity.
const LOSS_DIVISOR: u64 = 4;

/// Divisor of a beneficiary's slack at its arrival. A stop may take at most that part of it, or
/// the beneficiary would often be late in spite of the preemption.
const SLACK_DIVISOR: i64 = 2;

/// A step that wants room.
#[derive(Clone, Copy, Debug)]
pub(super) struct Claim {
    /// Priority class of the queue; 0 goes first.
    pub priority: u32,
    /// Completing the job has no value any more.
    pub is_hopeless: bool,
    /// The team uses more than its weighted share.
    pub is_over_share: bool,
    /// Time left until the step has to start for the job to meet its objective, in milliseconds.
    pub slack_ms: i64,
    /// The same when the job became due.
    pub slack_at_arrival_ms: i64,
    /// Declared duration of a task, in milliseconds.
    pub estimate_ms: u64,
}

/// A run that may have to yield.
#[derive(Clone, Copy, Debug)]
pub(super) struct Occupant {
    pub priority: u32,
    /// The host has shown that it has the run.
    pub is_there: bool,
    pub is_stopping: bool,
    /// The run may crash its host.
    pub is_isolated: bool,
    pub is_checkpointing: bool,
    pub is_service: bool,
    pub is_best_effort: bool,
    pub is_gang: bool,
    /// The step has a disruption budget.
    pub has_budget: bool,
    /// Number of times that the task was preempted.
    pub yields: u32,
    /// Declared duration, in milliseconds.
    pub estimate_ms: u64,
    /// Time since the run was requested, in milliseconds.
    pub elapsed_ms: u64,
    /// Time since the last checkpoint that is known, or since the start, in milliseconds.
    pub unsaved_ms: u64,
    /// Time by which the run could end later without its job missing the objective, in
    /// milliseconds. Negative if the job is late anyway.
    pub slack_ms: i64,
}

/// A run that may be stopped.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Victim {
    pub run: (TaskId, u32),
    pub footprint: Resources,
    /// The team uses more than its weighted share.
    pub is_over_share: bool,
    /// Work that is lost, in milliseconds.
    pub lost_ms: u64,
    /// Work that is lost and time to resume, in core-milliseconds.
    pub cost_core_ms: u64,
}

/// A host that may run the tasks of a step.
#[derive(Clone, Debug, Default)]
pub(super) struct Room {
    /// Index of the host in the pass's views.
    pub index: usize,
    /// Capacity that is neither allocated nor reserved.
    pub free: Resources,
    /// Capacity that the runs take up beyond what the host has, as it has shrunk.
    pub overcommitted: Resources,
    /// Most tasks of the step that the host may get.
    pub most_tasks: u32,
    pub victims: Vec<Victim>,
    /// Runs, with the time until they should end by their declared duration, in milliseconds.
    pub ends: Vec<(u64, Resources)>,
}

/// Room to be taken on one host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct Taking {
    /// Index of the host in the pass's views.
    pub index: usize,
    pub tasks: u32,
    pub victims: Vec<Victim>,
}

/// What a set of victims costs. Smaller is better: runs of teams over their share yield first.
type Price = (bool, u64);

/// Returns whether a step may take room from runs of less urgent queues.
pub(super) fn may_take(claim: &Claim, timing: &PreemptionTiming) -> bool {
    !claim.is_hopeless
        && !claim.is_over_share
        && timing.stop_ms as i64 <= claim.slack_at_arrival_ms / SLACK_DIVISOR
}

/// Returns the work that a run loses if it is stopped now, in milliseconds. `None` if it may not
/// be stopped for the claim.
pub(super) fn work_lost(
    occupant: &Occupant,
    claim: &Claim,
    timing: &PreemptionTiming,
) -> Option<u64> {
    let is_exempt = occupant.priority <= claim.priority
        || !occupant.is_there
        || occupant.is_stopping
        || occupant.is_isolated
        || occupant.is_service
        || occupant.is_best_effort
        || occupant.is_gang
        || occupant.has_budget
        || occupant.yields >= MAX_YIELDS;
    let overhead_ms = timing.checkpoint_ms + timing.restore_ms;
    if is_exempt || overhead_ms > occupant.estimate_ms / LOSS_DIVISOR {
        return None;
    }
    let lost_ms = if occupant.is_checkpointing {
        occupant.unsaved_ms.min(timing.checkpoint_ms)
    } else {
        occupant.elapsed_ms
    };
    if lost_ms > timing.checkpoint_ms {
        return None;
    }
    // The room is free again once the beneficiary has ended.
    let delay_ms = lost_ms + timing.restore_ms + timing.stop_ms + claim.estimate_ms;
    let becomes_late = occupant.slack_ms >= 0 && occupant.slack_ms < delay_ms as i64;
    (!becomes_late).then_some(lost_ms)
}

/// Returns what the loss of some work on so much CPU costs, in core-milliseconds.
pub(super) fn cost_core_ms(lost_ms: u64, cpu_millis: u32, timing: &PreemptionTiming) -> u64 {
    (lost_ms + timing.restore_ms) * u64::from(cpu_millis) / 1_000
}

/// Returns whether a step gains from a preemption: it can still be in time, or room would come
/// later by itself.
pub(super) fn is_worth_it(
    claim: &Claim,
    rooms: &[Room],
    footprint: &Resources,
    timing: &PreemptionTiming,
) -> bool {
    let delay_ms = timing.stop_ms + LEARN_MS;
    if delay_ms as i64 <= claim.slack_ms {
        return true;
    }
    rooms.iter().filter_map(|room| wait_ms(room, footprint)).min().is_none_or(|ms| ms > delay_ms)
}

/// Returns the time until enough runs of a host have ended by themselves, in milliseconds.
fn wait_ms(room: &Room, footprint: &Resources) -> Option<u64> {
    let needed = footprint.plus(&room.overcommitted);
    let mut ends = room.ends.clone();
    ends.sort_unstable_by_key(|(ms, _)| *ms);
    let mut free = room.free;
    for (ms, freed) in ends {
        free = free.plus(&freed);
        if needed.fits_in(&free) {
            return Some(ms);
        }
    }
    None
}

/// Returns the room to be taken for up to `wanted` tasks, or for exactly so many of a gang. The
/// victims take up at most `budget`.
pub(super) fn plan(
    mut rooms: Vec<Room>,
    footprint: &Resources,
    wanted: u32,
    is_gang: bool,
    mut budget: Resources,
) -> Vec<Taking> {
    let mut offers: Vec<Option<Vec<Victim>>> =
        rooms.iter().map(|room| cheapest_set(room, footprint)).collect();
    let mut takings: Vec<Taking> = Vec::new();
    let mut missing = wanted;
    while missing > 0 {
        let priced = offers
            .iter()
            .enumerate()
            .filter_map(|(at, offer)| offer.as_ref().map(|victims| (price(victims), at)));
        let Some((_, at)) = priced.min() else { break };
        let Some(victims) = offers[at].take() else { break };
        let freed = footprints(&victims);
        if !freed.fits_in(&budget) {
            continue;
        }
        budget = budget.minus(&freed);
        missing -= 1;
        let room = &mut rooms[at];
        // What the victims free pays first for what the host has too little.
        let paid = freed.minus(&room.overcommitted);
        room.overcommitted = room.overcommitted.minus(&freed);
        room.free = room.free.plus(&paid).minus(footprint);
        room.most_tasks -= 1;
        room.victims.retain(|victim| !victims.iter().any(|taken| taken.run == victim.run));
        offers[at] = cheapest_set(room, footprint);
        match takings.iter_mut().find(|taking| taking.index == room.index) {
            Some(taking) => {
                taking.tasks += 1;
                taking.victims.extend(victims);
            }
            None => takings.push(Taking { index: room.index, tasks: 1, victims }),
        }
    }
    if is_gang && missing > 0 { Vec::new() } else { takings }
}

/// Returns the cheapest runs of a host that make room for one task: none if it has room. `None`
/// if there is no such set.
fn cheapest_set(room: &Room, footprint: &Resources) -> Option<Vec<Victim>> {
    if room.most_tasks == 0 {
        return None;
    }
    let needed = footprint.plus(&room.overcommitted).minus(&room.free);
    let single = room.victims.iter().filter(|victim| needed.fits_in(&victim.footprint));
    let single = single.min_by_key(|victim| price(&[**victim])).map(|victim| vec![*victim]);
    let mut by_cost = room.victims.clone();
    by_cost.sort_by_key(|victim| (!victim.is_over_share, victim.cost_core_ms));
    let mut by_density = room.victims.clone();
    by_density.sort_by_key(|victim| {
        let cpu = u64::from(victim.footprint.cpu_millis.max(1));
        (!victim.is_over_share, victim.cost_core_ms * 1_000 / cpu)
    });
    let sets = [single, smallest_prefix(by_cost, &needed), smallest_prefix(by_density, &needed)];
    sets.into_iter().flatten().min_by_key(|victims| price(victims))
}

/// Returns the first victims that free what is needed, without those that are not needed in the
/// end.
fn smallest_prefix(victims: Vec<Victim>, needed: &Resources) -> Option<Vec<Victim>> {
    let mut chosen = Vec::new();
    let mut freed = Resources::default();
    for victim in victims {
        if needed.fits_in(&freed) {
            break;
        }
        freed = freed.plus(&victim.footprint);
        chosen.push(victim);
    }
    if !needed.fits_in(&freed) {
        return None;
    }
    for at in (0..chosen.len()).rev() {
        let rest = freed.minus(&chosen[at].footprint);
        if needed.fits_in(&rest) {
            freed = rest;
            chosen.remove(at);
        }
    }
    Some(chosen)
}

fn price(victims: &[Victim]) -> Price {
    let takes_from_others = victims.iter().any(|victim| !victim.is_over_share);
    (takes_from_others, victims.iter().map(|victim| victim.cost_core_ms).sum())
}

/// Returns the resources that some runs take up together.
pub(super) fn footprints(victims: &[Victim]) -> Resources {
    victims.iter().fold(Resources::default(), |sum, victim| sum.plus(&victim.footprint))
}
