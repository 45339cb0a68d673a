//! Which workers take how many tasks of a step.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use sycamore_types::Name;

use super::dispatch::Demand;
use super::room::{Candidate, Spots};

/// Chooses workers for a step's tasks.
pub(super) fn plan(mut ready: Vec<Candidate>, demand: &Demand, spots: &Spots) -> Vec<(usize, u32)> {
    let wanted = demand.wanted();
    ready.retain(|candidate| candidate.slots > 0);
    if demand.one_rack
        && let Some(rack) = rack_with_room(&ready, wanted, spots)
    {
        ready.retain(|candidate| spots[candidate.at].rack == rack);
    }
    if demand.is_best_effort {
        return spread(ready, wanted);
    }
    // Near the data first, then the fullest worker that still has room, so that
    // large holes stay for large tasks.
    ready.sort_by_key(|candidate| (!candidate.is_near, candidate.free_cpu));
    let mut plan = Vec::new();
    let mut rest = wanted;
    for candidate in ready {
        if rest == 0 {
            break;
        }
        let tasks = candidate.slots.min(rest);
        rest -= tasks;
        plan.push((candidate.at, tasks));
    }
    plan
}

/// Deals best-effort tasks out evenly, to the workers with most idle processors first:
/// by their footprint all would fit on one.
fn spread(mut ready: Vec<Candidate>, wanted: u32) -> Vec<(usize, u32)> {
    ready.sort_by_key(|candidate| (!candidate.is_near, Reverse(candidate.free_cpu)));
    let each = wanted.div_ceil(ready.len().max(1) as u32);
    let mut rest = wanted;
    let mut plan = Vec::new();
    for candidate in ready {
        let tasks = candidate.slots.min(each).min(rest);
        rest -= tasks;
        plan.push((candidate.at, tasks));
    }
    plan
}

fn rack_with_room(ready: &[Candidate], wanted: u32, spots: &Spots) -> Option<Name> {
    let mut racks: BTreeMap<&Name, u32> = BTreeMap::new();
    for candidate in ready {
        *racks.entry(&spots[candidate.at].rack).or_default() += candidate.slots;
    }
    let fitting = racks.into_iter().filter(|(_, slots)| *slots >= wanted);
    fitting.min_by_key(|(_, slots)| *slots).map(|(rack, _)| rack.clone())
}

/// Tells whether so many tasks fit on some workers together.
pub(super) fn enough(candidates: &[Candidate], wanted: u32) -> bool {
    candidates.iter().map(|candidate| candidate.slots).sum::<u32>() >= wanted
}
