//! Which workers take how many tasks of a step.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use sycamore_types::Name;

use super::candidates::{Candidate, HostViews};
use super::dispatch::Demand;

/// Chooses workers for a step's tasks.
pub(super) fn plan_placement(
    mut ready: Vec<Candidate>,
    demand: &Demand,
    views: &HostViews,
) -> Vec<(usize, u32)> {
    let wanted = demand.wanted();
    ready.retain(|candidate| candidate.fits_now > 0);
    if demand.prefers_one_rack
        && let Some(rack) = smallest_fitting_rack(&ready, wanted, views)
    {
        ready.retain(|candidate| views[candidate.index].rack == rack);
    }
    if demand.is_best_effort {
        return spread(ready, wanted);
    }
    // Near the data first, then the fullest worker that still has room, so that
    // large holes stay for large tasks.
    ready.sort_by_key(|candidate| (!candidate.is_near, candidate.free_cpu));
    let mut plan = Vec::new();
    let mut remaining = wanted;
    for candidate in ready {
        if remaining == 0 {
            break;
        }
        let tasks = candidate.fits_now.min(remaining);
        remaining -= tasks;
        plan.push((candidate.index, tasks));
    }
    plan
}

/// Deals best-effort tasks out evenly, to the workers with most idle processors first:
/// by their footprint all would fit on one.
fn spread(mut ready: Vec<Candidate>, wanted: u32) -> Vec<(usize, u32)> {
    ready.sort_by_key(|candidate| (!candidate.is_near, Reverse(candidate.free_cpu)));
    let each = wanted.div_ceil(ready.len().max(1) as u32);
    let mut remaining = wanted;
    let mut plan = Vec::new();
    for candidate in ready {
        let tasks = candidate.fits_now.min(each).min(remaining);
        remaining -= tasks;
        plan.push((candidate.index, tasks));
    }
    plan
}

fn smallest_fitting_rack(ready: &[Candidate], wanted: u32, views: &HostViews) -> Option<Name> {
    let mut racks: BTreeMap<&Name, u32> = BTreeMap::new();
    for candidate in ready {
        *racks.entry(&views[candidate.index].rack).or_default() += candidate.fits_now;
    }
    let fitting = racks.into_iter().filter(|(_, fitting)| *fitting >= wanted);
    fitting.min_by_key(|(_, fitting)| *fitting).map(|(rack, _)| rack.clone())
}

/// Tells whether so many tasks fit on some workers together.
pub(super) fn has_capacity_for(candidates: &[Candidate], wanted: u32) -> bool {
    candidates.iter().map(|candidate| candidate.fits_now).sum::<u32>() >= wanted
}
