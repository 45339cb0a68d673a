//! Decides which hosts the advice service is asked about, and when.
//!
//! The answer for a step and a host never changes, so that each host is asked about once per
//! step. Only allowed hosts are asked about again, to renew an expired ticket. A step makes new
//! calls only when none of its calls is in flight; the calls of a gang go out together.

use std::cmp::Reverse;
use std::collections::hash_map::Entry;

use sycamore_types::Name;

use super::Engine;
use super::candidates::{Candidate, HostViews, Room, Sample, Search};
use super::demand::Demand;
use super::placement::has_capacity_for;
use crate::catalog::AdviceCost;
use crate::progress::{EndedCall, Ticket};
use crate::{Action, Advise, CallClass, StepId, WaitReason};

/// Most hosts in one call: the platform's documented maximum.
const MAX_HOSTS_PER_CALL: usize = 100;

/// Hosts in one of several calls at the same time for a gang. Fewer would spend most of the
/// service's time on the fixed part of each call.
const HOSTS_PER_PARALLEL_CALL: usize = 35;

/// Fraction of hosts that is expected to be allowed while a queue has no answers yet.
const INITIAL_ALLOW_RATE: f64 = 0.4;

/// Weight of the newest answer in the moving average of the allowed fraction.
const ALLOW_RATE_SMOOTHING: f64 = 0.1;

/// Capacity to ask for, in multiples of the need, because some hosts fill up during the
/// call.
const CAPACITY_MARGIN_FACTOR: f64 = 1.3;

/// Capacity that the allowed hosts of a gang should have when idle, in multiples of its
/// need.
const GANG_CAPACITY_FACTOR: u32 = 3;

/// Factor by which a sum in one order has to exceed a limit so that the sum in any order does.
const ROUNDING_FACTOR: f64 = 1.000_001;

/// Calls in flight that steps whose start has no value any more leave to others that may come: the one
/// that waits for the first free host. All hosts may call for these steps, then.
const RESERVED_CALLS: u32 = 1;

/// Divisor of the limit of calls in flight for those steps while others have to wait for a free
/// call.
const HOPELESS_CALLS_DIVISOR: u32 = 2;

/// Time for which that divisor holds after another step has waited, in milliseconds.
const HOPELESS_LIMIT_MS: u64 = 2_000;

/// Time between the expected end of a call and the dispatch pass that uses its tickets, in
/// milliseconds. Calls end 4 to 12 ms late and passes take up to 92 ms.
const GANG_TICKET_MARGIN_MS: u64 = 150;

/// Pause of a step after a search that found no host to ask about, in milliseconds. A tenth of
/// the shortest objective.
const FRUITLESS_SEARCH_PAUSE_MS: u64 = 25;

/// Pause of a step after a failed advice call, in milliseconds.
const ADVICE_RETRY_MS: u64 = 100;

/// Number of failed calls of a step in a row after which its calls name fewer hosts. The first ones
/// may fail by the processes that make them.
const MAX_FAILURES_OF_WHOLE_CALLS: u32 = 2;

impl Engine {
    /// Returns why a step can neither start with its tickets nor request new ones now.
    /// `None` if it may be able to, or if its queue needs no advice.
    pub(super) fn advice_wait_reason(
        &mut self,
        demand: &Demand,
        views: &HostViews,
    ) -> Option<WaitReason> {
        let job = self.jobs.get(&demand.step_id.job)?;
        let cost = self.queues.get(&job.queue)?.advice?;
        let advice = &job.step(demand.step_id)?.advice;
        let now_ms = self.now.monotonic_ms;
        let min_expiry_ms = self.min_ticket_expiry_ms();
        if advice.allowed.values().any(|ticket| ticket.expires_ms > min_expiry_ms) {
            return None;
        }
        if advice.calls_in_flight > 0 {
            return Some(WaitReason::AdvicePending);
        }
        if now_ms < advice.not_before_ms {
            let has_failed = advice.failures() > 0;
            let no_room = || views.no_room_reason(&demand.footprint);
            return Some(if has_failed { WaitReason::AdvicePending } else { no_room() });
        }
        if self.may_call(demand, cost) {
            return None;
        }
        self.record_refused_call(demand, cost);
        Some(WaitReason::AdviceBusy)
    }

    /// Returns whether a call of some length may be made for a step.
    fn may_call(&self, demand: &Demand, cost: AdviceCost) -> bool {
        let shortest = CallClass::of(cost.call_ms(1));
        let longest = CallClass::of(cost.call_ms(MAX_HOSTS_PER_CALL));
        let is_free = |class: &CallClass| self.has_free_call(demand, *class);
        CallClass::ALL.iter().filter(|class| (shortest..=longest).contains(class)).any(is_free)
    }

    /// Returns whether fewer than half of the calls of a duration that may be in flight are.
    fn has_idle_callers(&self, cost_ms: f64) -> bool {
        let class = CallClass::of(cost_ms) as usize;
        self.advice_calls[class] < self.advice_limits[class] / 2
    }

    fn has_free_call(&self, demand: &Demand, class: CallClass) -> bool {
        let limit = self.advice_limits[class as usize];
        let limit = match demand.is_hopeless {
            true if demand.is_in_turn && !self.has_hopeless_call(class) => limit,
            true => self.hopeless_limit(class, limit),
            false => limit.saturating_sub(self.calls_left_to_hopeless_steps(class)),
        };
        self.advice_calls[class as usize] < limit
    }

    /// Returns the limit of calls in flight for steps whose start has no value any more.
    fn hopeless_limit(&self, class: CallClass, limit: u32) -> u32 {
        let shared = limit.div_ceil(HOPELESS_CALLS_DIVISOR);
        let refused_ms = self.live_call_refused_ms[class as usize];
        let is_shared = refused_ms.is_some_and(|at| self.now.monotonic_ms < at + HOPELESS_LIMIT_MS);
        if is_shared { shared } else { shared.max(limit.saturating_sub(RESERVED_CALLS)) }
    }

    /// Records that a step has to wait for a free call, of any length that its queue has.
    fn record_refused_call(&mut self, demand: &Demand, cost: AdviceCost) {
        let shortest = CallClass::of(cost.call_ms(1));
        let longest = CallClass::of(cost.call_ms(MAX_HOSTS_PER_CALL));
        let classes =
            CallClass::ALL.into_iter().filter(|class| (shortest..=longest).contains(class));
        classes.for_each(|class| self.record_refused_class(demand, class));
    }

    fn record_refused_class(&mut self, demand: &Demand, class: CallClass) {
        if !demand.is_hopeless {
            self.live_call_refused_ms[class as usize] = Some(self.now.monotonic_ms);
        } else if demand.is_in_turn {
            self.record_refused_turn(class);
        }
    }

    /// Returns the time that a ticket's expiry has to exceed to be used now, in
    /// milliseconds.
    fn min_ticket_expiry_ms(&self) -> u64 {
        self.now.monotonic_ms + self.timing.ticket_margin_ms
    }

    /// Returns the candidates with a valid ticket and, if these have too little capacity and a
    /// call may be made, the hosts to ask about.
    pub(super) fn advised_candidates(
        &self,
        demand: &Demand,
        cost: AdviceCost,
        search: &Search<'_>,
    ) -> (Vec<Candidate>, Option<Vec<Name>>) {
        let min_expiry_ms = self.min_ticket_expiry_ms();
        let groups = AdviceGroups::new(search, min_expiry_ms);
        let preferred = groups.without_avoided();
        let advice = &search.progress.advice;
        if advice.calls_in_flight > 0 || has_capacity_for(&preferred.ready, demand.wanted()) {
            return (preferred.ready, None);
        }
        if self.now.monotonic_ms < advice.not_before_ms || !self.may_call(demand, cost) {
            return (groups.ready, None);
        }
        let rate = self.allow_rate(demand.step_id);
        let mut asked = preferred.hosts_to_ask(demand, rate, cost, search, min_expiry_ms);
        let mut ready = preferred.ready;
        if asked.is_empty() {
            asked = groups.hosts_to_ask(demand, rate, cost, search, min_expiry_ms);
            ready = groups.ready;
        }
        let asked = part_to_ask(&asked, advice.failures());
        let hosts = asked.iter().map(|index| search.host(*index)).collect();
        (ready, Some(hosts))
    }

    /// Returns the estimated fraction of hosts that advice allows for a step.
    fn allow_rate(&self, step_id: StepId) -> f64 {
        let queue = self.jobs.get(&step_id.job).map(|job| &job.queue);
        let rate = queue.and_then(|queue| self.allow_rate.get(queue));
        rate.copied().unwrap_or(INITIAL_ALLOW_RATE)
    }

    /// Requests advice about hosts, as far as calls of that length may be in flight. If there is
    /// none to ask about, the step pauses, as the search for them is the dearest part of a pass.
    pub(super) fn request_advice(&mut self, demand: &Demand, hosts: Vec<Name>, cost: AdviceCost) {
        let now_ms = self.now.monotonic_ms;
        let step_id = demand.step_id;
        if hosts.is_empty() {
            let step = self.jobs.get_mut(&step_id.job).and_then(|job| job.step_mut(step_id));
            if let Some(step) = step {
                step.advice.not_before_ms = now_ms + FRUITLESS_SEARCH_PAUSE_MS;
            }
            return;
        }
        // The answers come sooner, at the cost of a call's fixed duration.
        let is_split = demand.is_gang && self.has_idle_callers(cost.call_ms(hosts.len()));
        let calls = if is_split { hosts.len().div_ceil(HOSTS_PER_PARALLEL_CALL) } else { 1 };
        for part in hosts.chunks(hosts.len().div_ceil(calls)) {
            let cost_ms = cost.call_ms(part.len());
            let class = CallClass::of(cost_ms);
            // Steps are handled in order of rank, so the most urgent ones get the available
            // calls.
            if !self.has_free_call(demand, class) {
                self.record_refused_class(demand, class);
                return;
            }
            let Some(step) = self.jobs.get_mut(&step_id.job).and_then(|job| job.step_mut(step_id))
            else {
                return;
            };
            self.advice_calls[class as usize] += 1;
            if demand.is_hopeless {
                self.hopeless_calls.entry(step_id).or_default()[class as usize] += 1;
            }
            if step.advice.calls_in_flight == 0 {
                step.advice.turn.begin_request();
            }
            step.advice.calls_in_flight += 1;
            let waited_ms = now_ms.saturating_sub(step.uncalled_since_ms().unwrap_or(now_ms));
            let (step, hosts) = (step_id, part.to_vec());
            self.actions.push(Action::Advise(Advise { step, class, hosts, cost_ms, waited_ms }));
        }
    }

    pub(super) fn handle_advice(
        &mut self,
        step_id: StepId,
        class: CallClass,
        asked: Vec<Name>,
        allowed: Option<Vec<(Name, Name)>>,
        issued_ms: u64,
    ) {
        let now_ms = self.now.monotonic_ms;
        self.needs_dispatch = true;
        // The call no longer counts as in flight, even if its step is gone.
        self.advice_calls[class as usize] = self.advice_calls[class as usize].saturating_sub(1);
        if let Entry::Occupied(mut entry) = self.hopeless_calls.entry(step_id) {
            let calls = entry.get_mut();
            calls[class as usize] = calls[class as usize].saturating_sub(1);
            if *calls == [0; CallClass::COUNT] {
                entry.remove();
            }
        }
        let Some(job) = self.jobs.get_mut(&step_id.job) else { return };
        let queue = job.queue.clone();
        let valid_ms = self.queues.get(&queue).and_then(|queue| queue.advice).map(|a| a.valid_ms);
        let Some(step) = job.step_mut(step_id) else { return };
        step.advice.calls_in_flight = step.advice.calls_in_flight.saturating_sub(1);
        let failures = step.advice.failures();
        let failures = if allowed.is_some() { 0 } else { failures.saturating_add(1) };
        step.advice.last_call = Some(EndedCall { at_ms: now_ms, failures });
        let Some(allowed) = allowed else {
            step.advice.not_before_ms = now_ms + ADVICE_RETRY_MS;
            return;
        };
        let expires_ms = issued_ms + valid_ms.unwrap_or(0);
        if !allowed.is_empty() {
            step.advice.turn.extend(expires_ms);
        }
        let rate = self.allow_rate.entry(queue).or_insert(INITIAL_ALLOW_RATE);
        for name in &asked {
            let Some(number) = self.hosts.get(name).map(|host| host.number) else { continue };
            let ticket = allowed.iter().find(|(host, _)| host == name);
            let advice = &mut step.advice;
            if !advice.allowed.contains_key(&number) && !advice.denied.contains(&number) {
                *rate += ALLOW_RATE_SMOOTHING * (f64::from(u8::from(ticket.is_some())) - *rate);
            }
            match ticket {
                Some((_, token)) => {
                    let ticket = Ticket { token: token.clone(), expires_ms };
                    advice.allowed.insert(number, ticket);
                }
                None => {
                    advice.denied.insert(number);
                }
            }
        }
    }
}

/// Returns the part of some hosts that a call is made about after so many failed calls of the step.
///
/// The service may reject each call that names one of them. With each failure the parts are halved
/// and another one is chosen, until a call leaves that host out.
fn part_to_ask(hosts: &[usize], failures: u32) -> &[usize] {
    let halvings = failures.saturating_sub(MAX_FAILURES_OF_WHOLE_CALLS);
    let parts = 1 << halvings.min(MAX_HOSTS_PER_CALL.ilog2() + 1);
    let mut parts = hosts.chunks(hosts.len().div_ceil(parts).max(1));
    let chosen = failures as usize % parts.len().max(1);
    parts.nth(chosen).unwrap_or(hosts)
}

/// Candidates for a step, grouped by what advice says about them.
struct AdviceGroups {
    /// Allowed, with a valid ticket.
    ready: Vec<Candidate>,
    /// All allowed hosts, each with the expiry of its last ticket in milliseconds.
    allowed: Vec<(Candidate, u64)>,
}

impl AdviceGroups {
    fn new(search: &Search<'_>, min_expiry_ms: u64) -> AdviceGroups {
        let mut groups = AdviceGroups { ready: Vec::new(), allowed: Vec::new() };
        let tickets = &search.progress.advice.allowed;
        for candidate in search.allowed() {
            let expires_ms =
                tickets.get(&search.number(&candidate)).map_or(0, |ticket| ticket.expires_ms);
            if expires_ms > min_expiry_ms {
                groups.ready.push(candidate);
            }
            groups.allowed.push((candidate, expires_ms));
        }
        groups
    }

    /// Returns the groups without the hosts that are used only if no other has room.
    fn without_avoided(&self) -> AdviceGroups {
        let ready = self.ready.iter().filter(|candidate| !candidate.is_avoided);
        let allowed = self.allowed.iter().filter(|(candidate, _)| !candidate.is_avoided);
        AdviceGroups { ready: ready.copied().collect(), allowed: allowed.copied().collect() }
    }

    /// Returns the hosts to ask about, or none if asking does not help now.
    fn hosts_to_ask(
        &self,
        demand: &Demand,
        rate: f64,
        cost: AdviceCost,
        search: &Search<'_>,
        min_expiry_ms: u64,
    ) -> Vec<usize> {
        let wanted = demand.wanted();
        let idle_capacity: u32 =
            self.allowed.iter().map(|(candidate, _)| candidate.fits_idle).sum();
        let capacity: u32 = self.allowed.iter().map(|(candidate, _)| candidate.fits_now).sum();
        match (demand.is_gang, capacity >= wanted) {
            (true, true) => self.gang_renewals(wanted, cost, 0, min_expiry_ms),
            (true, false) => {
                let mut chosen = Vec::new();
                // The more hosts are allowed, the sooner all members of the gang fit at
                // once.
                let extra = (wanted * GANG_CAPACITY_FACTOR).saturating_sub(idle_capacity);
                if extra > 0 {
                    let wish = Wish { missing: extra, rate, counts_full_hosts: true };
                    chosen = wish.choose(search, demand.step_id, 0).0;
                }
                if chosen.is_empty() {
                    // The allowed hosts may stay full while other hosts are idle.
                    let missing = wanted - capacity;
                    let wish = Wish { missing, rate, counts_full_hosts: false };
                    let (found, expected) =
                        wish.choose(search, demand.step_id, demand.footprint.cpu_millis);
                    if expected >= f64::from(missing) {
                        chosen = found;
                    }
                }
                let fitting = |index: &usize| search.tasks_that_fit(*index);
                let new_capacity = rate * f64::from(chosen.iter().map(fitting).sum::<u32>());
                if f64::from(capacity) + new_capacity >= f64::from(wanted) {
                    // The gang may start with the answer only if all tickets hold then.
                    let mut renewed = self.gang_renewals(wanted, cost, chosen.len(), min_expiry_ms);
                    chosen.truncate(MAX_HOSTS_PER_CALL - renewed.len());
                    renewed.append(&mut chosen);
                    chosen = renewed;
                }
                chosen
            }
            (false, true) => self.renewals(wanted, min_expiry_ms),
            (false, false) => {
                let missing = wanted - capacity;
                let wish = Wish { missing, rate, counts_full_hosts: false };
                let chosen = wish.choose(search, demand.step_id, demand.footprint.cpu_millis).0;
                if chosen.is_empty() { self.renewals(wanted, min_expiry_ms) } else { chosen }
            }
        }
    }

    /// Returns the hosts whose renewal gives a gang valid tickets for all members at the
    /// same time, with some spare hosts in case others fill up during the call. The call is also
    /// about `others` new hosts.
    fn gang_renewals(
        &self,
        wanted: u32,
        cost: AdviceCost,
        others: usize,
        min_expiry_ms: u64,
    ) -> Vec<usize> {
        let wanted = (f64::from(wanted) * CAPACITY_MARGIN_FACTOR) as u32;
        let renewed = self.renewals(wanted, u64::MAX).len();
        let call_ms = cost.call_ms((renewed + others).min(MAX_HOSTS_PER_CALL));
        let mut chosen =
            self.renewals(wanted, min_expiry_ms + call_ms as u64 + GANG_TICKET_MARGIN_MS);
        chosen.truncate(MAX_HOSTS_PER_CALL);
        chosen
    }

    /// Returns the fewest allowed hosts with tickets that expire by `until_ms` whose
    /// renewal, together with the longer-lived tickets, covers `wanted` tasks.
    fn renewals(&self, wanted: u32, until_ms: u64) -> Vec<usize> {
        let (lasting, mut stale): (Vec<_>, Vec<_>) =
            self.allowed.iter().partition(|(_, expires_ms)| *expires_ms > until_ms);
        let lasting: u32 = lasting.iter().map(|(candidate, _)| candidate.fits_now).sum();
        let mut missing = wanted.saturating_sub(lasting);
        stale.sort_by_key(|(candidate, _)| Reverse(candidate.fits_now));
        let mut chosen = Vec::new();
        for (candidate, _) in stale {
            if missing == 0 || candidate.fits_now == 0 {
                break;
            }
            missing = missing.saturating_sub(candidate.fits_now);
            chosen.push(candidate.index);
        }
        chosen
    }
}

/// Capacity wanted of hosts that advice was never asked about.
#[derive(Clone, Copy, Debug)]
struct Wish {
    /// Tasks that the known hosts have no room for.
    missing: u32,
    /// Fraction of the hosts that is expected to be allowed.
    rate: f64,
    /// Whether hosts that are full now are counted, by their idle capacity.
    counts_full_hosts: bool,
}

impl Wish {
    /// Returns the hosts to ask about, enough to expect capacity for the missing tasks, and the
    /// capacity expected of them in tasks. Hosts with the most room come first, so that the
    /// search ends once no further host can be among them.
    ///
    /// On a large site, a sample of the hosts comes before all of them. Otherwise all steps would
    /// ask about the same hosts at the same time and take them from each other.
    fn choose(&self, search: &Search<'_>, step_id: StepId, min_cpu: u32) -> (Vec<usize>, f64) {
        let sample = search.sample(step_id);
        let (chosen, expected) = self.choose_in(search, sample, min_cpu);
        if sample.is_all() || self.is_met(chosen.len(), expected) {
            return (chosen, expected);
        }
        self.choose_in(search, Sample::ALL, min_cpu)
    }

    fn choose_in(&self, search: &Search<'_>, sample: Sample, min_cpu: u32) -> (Vec<usize>, f64) {
        let found = search.unknown(min_cpu, sample, |found, bound| self.is_settled(found, bound));
        let choice = self.choose_among(&found);
        debug_assert_eq!(choice, self.choose_among(&search.unknown(min_cpu, sample, |_, _| false)));
        choice
    }

    fn choose_among(&self, unknown: &[Candidate]) -> (Vec<usize>, f64) {
        let mut order: Vec<&Candidate> =
            unknown.iter().filter(|candidate| self.fitting_tasks(candidate) > 0).collect();
        order.sort_by_key(|candidate| {
            let room = Reverse(candidate.room());
            (candidate.is_avoided, candidate.is_slow, !candidate.is_near, room)
        });
        let mut expected = 0.0;
        let mut chosen = Vec::new();
        for candidate in order {
            if self.is_met(chosen.len(), expected) {
                break;
            }
            expected += self.expected(candidate);
            chosen.push(candidate.index);
        }
        (chosen, expected)
    }

    /// Returns whether the candidates found are enough without any further one that has at most
    /// the room of `bound`. Only those that come before all such hosts count.
    fn is_settled(&self, found: &[Candidate], bound: Room) -> bool {
        if bound.fits_now == 0 && !self.counts_full_hosts {
            return true;
        }
        let is_first = |candidate: &&Candidate| {
            !candidate.is_avoided
                && !candidate.is_slow
                && candidate.is_near
                && candidate.room() >= bound
                && self.fitting_tasks(candidate) > 0
        };
        let first = found.iter().filter(is_first);
        let (hosts, expected) = first.fold((0, 0.0), |(hosts, expected), candidate| {
            (hosts + 1, expected + self.expected(candidate))
        });
        hosts >= MAX_HOSTS_PER_CALL || expected > self.needed() * ROUNDING_FACTOR
    }

    /// Returns whether a choice of hosts needs no more of them.
    fn is_met(&self, hosts: usize, expected: f64) -> bool {
        expected >= self.needed() || hosts >= MAX_HOSTS_PER_CALL
    }

    fn needed(&self) -> f64 {
        f64::from(self.missing) * CAPACITY_MARGIN_FACTOR
    }

    fn expected(&self, candidate: &Candidate) -> f64 {
        self.rate * f64::from(self.fitting_tasks(candidate).min(self.missing))
    }

    fn fitting_tasks(&self, candidate: &Candidate) -> u32 {
        if self.counts_full_hosts { candidate.fits_idle } else { candidate.fits_now }
    }
}
