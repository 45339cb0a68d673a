use std::time::Duration;

use sycamore_types::{Name, id};

use super::{Env, Phase, Shard};
use crate::caller::Token;
use crate::queue::{Class, Item, Place, TeamRank};

/// Pieces of work per team that a look at all hosts considers.
///
/// Work that does not fit is passed over, so a large job does not block the
/// small ones behind it; the bound keeps the cost of one look small.
const DEPTH: usize = 16;

/// Pieces of work per team that a look at few hosts considers.
///
/// The team with the smallest share must find something that fits, or room
/// would go to whoever has small work at the front of its queue.
const DEPTH_FREED: usize = 128;

/// Where a look searches for room.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Look {
    /// On all hosts.
    All,
    /// On hosts where room was given back since the last look.
    Freed,
}

/// Work that was picked, with what the record says about it.
pub(super) struct Pick {
    pub(super) class: Class,
    pub(super) team: Name,
    pub(super) place: Place,
    item: Item,
}

impl Shard {
    /// Starts all work that may start now, in the order of fairness.
    pub(super) fn schedule(&mut self, env: &mut Env<'_, '_>) {
        if self.phase != Phase::Active || env.deadline.is_none_or(|end| env.now() >= end) {
            return;
        }
        if self.is_dirty {
            self.is_dirty = false;
            self.fresh.clear();
            self.freed.clear();
            self.shapes.clear_notes();
            self.serve(env, Look::All);
        }
        for (team, place) in std::mem::take(&mut self.fresh) {
            self.serve_fresh(env, team, place);
        }
        if !self.freed.is_empty() {
            self.serve(env, Look::Freed);
            self.freed.clear();
        }
    }

    fn serve(&mut self, env: &mut Env<'_, '_>, look: Look) {
        for class in Class::ALL {
            self.serve_lane(env, class, look);
        }
    }

    /// Starts new work, as far as there is room for it.
    ///
    /// All other work has been looked at since room was last given back, so
    /// nothing is overtaken that could start.
    fn serve_fresh(&mut self, env: &mut Env<'_, '_>, team: Name, place: Place) {
        let class = place.class;
        while self.headroom(env.config, &team) > 0 {
            // Work leaves the queue with the last of its starts.
            let Some(item) = self.queue.lane(class).get(&team, place).cloned() else {
                return;
            };
            let pick = Pick { class, team: team.clone(), place, item };
            if !self.try_pick(env, &pick, Look::All) {
                return;
            }
        }
    }

    /// Serves one lane until nothing in it can start.
    fn serve_lane(&mut self, env: &mut Env<'_, '_>, class: Class, look: Look) {
        // A start only moves its team back in the order, so every team up to
        // this position has nothing that can start.
        let mut served: Option<TeamRank> = None;
        while let Some(next) = self.queue.lane(class).after(served.as_ref()) {
            if !self.serve_team(env, class, &next.1, look) {
                served = Some(next);
            }
        }
    }

    /// Starts the first piece of a team's work that can start.
    fn serve_team(&mut self, env: &mut Env<'_, '_>, class: Class, team: &Name, look: Look) -> bool {
        if self.headroom(env.config, team) == 0 {
            return false;
        }
        let lane = self.queue.lane(class);
        let items: Vec<(Place, Item)> = match look {
            Look::Freed => lane.fitting(team, self.freed_cpu(), DEPTH_FREED),
            Look::All => {
                let first = lane.items(team).take(DEPTH);
                first.map(|(place, item)| (*place, item.clone())).collect()
            }
        };
        for (place, item) in items {
            let pick = Pick { class, team: team.clone(), place, item };
            if self.try_pick(env, &pick, look) {
                return true;
            }
        }
        false
    }

    /// Returns the most processor time that is free on a host with room given back.
    fn freed_cpu(&self) -> u32 {
        let hosts = self.freed.iter().filter_map(|name| self.table.get(name));
        let open = hosts.map(|host| host.free()).filter(|free| free.slots > 0);
        open.map(|free| free.cpu_millis).max().unwrap_or(0)
    }

    /// Tells whether work of a shape fits where the look searches.
    fn is_candidate(&self, now: Duration, shape: usize, look: Look) -> bool {
        match look {
            Look::All => !self.shapes.is_unfit(shape),
            Look::Freed => {
                let fit = self.shapes.get(shape).fit();
                self.freed.iter().any(|host| self.table.fits_on(now, host, &fit))
            }
        }
    }

    fn try_pick(&mut self, env: &mut Env<'_, '_>, pick: &Pick, look: Look) -> bool {
        match &pick.item {
            Item::Request(token) => self.try_request(env, pick, *token, look),
            Item::Job(id) => {
                let Some(job) = self.jobs.get(id) else {
                    return false;
                };
                if !job.is_startable(env.now()) || env.now() < self.hold_of(id) {
                    return false;
                }
                if job.is_gang() {
                    self.try_gang(env, pick, id, look)
                } else {
                    self.try_task(env, pick, id, look)
                }
            }
        }
    }

    /// Returns the time before which a job's tasks may run unseen elsewhere.
    fn hold_of(&self, id: &id::Job) -> Duration {
        let is_from_before = self.jobs.get(id).is_some_and(|job| job.since < self.active_since);
        if is_from_before { self.held_until } else { Duration::ZERO }
    }

    fn try_request(
        &mut self,
        env: &mut Env<'_, '_>,
        pick: &Pick,
        token: Token,
        look: Look,
    ) -> bool {
        let Some(pending) = self.requests.get(&token) else {
            return false;
        };
        if !self.is_candidate(env.now(), pending.shape, look) {
            return false;
        }
        let fit = self.shapes.get(pending.shape).fit();
        let Some(host) = self.table.find(env.now(), &fit).cloned() else {
            self.shapes.note_unfit(pending.shape);
            return false;
        };
        self.start_request(env, pick, token, host);
        true
    }

    fn try_task(&mut self, env: &mut Env<'_, '_>, pick: &Pick, id: &id::Job, look: Look) -> bool {
        let Some(job) = self.jobs.get(id) else {
            return false;
        };
        let shape = job.shape;
        if !self.is_candidate(env.now(), shape, look) {
            return false;
        }
        let mut fit = self.shapes.get(shape).fit();
        fit.avoid = job.avoid.as_ref();
        let mut found = self.table.find(env.now(), &fit);
        if found.is_none() && fit.avoid.is_some() {
            fit.avoid = None;
            found = self.table.find(env.now(), &fit);
        }
        let Some(host) = found.cloned() else {
            self.shapes.note_unfit(shape);
            return pick.class == Class::Urgent && self.make_room(env, id);
        };
        self.start_task(env, pick, id, host);
        true
    }

    /// Starts every waiting task of a gang, or none.
    fn try_gang(&mut self, env: &mut Env<'_, '_>, pick: &Pick, id: &id::Job, look: Look) -> bool {
        let Some(job) = self.jobs.get(id) else {
            return false;
        };
        let (shape, count) = (job.shape, job.waiting.len());
        let fits_limit =
            usize::try_from(self.headroom(env.config, &pick.team)).is_ok_and(|room| room >= count);
        if !fits_limit {
            return false;
        }
        let holds_reservation = self.holds_reservation(id);
        if !holds_reservation && !self.is_candidate(env.now(), shape, look) {
            self.consider_reservation(env, id);
            return false;
        }
        let shape = self.shapes.get(shape).clone();
        let mut fit = shape.fit();
        fit.holds_reservation = holds_reservation;
        let mut hosts = Vec::new();
        while hosts.len() < count {
            let Some(host) = self.table.find(env.now(), &fit).cloned() else {
                break;
            };
            self.table.allocate(&host, &shape.size);
            hosts.push(host);
        }
        for host in &hosts {
            self.table.release(host, &shape.size);
        }
        if hosts.len() < count {
            self.consider_reservation(env, id);
            return false;
        }
        self.drop_reservation_of(id);
        for host in hosts {
            self.start_task(env, pick, id, host);
        }
        true
    }
}
