//! Chooses the hosts for a step's tasks and the number of tasks on each.
//!
//! Tasks go to the hosts with the least free CPU that fits, which keeps large gaps for large
//! tasks. Best-effort tasks are spread instead, as they share the CPU time left idle.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use sycamore_types::Name;

use super::candidates::{Candidate, HostViews};
use super::demand::Demand;

/// Returns the chosen hosts, as indices into `views`, with the number of tasks for each.
pub(super) fn plan_placement(
    mut ready: Vec<Candidate>,
    demand: &Demand,
    views: &HostViews,
) -> Vec<(usize, u32)> {
    let wanted = demand.wanted();
    retain_fitting(&mut ready, demand, views);
    if demand.is_best_effort {
        return spread(ready, wanted);
    }
    // Hosts where starts have not arrived come after all others.
    // Slow hosts last and near the data first, then best fit: the host with the least free CPU
    // that still fits, so that large gaps stay available for large tasks.
    // Hosts that a suspect may crash come last, and before them those where tasks would use room that is
    // kept for gangs.
    ready.sort_by_key(|candidate| {
        let may_crash = views[candidate.index].has_isolated_run;
        let is_avoided = candidate.is_avoided;
        (
            is_avoided,
            may_crash,
            candidate.needs_loan,
            candidate.is_slow,
            !candidate.is_near,
            candidate.free_cpu,
        )
    });
    fill(ready, wanted)
}

/// Returns the hosts for tasks that may crash them: those where the least work would be lost. All
/// go to one host, as far as they fit there, unless they are a gang.
pub(super) fn plan_isolated(
    mut ready: Vec<Candidate>,
    demand: &Demand,
    views: &HostViews,
    work_at_stake: impl Fn(&Name) -> u64,
) -> Vec<(usize, u32)> {
    retain_fitting(&mut ready, demand, views);
    ready.sort_by_cached_key(|candidate| {
        let work_at_stake = work_at_stake(&views[candidate.index].host);
        (candidate.is_avoided, candidate.is_slow, work_at_stake, !candidate.is_near)
    });
    if !demand.is_gang {
        ready.truncate(1);
    }
    fill(ready, demand.wanted())
}

/// Keeps the hosts on which tasks fit; of these, those where starts arrive if they have capacity
/// for all; of these, those of one rack if the step prefers that and there is a rack that has
/// capacity for all.
fn retain_fitting(ready: &mut Vec<Candidate>, demand: &Demand, views: &HostViews) {
    ready.retain(|candidate| candidate.fits_now > 0);
    let preferred = ready.iter().filter(|candidate| !candidate.is_avoided);
    let capacity: u32 = preferred.map(|candidate| candidate.fits_now).sum();
    // Otherwise the choice of a rack could lead to the same avoided host at each attempt.
    if capacity >= demand.wanted() {
        ready.retain(|candidate| !candidate.is_avoided);
    }
    if demand.prefers_one_rack
        && let Some(rack) = smallest_fitting_rack(ready, demand.wanted(), views)
    {
        ready.retain(|candidate| views[candidate.index].rack == rack);
    }
}

/// Puts as many tasks on each host, in order, as fit there.
fn fill(ready: Vec<Candidate>, wanted: u32) -> Vec<(usize, u32)> {
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

/// Spreads best-effort tasks evenly, starting with the hosts with the most free CPU. Their
/// footprint includes no CPU, so that all of them would fit on one host.
fn spread(mut ready: Vec<Candidate>, wanted: u32) -> Vec<(usize, u32)> {
    ready.sort_by_key(|candidate| {
        (candidate.is_avoided, !candidate.is_near, Reverse(candidate.free_cpu))
    });
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

/// Returns whether the candidates together have capacity for the tasks.
pub(super) fn has_capacity_for(candidates: &[Candidate], wanted: u32) -> bool {
    candidates.iter().map(|candidate| candidate.fits_now).sum::<u32>() >= wanted
}
