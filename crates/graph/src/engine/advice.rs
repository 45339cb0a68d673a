//! Which workers the advice service is asked about, and when.
//!
//! The answer for a worker never changes, so that each is asked about once; only
//! the chosen ones are asked about again when their ticket has run out. One call
//! is under way for a step at a time.

use std::cmp::Reverse;

use sycamore_types::Name;

use super::Engine;
use super::dispatch::{Demand, enough};
use super::room::{Candidate, Claims};
use crate::catalog::Advice;
use crate::progress::Ticket;
use crate::{Action, Advise, Step};

/// Most workers in one call. Platform documentation: at most 100; more than 40 costs
/// more than a second call.
const MAX_ASKED: usize = 40;

/// Part of the workers that are expected to be allowed before anything is known.
const FIRST_RATE: f64 = 0.4;

/// Weight of the newest answer in the learned rate.
const RATE_GAIN: f64 = 0.1;

/// Room asked for beyond the expected need, for workers that fill up meanwhile.
const SPARE_FACTOR: f64 = 1.3;

/// Pause after a failed call, in milliseconds.
const RETRY_MS: u64 = 100;

impl Engine {
    /// Returns the workers with room and a valid ticket. Asks for advice where that helps.
    pub(super) fn advised_candidates(
        &mut self,
        demand: &Demand,
        queue: &Name,
        cost: Advice,
        candidates: Vec<Candidate>,
        claims: &mut Claims,
    ) -> Vec<Candidate> {
        let now_ms = self.now.steady_ms;
        let rate = self.allow_rate.get(queue).copied().unwrap_or(FIRST_RATE);
        let Some(step) = self.jobs.get(&demand.key.job).and_then(|job| job.step(demand.key)) else {
            return Vec::new();
        };
        let advice = &step.advice;
        let valid_until = now_ms + self.timing.ticket_margin_ms;
        let mut ready = Vec::new();
        let mut allowed = Vec::new();
        let mut unknown = Vec::new();
        for candidate in candidates {
            match advice.allowed.get(&candidate.host) {
                Some(ticket) => {
                    if ticket.expires_ms > valid_until {
                        ready.push(candidate.clone());
                    }
                    allowed.push(candidate);
                }
                None if advice.denied.contains(&candidate.host) => {}
                None => unknown.push(candidate),
            }
        }
        let wanted = demand.waiting.min(demand.allowed);
        if enough(&ready, wanted) {
            return ready;
        }
        let may_ask = !advice.is_asking && now_ms >= advice.not_before_ms;
        let asked = if !may_ask {
            Vec::new()
        } else if enough(&allowed, wanted) {
            renewals(&allowed, &ready, wanted)
        } else {
            let most: u32 = allowed.iter().map(|candidate| candidate.most).sum();
            let room: u32 = allowed.iter().map(|candidate| candidate.slots).sum();
            // A gang that its workers could hold waits for room there.
            if demand.is_gang && most >= wanted {
                Vec::new()
            } else {
                let known = if demand.is_gang { most } else { room };
                let asked = newcomers(unknown, wanted.saturating_sub(known), rate, demand.is_gang);
                if asked.is_empty() && !demand.is_gang && room > 0 {
                    renewals(&allowed, &ready, wanted)
                } else {
                    asked
                }
            }
        };
        if !asked.is_empty() {
            self.ask(demand.key, asked, cost);
        }
        if demand.is_gang {
            self.claim(demand, &allowed, claims);
        }
        ready
    }

    fn ask(&mut self, key: Step, hosts: Vec<Name>, cost: Advice) {
        let Some(step) = self.jobs.get_mut(&key.job).and_then(|job| job.step_mut(key)) else {
            return;
        };
        step.advice.is_asking = true;
        let cost_ms = cost.base_ms + cost.per_host_ms * hosts.len() as f64;
        self.actions.push(Action::Advise(Advise { step: key, hosts, cost_ms }));
    }

    pub(super) fn advised(
        &mut self,
        key: Step,
        asked: Vec<Name>,
        allowed: Option<Vec<(Name, Name)>>,
        age_ms: u64,
    ) {
        let now_ms = self.now.steady_ms;
        self.needs_dispatch = true;
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        let queue = job.queue.clone();
        let valid_ms = self.queues.get(&queue).and_then(|queue| queue.advice).map(|a| a.valid_ms);
        let Some(step) = job.step_mut(key) else { return };
        step.advice.is_asking = false;
        let Some(allowed) = allowed else {
            step.advice.not_before_ms = now_ms + RETRY_MS;
            return;
        };
        let expires_ms = (now_ms + valid_ms.unwrap_or(0)).saturating_sub(age_ms);
        let rate = self.allow_rate.entry(queue).or_insert(FIRST_RATE);
        for host in &asked {
            let is_new =
                !step.advice.allowed.contains_key(host) && !step.advice.denied.contains(host);
            let is_allowed = allowed.iter().any(|(name, _)| name == host);
            if is_new {
                *rate += RATE_GAIN * (f64::from(u8::from(is_allowed)) - *rate);
            }
            if is_new && !is_allowed {
                step.advice.denied.push(host.clone());
            }
        }
        for (host, token) in allowed {
            step.advice.allowed.insert(host, Ticket { token, expires_ms });
        }
    }
}

/// Allowed workers whose ticket has run out, as few as give the room.
fn renewals(allowed: &[Candidate], ready: &[Candidate], wanted: u32) -> Vec<Name> {
    let mut rest = wanted.saturating_sub(ready.iter().map(|candidate| candidate.slots).sum());
    let is_stale = |candidate: &&Candidate| {
        candidate.slots > 0 && !ready.iter().any(|other| other.host == candidate.host)
    };
    let mut stale: Vec<&Candidate> = allowed.iter().filter(is_stale).collect();
    stale.sort_by_key(|candidate| Reverse(candidate.slots));
    let mut chosen = Vec::new();
    for candidate in stale {
        if rest == 0 {
            break;
        }
        rest = rest.saturating_sub(candidate.slots);
        chosen.push(candidate.host.clone());
    }
    chosen
}

/// Workers that nothing is known of, enough to expect the room.
fn newcomers(mut unknown: Vec<Candidate>, missing: u32, rate: f64, is_gang: bool) -> Vec<Name> {
    if missing == 0 {
        return Vec::new();
    }
    // A gang plans ahead with workers that are full now; others need room at once.
    let value = |candidate: &Candidate| if is_gang { candidate.most } else { candidate.slots };
    unknown.retain(|candidate| value(candidate) > 0);
    unknown.sort_by_key(|candidate| {
        (!candidate.is_near, Reverse(candidate.slots), Reverse(candidate.free_cpu))
    });
    let needed = f64::from(missing) * SPARE_FACTOR;
    let mut expected = 0.0;
    let mut chosen = Vec::new();
    for candidate in unknown {
        if expected >= needed || chosen.len() >= MAX_ASKED {
            break;
        }
        expected += rate * f64::from(value(&candidate));
        chosen.push(candidate.host);
    }
    chosen
}
