//! Decides which host makes which call for advice. It makes no calls itself.
//!
//! - Short calls must not queue behind long ones. Each host has a class that it serves first. It
//!   serves shorter calls, which end soon, if none of its class waits.
//! - A host makes longer calls, too, while the shorter ones of the last seconds leave it idle, as the
//!   steps that need longer calls may not wait for it in vain. Some hosts are always kept for short and
//!   for middle calls, so that one that comes after a pause finds a free host.
//! - A host whose call failed is passed over for a time that doubles with each further failure,
//!   so that the retry of a step goes through another host. The classes are spread over the other
//!   hosts meanwhile: the only host for long calls may be the one that fails.
//! - Among hosts of one class, the one whose last call began first is next.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use rustc_hash::FxHashMap;
use sycamore_graph::{Advise, CallClass};
use sycamore_types::Name;

use super::demand::Demand;
use crate::backoff::Backoff;

/// Time for which a host is passed over after its first failed call, at most. Half of it exceeds
/// the engine's pause of 100 ms before a retry.
const FIRST_PAUSE: Duration = Duration::from_millis(500);

/// Longest time for which a host is passed over, at most.
const LAST_PAUSE: Duration = Duration::from_secs(4);

/// Fraction of the hosts that serve short calls first.
const SHORT_FIRST_FRACTION: f64 = 0.25;

/// Fraction of the hosts that do not serve long calls first, including those for short calls.
/// Nearly half of the hosts remain for long calls, which need half of all time by the
/// sites' price lists.
const NO_LONG_FRACTION: f64 = 0.55;

/// Fraction of the hosts that make short calls only, also while there are none, and of those that make
/// short and middle calls only.
const MIN_KEPT_FRACTION: f64 = 0.125;

/// Returns the class that a host serves first, by its position among all hosts between
/// 0 and 1.
fn first_class_at(position: f64) -> CallClass {
    if position < SHORT_FIRST_FRACTION {
        CallClass::Short
    } else if position < NO_LONG_FRACTION {
        CallClass::Middle
    } else {
        CallClass::Long
    }
}

/// How a host's call ended, as far as it concerns the host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(in crate::owner) enum CallEnd {
    Answered,
    /// The call failed, and another host may have more success with it.
    Failed,
    /// The call itself was rejected, which tells nothing about the host.
    Rejected,
}

/// What the calls of a host have shown.
#[derive(Debug, Default)]
struct Record {
    /// Call that the host makes.
    call: Option<Call>,
    /// Number of its last call among all calls. 0 before the first.
    last_call: u64,
    /// Set from a failed call until an answered one.
    failure: Option<Failure>,
}

#[derive(Debug)]
struct Call {
    class: CallClass,
    /// Time up to which the call is part of [`Assigner::busy`].
    counted_until: Instant,
}

#[derive(Debug)]
struct Failure {
    passed_over_until: Instant,
    backoff: Backoff,
}

/// A host that may be given calls.
#[derive(Clone, Copy, Debug)]
struct Server<'a> {
    name: &'a Name,
    /// Class that the host serves first. `None`: it has none, and serves all.
    first: Option<CallClass>,
    /// Longest class that the host serves now.
    longest: CallClass,
}

impl Server<'_> {
    /// Returns the classes that the host serves before longer ones, in order of preference.
    fn own_classes(&self) -> &'static [CallClass] {
        match self.first {
            None => &CallClass::ALL,
            Some(CallClass::Short) => &[CallClass::Short],
            Some(CallClass::Middle) => &[CallClass::Middle, CallClass::Short],
            Some(CallClass::Long) => &[CallClass::Long, CallClass::Middle, CallClass::Short],
        }
    }

    /// Returns the longer classes that the host serves while it would be idle otherwise.
    fn longer_classes(&self) -> impl Iterator<Item = &'static CallClass> {
        let first = self.first.unwrap_or(CallClass::Long);
        let longest = self.longest;
        CallClass::ALL.iter().filter(move |class| **class > first && **class <= longest)
    }
}

/// Calls that wait for a host, and the hosts that calls were given to.
///
/// Times are passed in. `live` are the names of all hosts that can be called, in order.
#[derive(Debug, Default)]
pub(in crate::owner) struct Assigner {
    /// Calls that wait for a host, by class.
    waiting: [VecDeque<Advise>; CallClass::COUNT],
    records: FxHashMap<Name, Record>,
    demand: Demand,
    /// Number of calls given to hosts so far.
    calls: u64,
    /// Time that hosts have spent on calls, by class, since it was last taken.
    busy: [Duration; CallClass::COUNT],
}

impl Assigner {
    pub fn enqueue(&mut self, advise: Advise, now: Instant) {
        self.demand.record(advise.class, advise.cost_ms, now);
        self.waiting[advise.class as usize].push_back(advise);
    }

    pub fn has_waiting(&self) -> bool {
        self.waiting.iter().any(|waiting| !waiting.is_empty())
    }

    /// Marks a host as free again.
    pub fn on_call_ended(&mut self, host: &Name, end: CallEnd, now: Instant) {
        let Some(record) = self.records.get_mut(host) else { return };
        if let Some(call) = record.call.take() {
            self.busy[call.class as usize] += now.saturating_duration_since(call.counted_until);
        }
        match end {
            CallEnd::Answered => {
                // What ended may have been an outage of the service for all hosts. The first
                // host that answers would otherwise have to make all calls for a while.
                if record.failure.take().is_some() {
                    self.end_pauses(now);
                }
            }
            CallEnd::Rejected => {}
            CallEnd::Failed => {
                let failure = record.failure.get_or_insert_with(|| Failure {
                    passed_over_until: now,
                    backoff: Backoff::new(FIRST_PAUSE, LAST_PAUSE),
                });
                failure.passed_over_until = now + failure.backoff.next_delay();
            }
        }
    }

    /// Takes the calls that can be made now, each with the host that is to make it.
    pub fn assign(&mut self, live: &[Name], now: Instant) -> Vec<(Name, Advise)> {
        self.records
            .retain(|name, record| record.call.is_some() || live.binary_search(name).is_ok());
        let mut free = self.servers(live, now);
        free.retain(|server| {
            self.records.get(server.name).is_none_or(|record| record.call.is_none())
        });
        free.sort_by_key(|server| {
            let record = self.records.get(server.name);
            let has_failed = record.is_some_and(|record| record.failure.is_some());
            (has_failed, server.first, record.map_or(0, |record| record.last_call))
        });
        let mut assigned = Vec::new();
        free.retain(|server| {
            !self.give_call(server, server.own_classes().iter(), now, &mut assigned)
        });
        for server in &free {
            self.give_call(server, server.longer_classes(), now, &mut assigned);
        }
        assigned
    }

    /// Gives a host the next call of the first of these classes of which one waits. Returns whether
    /// there was one.
    fn give_call(
        &mut self,
        server: &Server<'_>,
        mut classes: impl Iterator<Item = &'static CallClass>,
        now: Instant,
        assigned: &mut Vec<(Name, Advise)>,
    ) -> bool {
        let next = classes.find_map(|class| self.waiting[*class as usize].pop_front());
        let Some(advise) = next else { return false };
        self.calls += 1;
        let record = self.records.entry(server.name.clone()).or_default();
        record.call = Some(Call { class: advise.class, counted_until: now });
        record.last_call = self.calls;
        assigned.push((server.name.clone(), advise));
        true
    }

    /// Returns how many calls of each class may be in flight: one more than hosts serve. The
    /// extra call waits here, so that a host that becomes free has its next call at once.
    pub fn concurrency(&self, live: &[Name], now: Instant) -> [u32; CallClass::COUNT] {
        let servers = self.servers(live, now);
        CallClass::ALL
            .map(|class| servers.iter().filter(|server| server.longest >= class).count() as u32 + 1)
    }

    /// Returns the time that hosts have spent on calls since this was last asked, by class.
    pub fn take_busy_time(&mut self, now: Instant) -> [Duration; CallClass::COUNT] {
        for call in self.records.values_mut().filter_map(|record| record.call.as_mut()) {
            self.busy[call.class as usize] += now.saturating_duration_since(call.counted_until);
            call.counted_until = now;
        }
        std::mem::take(&mut self.busy)
    }

    /// Returns the hosts that are not passed over, or all if there is no other, each with the
    /// classes that it serves. Fewer hosts than classes serve all.
    fn servers<'a>(&self, live: &'a [Name], now: Instant) -> Vec<Server<'a>> {
        let is_usable = |name: &&Name| !self.is_passed_over(name, now);
        let mut names: Vec<&Name> = live.iter().filter(is_usable).collect();
        if names.is_empty() {
            names.extend(live);
        }
        let count = names.len();
        if count < CallClass::COUNT {
            let all = |name| Server { name, first: None, longest: CallClass::Long };
            return names.into_iter().map(all).collect();
        }
        let kept = (count as f64 * MIN_KEPT_FRACTION).ceil() as usize;
        let needed = |class| self.demand.hosts(class, now).unwrap_or(count);
        let short = needed(CallClass::Short).max(kept);
        let middle = needed(CallClass::Middle).max(short + kept);
        let server = |(at, name)| {
            let first = first_class_at((at as f64 + 0.5) / count as f64);
            let unneeded = match at {
                at if at < short => CallClass::Short,
                at if at < middle => CallClass::Middle,
                _ => CallClass::Long,
            };
            Server { name, first: Some(first), longest: first.max(unneeded) }
        };
        names.into_iter().enumerate().map(server).collect()
    }

    fn end_pauses(&mut self, now: Instant) {
        let failures = self.records.values_mut().filter_map(|record| record.failure.as_mut());
        failures.for_each(|failure| failure.passed_over_until = now);
    }

    fn is_passed_over(&self, host: &Name, now: Instant) -> bool {
        let failure = self.records.get(host).and_then(|record| record.failure.as_ref());
        failure.is_some_and(|failure| now < failure.passed_over_until)
    }
}
