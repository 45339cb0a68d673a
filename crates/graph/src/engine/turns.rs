//! In which order hopeless steps get calls for advice.
//!
//! Calls are scarce, and by their rank alone some hopeless steps would get none for as long as others
//! have a higher rank. So a hopeless step that has waited for [`MIN_TURN_WAIT_MS`] goes before those that
//! have not, the longest wait first, and one call at a time is left to such steps while others have to
//! wait for a free call, too. The wait of a step is bounded by the calls of the hopeless steps that
//! have waited for longer.
//!
//! A step keeps its place during its turn, which lasts until its tickets have expired. Otherwise the
//! room that it asked about would be kept for steps whose turn is next. With its third request it begins
//! to wait anew, as the room for it may be taken again and again.
//!
//! Steps that wait for room keep their place, too. A pass also looks at a slice of those behind them,
//! so that they leave calls that they have no use for to others.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

use super::Engine;
use crate::progress::StepAdvice;
use crate::{CallClass, StepId};

/// Time after which the wait of a hopeless step decides its place, in milliseconds: the one within which
/// accepted work has to start while there is room for it.
const MIN_TURN_WAIT_MS: u64 = 3_000;

/// Requests for advice in one turn: one that finds the hosts that may run the step, and one that renews
/// their tickets once they have room.
const MAX_REQUESTS: u32 = 2;

/// Steps with the longest wait that each pass looks at.
const FIRST_STEPS: usize = 50;

/// Steps behind them that each pass looks at, in turn.
const OTHER_STEPS: usize = 50;

/// The turn of a step, from its first request until the last tickets have expired.
#[derive(Clone, Debug, Default)]
pub(crate) struct Turn {
    /// Number of requests for advice.
    requests: u32,
    /// Time at which the last ticket expires, in milliseconds.
    tickets_expire_ms: u64,
}

impl Turn {
    /// Records a request for advice, of one or several calls.
    pub fn begin_request(&mut self) {
        self.requests += 1;
    }

    /// Records the answer to a request.
    pub fn extend(&mut self, tickets_expire_ms: u64) {
        self.tickets_expire_ms = self.tickets_expire_ms.max(tickets_expire_ms);
    }

    fn has_ended(&self, advice: &StepAdvice, now_ms: u64) -> bool {
        let is_used =
            advice.calls_in_flight > 0 || advice.failures() > 0 || now_ms < self.tickets_expire_ms;
        self.requests > MAX_REQUESTS || self.requests > 0 && !is_used
    }
}

/// Hopeless steps that need calls, by the time since which they have waited for their turn.
#[derive(Debug, Default)]
pub(super) struct Turns {
    order: BTreeSet<(u64, StepId)>,
    since_ms: BTreeMap<StepId, u64>,
    /// Last step of the last slice.
    cursor: Option<(u64, StepId)>,
}

impl Turns {
    /// Adds a step, or moves it to another place.
    fn insert(&mut self, step_id: StepId, since_ms: u64) {
        self.remove(step_id);
        self.since_ms.insert(step_id, since_ms);
        self.order.insert((since_ms, step_id));
    }

    pub fn remove(&mut self, step_id: StepId) {
        if let Some(since_ms) = self.since_ms.remove(&step_id) {
            self.order.remove(&(since_ms, step_id));
        }
    }

    /// Returns the steps with the longest wait and the next slice of the others, in order, each with
    /// the time since which it has waited. The slice after the last one begins anew.
    fn next(&mut self) -> Vec<(u64, StepId)> {
        let mut next: Vec<(u64, StepId)> = self.order.iter().take(FIRST_STEPS).copied().collect();
        let Some(last) = next.last().copied() else { return next };
        let start = self.cursor.map_or(last, |cursor| cursor.max(last));
        let others = self.order.range((Bound::Excluded(start), Bound::Unbounded)).take(OTHER_STEPS);
        let others: Vec<(u64, StepId)> = others.copied().collect();
        self.cursor = others.last().copied().filter(|_| others.len() == OTHER_STEPS);
        next.extend(others);
        next
    }
}

impl Engine {
    /// Returns the steps whose place among the hopeless ones is decided by their wait, in order, each
    /// with its wait in milliseconds.
    pub(super) fn next_turns(&mut self) -> Vec<(StepId, u64)> {
        let now_ms = self.now.monotonic_ms;
        let mut turns = Vec::new();
        for (since_ms, step_id) in self.backlog.turns.next() {
            let wait_ms = now_ms.saturating_sub(since_ms);
            if wait_ms >= MIN_TURN_WAIT_MS && !self.end_turn(step_id) {
                turns.push((step_id, wait_ms));
            }
        }
        turns
    }

    /// Lets a step begin to wait anew if its turn has ended. Returns whether it has.
    fn end_turn(&mut self, step_id: StepId) -> bool {
        let now_ms = self.now.monotonic_ms;
        let step = self.jobs.get_mut(&step_id.job).and_then(|job| job.step_mut(step_id));
        let Some(step) = step else { return false };
        if !step.advice.turn.has_ended(&step.advice, now_ms) {
            return false;
        }
        let ended_ms = step.advice.turn.tickets_expire_ms.min(now_ms);
        let since_ms = ended_ms.max(step.uncalled_since_ms().unwrap_or(now_ms));
        step.advice.turn = Turn::default();
        self.backlog.turns.insert(step_id, since_ms);
        true
    }

    /// Adds steps that have become hopeless and need advice. Their wait counts from their last call.
    pub(super) fn add_to_turns(&mut self, steps: Vec<StepId>) {
        let now_ms = self.now.monotonic_ms;
        for step_id in steps {
            if self.backlog.turns.since_ms.contains_key(&step_id) {
                continue;
            }
            let Some(job) = self.jobs.get_mut(&step_id.job) else { continue };
            let needs_advice =
                self.queues.get(&job.queue).is_some_and(|queue| queue.advice.is_some());
            let is_recovered = job.is_recovered;
            let age_ms = self.now.unix_ms.saturating_sub(job.due_unix_ms(step_id.occurrence));
            if let Some(step) = job.step_mut(step_id)
                && needs_advice
            {
                if step.advice.turn.has_ended(&step.advice, now_ms) {
                    step.advice.turn = Turn::default();
                }
                let since_ms = match step.advice.last_call {
                    // The calls of an earlier owner are not known.
                    None if is_recovered => now_ms.saturating_sub(age_ms),
                    _ => step.uncalled_since_ms().unwrap_or(now_ms),
                };
                self.backlog.turns.insert(step_id, since_ms);
            }
        }
    }

    /// Begins a pass: calls are left to hopeless steps for as many passes as look at all of them.
    pub(super) fn count_pass_of_refusals(&mut self) {
        for passes in &mut self.hopeless_refusal_passes {
            *passes = passes.saturating_sub(1);
        }
    }

    /// Records that a hopeless step whose turn it is has to wait for a free call of a class.
    pub(super) fn record_refused_turn(&mut self, class: CallClass) {
        let passes = self.backlog.turns.order.len().div_ceil(OTHER_STEPS) as u32 + 1;
        self.hopeless_refusal_passes[class as usize] = passes;
    }

    /// Returns the number of calls of a class that steps which are not hopeless leave to hopeless ones.
    pub(super) fn calls_left_to_hopeless_steps(&self, class: CallClass) -> u32 {
        let at = class as usize;
        let is_awaited = self.hopeless_refusal_passes[at] > 0;
        u32::from(is_awaited && !self.has_hopeless_call(class) && self.advice_limits[at] > 1)
    }

    /// Returns whether a call of a class is in flight for a hopeless step.
    pub(super) fn has_hopeless_call(&self, class: CallClass) -> bool {
        self.hopeless_calls.values().any(|calls| calls[class as usize] > 0)
    }
}
