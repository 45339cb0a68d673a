//! The choice of the next task to start and of its host.
//!
//! Classes are served in order; within a class, the team with the smallest share
//! goes first. A full pass tries waiting items on all hosts. Between full passes,
//! only new items and the hosts on which capacity was released are tried, so that
//! an event does not cost a search of the whole queue.

use std::time::Duration;

use sycamore_types::{Name, id};

use super::{Env, Phase, Shard};
use crate::caller::Token;
use crate::queue::{Class, Item, Place, TeamRank};

/// Number of items per team that a pass over all hosts considers.
///
/// An item, a queued request or job, is skipped if it does not fit, so a large
/// job does not block smaller ones behind it. The limit bounds the cost of a pass.
const FULL_PASS_DEPTH: usize = 16;

/// Number of items per team that a pass over the freed hosts considers.
///
/// The limit is higher than that of a full pass, so that the team with the
/// smallest share finds an item that fits. Otherwise the capacity would go to any
/// team with a small item at the front of its queue.
const FREED_PASS_DEPTH: usize = 128;

/// Hosts that a scheduling pass considers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Scope {
    /// All hosts.
    All,
    /// Only hosts on which capacity was released since the last pass.
    Freed,
}

/// A queued item that a pass tries to start.
pub(super) struct Candidate {
    pub(super) class: Class,
    pub(super) team: Name,
    pub(super) place: Place,
    item: Item,
}

impl Shard {
    /// Starts all waiting work that may start now, by class, then in the order of
    /// the teams' shares.
    pub(super) fn schedule(&mut self, env: &mut Env<'_, '_>) {
        if self.phase != Phase::Active || env.deadline.is_none_or(|end| env.now() >= end) {
            return;
        }
        if self.needs_full_pass {
            self.needs_full_pass = false;
            self.new_items.clear();
            self.freed_hosts.clear();
            self.shapes.clear_unfit();
            self.run_pass(env, Scope::All);
        }
        for (team, place) in std::mem::take(&mut self.new_items) {
            self.start_new_item(env, team, place);
        }
        if !self.freed_hosts.is_empty() {
            self.run_pass(env, Scope::Freed);
            self.freed_hosts.clear();
        }
    }

    fn run_pass(&mut self, env: &mut Env<'_, '_>, scope: Scope) {
        for class in Class::ALL {
            self.start_from_lane(env, class, scope);
        }
    }

    /// Starts tasks of one item until it does not fit or the team is at its limit.
    ///
    /// Every other item has been tried since capacity was last released, so this
    /// does not bypass an item that could start.
    fn start_new_item(&mut self, env: &mut Env<'_, '_>, team: Name, place: Place) {
        let class = place.class;
        while self.headroom(env.config, &team) > 0 {
            // The item leaves the queue when its last task is started.
            let Some(item) = self.queue.lane(class).get(&team, place).cloned() else {
                return;
            };
            let candidate = Candidate { class, team: team.clone(), place, item };
            if !self.try_start(env, &candidate, Scope::All) {
                return;
            }
        }
    }

    /// Starts items of one lane until none of them can start.
    fn start_from_lane(&mut self, env: &mut Env<'_, '_>, class: Class, scope: Scope) {
        // A start only moves its team back in the order, so no team up to this
        // position has an item that can start.
        let mut exhausted: Option<TeamRank> = None;
        while let Some(next) = self.queue.lane(class).after(exhausted.as_ref()) {
            if !self.start_from_team(env, class, &next.1, scope) {
                exhausted = Some(next);
            }
        }
    }

    /// Starts the first of a team's items that can start. Returns whether one did.
    fn start_from_team(
        &mut self,
        env: &mut Env<'_, '_>,
        class: Class,
        team: &Name,
        scope: Scope,
    ) -> bool {
        if self.headroom(env.config, team) == 0 {
            return false;
        }
        let lane = self.queue.lane(class);
        let items: Vec<(Place, Item)> = match scope {
            Scope::Freed => lane.fitting(team, self.max_freed_cpu_millis(), FREED_PASS_DEPTH),
            Scope::All => {
                let first = lane.items(team).take(FULL_PASS_DEPTH);
                first.map(|(place, item)| (*place, item.clone())).collect()
            }
        };
        for (place, item) in items {
            let candidate = Candidate { class, team: team.clone(), place, item };
            if self.try_start(env, &candidate, scope) {
                return true;
            }
        }
        false
    }

    /// Returns the largest free CPU, in thousandths of a core, on a freed host.
    fn max_freed_cpu_millis(&self) -> u32 {
        let hosts = self.freed_hosts.iter().filter_map(|name| self.table.get(name));
        let open = hosts.map(|host| host.free()).filter(|free| free.slots > 0);
        open.map(|free| free.cpu_millis).max().unwrap_or(0)
    }

    /// Returns whether a task of this shape may fit on a host in scope.
    fn may_fit(&self, now: Duration, shape: usize, scope: Scope) -> bool {
        match scope {
            Scope::All => !self.shapes.is_unfit(shape),
            Scope::Freed => {
                let query = self.shapes.get(shape).query();
                self.freed_hosts.iter().any(|host| self.table.fits_on(now, host, &query))
            }
        }
    }

    /// Returns whether a task of the candidate was started.
    fn try_start(&mut self, env: &mut Env<'_, '_>, candidate: &Candidate, scope: Scope) -> bool {
        match &candidate.item {
            Item::Request(token) => self.try_start_request(env, candidate, *token, scope),
            Item::Job(id) => {
                let Some(job) = self.jobs.get(id) else {
                    return false;
                };
                if !job.is_startable(env.now()) || env.now() < self.earliest_start(id) {
                    return false;
                }
                if job.is_gang() {
                    self.try_start_gang(env, candidate, id, scope)
                } else {
                    self.try_start_task(env, candidate, id, scope)
                }
            }
        }
    }

    /// Returns the time before which a job must not start, since a previous owner's
    /// tasks of it may run on hosts that have not reported.
    fn earliest_start(&self, id: &id::Job) -> Duration {
        let is_inherited = self.jobs.get(id).is_some_and(|job| job.accepted_at < self.active_since);
        if is_inherited { self.unseen_tasks_until } else { Duration::ZERO }
    }

    fn try_start_request(
        &mut self,
        env: &mut Env<'_, '_>,
        candidate: &Candidate,
        token: Token,
        scope: Scope,
    ) -> bool {
        let Some(pending) = self.requests.get(&token) else {
            return false;
        };
        if !self.may_fit(env.now(), pending.shape, scope) {
            return false;
        }
        let query = self.shapes.get(pending.shape).query();
        let Some(host) = self.table.find(env.now(), &query).cloned() else {
            self.shapes.mark_unfit(pending.shape);
            return false;
        };
        self.start_request(env, candidate, token, host);
        true
    }

    fn try_start_task(
        &mut self,
        env: &mut Env<'_, '_>,
        candidate: &Candidate,
        id: &id::Job,
        scope: Scope,
    ) -> bool {
        let Some(job) = self.jobs.get(id) else {
            return false;
        };
        let shape = job.shape;
        if !self.may_fit(env.now(), shape, scope) {
            return false;
        }
        let mut query = self.shapes.get(shape).query();
        query.avoid = job.avoided_host.as_ref();
        let mut found = self.table.find(env.now(), &query);
        if found.is_none() && query.avoid.is_some() {
            query.avoid = None;
            found = self.table.find(env.now(), &query);
        }
        let Some(host) = found.cloned() else {
            self.shapes.mark_unfit(shape);
            return candidate.class == Class::Urgent && self.preempt_for(env, id);
        };
        self.start_task(env, candidate, id, host);
        true
    }

    /// Starts either all waiting tasks of a gang or none.
    fn try_start_gang(
        &mut self,
        env: &mut Env<'_, '_>,
        candidate: &Candidate,
        id: &id::Job,
        scope: Scope,
    ) -> bool {
        let Some(job) = self.jobs.get(id) else {
            return false;
        };
        let (shape, count) = (job.shape, job.waiting.len());
        let fits_limit = usize::try_from(self.headroom(env.config, &candidate.team))
            .is_ok_and(|headroom| headroom >= count);
        if !fits_limit {
            return false;
        }
        let holds_reservation = self.holds_reservation(id);
        if !holds_reservation && !self.may_fit(env.now(), shape, scope) {
            self.reserve_if_overdue(env, id);
            return false;
        }
        let shape = self.shapes.get(shape).clone();
        let mut query = shape.query();
        query.holds_reservation = holds_reservation;
        let mut hosts = Vec::new();
        while hosts.len() < count {
            let Some(host) = self.table.find(env.now(), &query).cloned() else {
                break;
            };
            self.table.allocate(&host, &shape.size);
            hosts.push(host);
        }
        for host in &hosts {
            self.table.release(host, &shape.size);
        }
        if hosts.len() < count {
            self.reserve_if_overdue(env, id);
            return false;
        }
        self.drop_reservation_of(id);
        for host in hosts {
            self.start_task(env, candidate, id, host);
        }
        true
    }
}
