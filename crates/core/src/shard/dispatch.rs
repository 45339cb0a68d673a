use std::time::Duration;

use sycamore_types::{Name, id};

use super::intake;
use super::running::{Running, Stage, Work};
use super::{Env, Phase, Shard};
use crate::caller::{Answer, Token};
use crate::context::Purpose;
use crate::log::{Entry, Ticket};
use crate::queue::{Class, Item, Place, Position};
use crate::record::{Verdict, Why};
use crate::worker::{Launch, Op, Tag};

/// Time within which a start that was decided has to be sent.
pub(super) const SEND_WINDOW: Duration = Duration::from_millis(200);

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

/// Most attempts that one owner counts apart.
const ATTEMPTS_PER_EPOCH: u32 = 1 << 20;

/// Work that was picked, with what the record says about it.
struct Pick {
    class: Class,
    team: Name,
    place: Place,
    item: Item,
}

/// Something that is about to start.
struct Start {
    task: id::Task,
    running: Running,
    label: Name,
    payload: String,
    subject: String,
    why: Why,
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
        let mut served: Option<Position> = None;
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

    fn start_request(&mut self, env: &mut Env<'_, '_>, pick: &Pick, token: Token, host: Name) {
        let attempt = self.next_attempt();
        let Some(pending) = self.requests.get(&token) else {
            return;
        };
        let request = pending.request.clone();
        let since = pending.since;
        let task = id::Task { job: request.id.clone(), index: 0, attempt };
        let why = self.why(env, pick, since);
        let Some(address) = self.address(&host) else {
            return;
        };
        let running = Running {
            team: request.team.clone(),
            size: request.size,
            host: host.clone(),
            work: Work::Request(token),
            stage: Stage::Starting,
            started_at: env.now(),
            is_preemptible: false,
            run_ms: 0,
        };
        let launch = self.launch(env, &task, &running, &request.service, String::new());
        self.queue.remove(&request.team, pick.place);
        self.queue.served(&request.team, 1);
        self.add_running(env, task.clone(), running);
        if let Some(pending) = self.requests.get_mut(&token) {
            pending.stage = intake::Stage::Dispatched(task);
        }
        let verdict = Verdict::Started { host: host.clone(), why };
        self.record(env, request.id.to_string(), &request.team, verdict);
        let not_after = self.not_after(env);
        let launch = Box::new(launch);
        env.answer(token, Answer::Dispatch { host, address, launch, not_after });
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
            self.table.take(&host, &shape.size);
            hosts.push(host);
        }
        for host in &hosts {
            self.table.give_back(host, &shape.size);
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

    fn start_task(&mut self, env: &mut Env<'_, '_>, pick: &Pick, id: &id::Job, host: Name) {
        let attempt = self.next_attempt();
        let why = match self.jobs.get(id) {
            Some(job) => self.why(env, pick, job.since),
            None => return,
        };
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let Some(index) = job.waiting.first().copied() else {
            return;
        };
        job.started(index);
        let spec = &job.submission.spec;
        let running = Running {
            team: pick.team.clone(),
            size: spec.size,
            host,
            work: Work::Job,
            stage: Stage::Starting,
            started_at: env.now(),
            is_preemptible: spec.restartable && !spec.urgent,
            run_ms: spec.run_ms,
        };
        let start = Start {
            task: id::Task { job: id.clone(), index, attempt },
            label: spec.queue.clone(),
            payload: spec.payload.clone(),
            subject: format!("{id}/{index}"),
            running,
            why,
        };
        if job.waiting.is_empty() {
            self.dequeue(id);
        }
        self.queue.served(&pick.team, 1);
        self.send_start(env, start);
    }

    fn send_start(&mut self, env: &mut Env<'_, '_>, start: Start) {
        let Start { task, running, label, payload, subject, why } = start;
        let host = running.host.clone();
        let team = running.team.clone();
        let launch = self.launch(env, &task, &running, &label, payload);
        self.add_running(env, task.clone(), running);
        self.record(env, subject, &team, Verdict::Started { host: host.clone(), why });
        let runs_once = self.jobs.get(&task.job).is_some_and(|job| job.runs_once());
        if runs_once {
            self.log_start(task, launch);
        } else {
            self.send_launch(env, task, &host, launch);
        }
    }

    /// Puts a start on record before it is sent.
    ///
    /// The task must not run twice, so a successor has to know that it may
    /// have run, also when its host is gone.
    fn log_start(&mut self, task: id::Task, launch: Launch) {
        if let Some(running) = self.running.get_mut(&task) {
            running.stage = Stage::Logging;
        }
        let entry = Entry::Started { job: task.job.clone(), index: task.index };
        self.log.push(entry, Ticket::Start(task.clone()));
        self.launches.insert(task, launch);
    }

    /// Sends a start that is on record, unless it has become unwanted.
    pub(super) fn send_logged(&mut self, env: &mut Env<'_, '_>, task: &id::Task) {
        let Some(launch) = self.launches.remove(task) else {
            return;
        };
        let Some(running) = self.running.get_mut(task) else {
            return;
        };
        let is_cancelled = self.jobs.get(&task.job).is_none_or(|job| job.is_cancelled);
        let may_act = env.deadline.is_some_and(|end| env.cx.now < end);
        if is_cancelled || !may_act || self.phase != Phase::Active {
            let team = running.team.clone();
            self.remove_running(env, task);
            self.return_not_started(env, task, &team);
            return;
        }
        running.stage = Stage::Starting;
        running.started_at = env.cx.now;
        let host = running.host.clone();
        self.send_launch(env, task.clone(), &host, launch);
    }

    fn send_launch(&mut self, env: &mut Env<'_, '_>, task: id::Task, host: &Name, launch: Launch) {
        let not_after = self.not_after(env);
        if let Some(address) = self.address(host) {
            let op = Op::Start { launch, not_after };
            env.cx.worker(Purpose::Start(self.id.clone(), task), host, &address, op);
        }
    }

    fn launch(
        &self,
        env: &Env<'_, '_>,
        task: &id::Task,
        running: &Running,
        label: &Name,
        payload: String,
    ) -> Launch {
        let tag = Tag {
            team: running.team.clone(),
            size: running.size,
            epoch: self.epoch,
            is_interactive: matches!(running.work, Work::Request(_)),
            label: label.clone(),
        };
        Launch {
            task: task.clone(),
            tag,
            lease: env.cx.timing.task_lease,
            run_ms: running.run_ms,
            payload,
        }
    }

    /// Returns the time after which a start decided now must not be sent.
    fn not_after(&mut self, env: &Env<'_, '_>) -> Duration {
        self.last_start = env.now();
        let window = env.now() + SEND_WINDOW;
        env.deadline.map_or(env.now(), |deadline| deadline.min(window))
    }

    fn next_attempt(&mut self) -> u32 {
        self.attempts += 1;
        let epoch = u32::try_from(self.epoch % 4_000).unwrap_or(0);
        epoch * ATTEMPTS_PER_EPOCH + self.attempts % ATTEMPTS_PER_EPOCH
    }

    pub(super) fn address(&self, host: &Name) -> Option<Name> {
        self.table.get(host).map(|host| host.listed.address.clone())
    }

    fn why(&self, env: &Env<'_, '_>, pick: &Pick, since: Duration) -> Why {
        let next = self.queue.lane(pick.class).teams().find(|team| **team != pick.team).cloned();
        let share = |team: &Name| env.fleet.share(team, env.weight(team));
        Why {
            class: Name::from(pick.class.name()),
            share: share(&pick.team),
            next_share: next.as_ref().map_or(0.0, share),
            next_team: next,
            arrival: pick.place.arrival,
            waited_ms: u64::try_from((env.now().saturating_sub(since)).as_millis())
                .unwrap_or(u64::MAX),
        }
    }

    /// Counts something that runs, or may run.
    pub(super) fn add_running(&mut self, env: &mut Env<'_, '_>, task: id::Task, running: Running) {
        self.table.take(&running.host, &running.size);
        *self.running_by_team.entry(running.team.clone()).or_default() += 1;
        let used = self.used_by_team.entry(running.team.clone()).or_default();
        *used = used.plus(&running.size);
        env.fleet.started(&running.team, &running.size);
        let rank = env.rank(&running.team);
        self.queue.set_rank(&running.team, rank);
        self.polls.entry(running.host.clone()).or_default().tasks.insert(task.clone());
        self.running.insert(task, running);
    }

    /// Stops counting something that certainly does not run any more.
    pub(super) fn remove_running(
        &mut self,
        env: &mut Env<'_, '_>,
        task: &id::Task,
    ) -> Option<Running> {
        let running = self.running.remove(task)?;
        self.table.give_back(&running.host, &running.size);
        if let Some(count) = self.running_by_team.get_mut(&running.team) {
            *count = count.saturating_sub(1);
        }
        if let Some(used) = self.used_by_team.get_mut(&running.team) {
            *used = used.minus(&running.size);
        }
        env.fleet.ended(&running.team, &running.size);
        let rank = env.rank(&running.team);
        self.queue.set_rank(&running.team, rank);
        if let Some(poll) = self.polls.get_mut(&running.host) {
            poll.tasks.remove(task);
        }
        self.note_room(env, &running);
        Some(running)
    }

    /// Decides whether room that was given back calls for another look.
    fn note_room(&mut self, env: &Env<'_, '_>, running: &Running) {
        if self.queue.total() == 0 {
            return;
        }
        self.freed.insert(running.host.clone());
        // The team may have been held up by its limit alone, and then has work
        // that fits on other hosts too.
        let lifts_limit = self.headroom(env.config, &running.team) == 1;
        if lifts_limit && let Some((place, _)) = self.queue.first(&running.team) {
            self.fresh.insert((running.team.clone(), place));
        }
    }
}
