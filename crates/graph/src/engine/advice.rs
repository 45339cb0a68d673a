//! Which workers the advice service is asked about, and when.
//!
//! The answer for a worker never changes, so that each is asked about once; only
//! the chosen ones are asked about again when their ticket has run out. One call
//! is under way for a step at a time.

use std::cmp::Reverse;

use sycamore_types::Name;

use super::Engine;
use super::dispatch::Demand;
use super::plan::enough;
use super::room::{Candidate, Spots};
use crate::catalog::AdviceCost;
use crate::progress::{self, Ticket};
use crate::{Action, Advise, CallClass, StepId, WaitReason};

/// Most workers in one call. Platform documentation: at most 100; more than 40 costs
/// more than a second call.
const MAX_ASKED: usize = 40;

/// Most workers in one call that renews the tickets of a gang. Platform documentation.
const MAX_RENEWED: usize = 100;

/// Part of the workers that are expected to be allowed before anything is known.
const FIRST_RATE: f64 = 0.4;

/// Weight of the newest answer in the learned rate.
const RATE_GAIN: f64 = 0.1;

/// Room asked for beyond the expected need, for workers that fill up meanwhile.
const SPARE_FACTOR: f64 = 1.3;

/// Room for a gang, empty or not, that its allowed workers should have together, in
/// multiples of what it needs.
const GANG_CHOICE: u32 = 3;

/// Time between a call's expected end and the decision that uses its tickets, in
/// milliseconds. Calls were seen to end 4 to 12 ms late, passes to take up to 92 ms.
const GANG_TICKET_MARGIN_MS: u64 = 150;

/// Pause after a failed call, in milliseconds.
const RETRY_MS: u64 = 100;

impl Engine {
    /// Tells why a step can neither be started with the tickets that it has nor ask for
    /// others now. `None` when it may be able to, or needs none.
    pub(super) fn advice_obstacle(&self, key: StepId) -> Option<WaitReason> {
        let job = self.jobs.get(&key.job)?;
        let cost = self.queues.get(&job.queue)?.advice?;
        let advice = &job.step(key)?.advice;
        let now_ms = self.now.monotonic_ms;
        let valid_until_ms = self.tickets_valid_until_ms();
        if advice.allowed.values().any(|ticket| ticket.expires_ms > valid_until_ms) {
            return None;
        }
        if advice.asking.is_some() || now_ms < advice.not_before_ms {
            return Some(WaitReason::AdvicePending);
        }
        let shortest = CallClass::of(cost.call_ms(1));
        let longest = CallClass::of(cost.call_ms(MAX_RENEWED));
        let is_full = |class: CallClass| {
            class < shortest
                || class > longest
                || self.asking[class as usize] >= self.lanes[class as usize]
        };
        CallClass::ALL.into_iter().all(is_full).then_some(WaitReason::AdviceBusy)
    }

    /// Time up to which a ticket must be valid to be used now, in milliseconds.
    fn tickets_valid_until_ms(&self) -> u64 {
        self.now.monotonic_ms + self.timing.ticket_margin_ms
    }

    /// Returns the workers with room and a valid ticket. Asks for advice where that helps.
    pub(super) fn advised_candidates(
        &mut self,
        demand: &Demand,
        queue: &Name,
        cost: AdviceCost,
        found: Vec<Candidate>,
        spots: &Spots,
    ) -> Vec<Candidate> {
        let now_ms = self.now.monotonic_ms;
        let rate = self.allow_rate.get(queue).copied().unwrap_or(FIRST_RATE);
        let Some(step) = self.jobs.get(&demand.key.job).and_then(|job| job.step(demand.key)) else {
            return Vec::new();
        };
        let advice = &step.advice;
        let valid_until_ms = self.tickets_valid_until_ms();
        let sorted = Sorted::new(found, advice, spots, valid_until_ms);
        let wanted = demand.wanted();
        let may_ask = advice.asking.is_none() && now_ms >= advice.not_before_ms;
        if may_ask && !enough(&sorted.ready, wanted) {
            let asked = sorted.to_ask(demand, rate, cost, valid_until_ms);
            if !asked.is_empty() {
                let hosts = asked.into_iter().map(|at| spots[at].host.clone()).collect();
                self.ask(demand.key, hosts, cost);
            }
        }
        sorted.ready
    }

    fn ask(&mut self, key: StepId, hosts: Vec<Name>, cost: AdviceCost) {
        let Some(step) = self.jobs.get_mut(&key.job).and_then(|job| job.step_mut(key)) else {
            return;
        };
        let cost_ms = cost.call_ms(hosts.len());
        let class = CallClass::of(cost_ms);
        // Steps are served in order of rank: the first ones get the lanes.
        if self.asking[class as usize] >= self.lanes[class as usize] {
            return;
        }
        self.asking[class as usize] += 1;
        step.advice.asking = Some(class);
        self.actions.push(Action::Advise(Advise { step: key, class, hosts, cost_ms }));
    }

    pub(super) fn advised(
        &mut self,
        key: StepId,
        class: CallClass,
        asked: Vec<Name>,
        allowed: Option<Vec<(Name, Name)>>,
        age_ms: u64,
    ) {
        let now_ms = self.now.monotonic_ms;
        self.needs_dispatch = true;
        // The call is over, whatever became of its step.
        self.asking[class as usize] = self.asking[class as usize].saturating_sub(1);
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        let queue = job.queue.clone();
        let valid_ms = self.queues.get(&queue).and_then(|queue| queue.advice).map(|a| a.valid_ms);
        let Some(step) = job.step_mut(key) else { return };
        step.advice.asking = None;
        let Some(allowed) = allowed else {
            step.advice.not_before_ms = now_ms + RETRY_MS;
            return;
        };
        let expires_ms = (now_ms + valid_ms.unwrap_or(0)).saturating_sub(age_ms);
        let rate = self.allow_rate.entry(queue).or_insert(FIRST_RATE);
        for name in &asked {
            let Some(slot) = self.hosts.get(name).map(|host| host.number) else { continue };
            let ticket = allowed.iter().find(|(host, _)| host == name);
            let advice = &mut step.advice;
            if !advice.allowed.contains_key(&slot) && !advice.denied.contains(&slot) {
                *rate += RATE_GAIN * (f64::from(u8::from(ticket.is_some())) - *rate);
            }
            match ticket {
                Some((_, token)) => {
                    let ticket = Ticket { token: token.clone(), expires_ms };
                    advice.allowed.insert(slot, ticket);
                }
                None => {
                    advice.denied.insert(slot);
                }
            }
        }
    }
}

/// The workers that suit a step, by what is known of them.
struct Sorted {
    /// Allowed, with a valid ticket.
    ready: Vec<Candidate>,
    /// Allowed, each with the time at which its last ticket expires, in milliseconds.
    allowed: Vec<(Candidate, u64)>,
    /// Never asked about.
    unknown: Vec<Candidate>,
}

impl Sorted {
    fn new(
        found: Vec<Candidate>,
        advice: &progress::StepAdvice,
        spots: &Spots,
        valid_until_ms: u64,
    ) -> Sorted {
        let mut sorted = Sorted { ready: Vec::new(), allowed: Vec::new(), unknown: Vec::new() };
        for candidate in found {
            let slot = spots[candidate.at].slot;
            match advice.allowed.get(&slot) {
                Some(ticket) => {
                    if ticket.expires_ms > valid_until_ms {
                        sorted.ready.push(candidate);
                    }
                    sorted.allowed.push((candidate, ticket.expires_ms));
                }
                None if advice.denied.contains(&slot) => {}
                None => sorted.unknown.push(candidate),
            }
        }
        sorted
    }

    /// Returns the workers to ask about, none when asking does not help now.
    fn to_ask(
        &self,
        demand: &Demand,
        rate: f64,
        cost: AdviceCost,
        valid_until_ms: u64,
    ) -> Vec<usize> {
        let wanted = demand.wanted();
        let most: u32 = self.allowed.iter().map(|(candidate, _)| candidate.most).sum();
        let room: u32 = self.allowed.iter().map(|(candidate, _)| candidate.slots).sum();
        match (demand.is_gang, room >= wanted) {
            (true, true) => self.gang_renewals(wanted, cost, valid_until_ms),
            (true, false) => {
                // With a choice of workers, room for all members comes up sooner.
                let choice = (wanted * GANG_CHOICE).saturating_sub(most);
                let chosen = self.newcomers(choice, rate, true).0;
                if !chosen.is_empty() {
                    return chosen;
                }
                // The choice may stay full while others are empty.
                let missing = wanted - room;
                let (chosen, expected) = self.newcomers(missing, rate, false);
                if expected >= f64::from(missing) { chosen } else { Vec::new() }
            }
            (false, true) => self.renewals(wanted, valid_until_ms),
            (false, false) => {
                let newcomers = self.newcomers(wanted - room, rate, false).0;
                if newcomers.is_empty() { self.renewals(wanted, valid_until_ms) } else { newcomers }
            }
        }
    }

    /// Renewals after which a gang has all its tickets at the same moment, with a few more
    /// for workers that fill up meanwhile.
    fn gang_renewals(&self, wanted: u32, cost: AdviceCost, valid_until_ms: u64) -> Vec<usize> {
        let wanted = (f64::from(wanted) * SPARE_FACTOR) as u32;
        let call_ms = cost.call_ms(self.renewals(wanted, u64::MAX).len());
        let mut chosen =
            self.renewals(wanted, valid_until_ms + call_ms as u64 + GANG_TICKET_MARGIN_MS);
        chosen.truncate(MAX_RENEWED);
        chosen
    }

    /// Allowed workers whose ticket does not outlast a moment, as few as give the room that
    /// those with a lasting one lack.
    fn renewals(&self, wanted: u32, until_ms: u64) -> Vec<usize> {
        let (held, mut stale): (Vec<_>, Vec<_>) =
            self.allowed.iter().partition(|(_, expires_ms)| *expires_ms > until_ms);
        let held: u32 = held.iter().map(|(candidate, _)| candidate.slots).sum();
        let mut rest = wanted.saturating_sub(held);
        stale.sort_by_key(|(candidate, _)| Reverse(candidate.slots));
        let mut chosen = Vec::new();
        for (candidate, _) in stale {
            if rest == 0 || candidate.slots == 0 {
                break;
            }
            rest = rest.saturating_sub(candidate.slots);
            chosen.push(candidate.at);
        }
        chosen
    }

    /// Workers that nothing is known of, enough to expect the room, and the room that they
    /// are expected to give. Workers that are full now count where a step plans ahead.
    fn newcomers(&self, missing: u32, rate: f64, plans_ahead: bool) -> (Vec<usize>, f64) {
        let value =
            |candidate: &Candidate| if plans_ahead { candidate.most } else { candidate.slots };
        let mut order: Vec<&Candidate> =
            self.unknown.iter().filter(|candidate| value(candidate) > 0).collect();
        order.sort_by_key(|candidate| {
            (!candidate.is_near, Reverse(candidate.slots), Reverse(candidate.free_cpu))
        });
        let needed = f64::from(missing) * SPARE_FACTOR;
        let mut expected = 0.0;
        let mut chosen = Vec::new();
        for candidate in order {
            if expected >= needed || chosen.len() >= MAX_ASKED {
                break;
            }
            expected += rate * f64::from(value(candidate).min(missing));
            chosen.push(candidate.at);
        }
        (chosen, expected)
    }
}
