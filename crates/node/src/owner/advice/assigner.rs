//! Decides which host makes which call for advice. It makes no calls itself.
//!
//! Short calls must not queue behind long ones. Each host therefore serves one length class first
//! and otherwise only shorter calls, which end soon.

use std::collections::VecDeque;

use rustc_hash::FxHashSet;
use sycamore_graph::{Advise, CallClass};
use sycamore_types::Name;

/// Fraction of the hosts that serve short calls only.
const SHORT_ONLY_FRACTION: f64 = 0.25;

/// Fraction of the hosts that serve no long calls, including those for short calls only.
/// Nearly half of the hosts remain for long calls, which need half of all time by the
/// sites' price lists.
const NO_LONG_FRACTION: f64 = 0.55;

/// Returns the longest class that a host serves, by its position among all hosts between
/// 0 and 1.
fn longest_class_at(position: f64) -> CallClass {
    if position < SHORT_ONLY_FRACTION {
        CallClass::Short
    } else if position < NO_LONG_FRACTION {
        CallClass::Middle
    } else {
        CallClass::Long
    }
}

/// A host that may be given calls.
#[derive(Clone, Copy, Debug)]
struct Server<'a> {
    name: &'a Name,
    /// Longest class that the host serves. `None`: it serves all.
    longest: Option<CallClass>,
}

impl Server<'_> {
    fn serves(&self, class: CallClass) -> bool {
        self.longest.is_none_or(|longest| longest >= class)
    }

    /// Returns the classes that the host serves, in order of preference.
    fn classes(&self) -> &'static [CallClass] {
        match self.longest {
            None => &CallClass::ALL,
            Some(CallClass::Short) => &[CallClass::Short],
            Some(CallClass::Middle) => &[CallClass::Middle, CallClass::Short],
            Some(CallClass::Long) => &[CallClass::Long, CallClass::Middle, CallClass::Short],
        }
    }
}

/// Calls that wait for a host, and the hosts that calls were given to.
///
/// `live` are the names of all hosts that can be called, in order.
#[derive(Debug, Default)]
pub(in crate::owner) struct Assigner {
    /// Calls that wait for a host, by class.
    waiting: [VecDeque<Advise>; CallClass::COUNT],
    /// Hosts with a call in flight.
    busy: FxHashSet<Name>,
}

impl Assigner {
    pub fn enqueue(&mut self, advise: Advise) {
        self.waiting[advise.class as usize].push_back(advise);
    }

    /// Marks a host as free again.
    pub fn on_call_ended(&mut self, host: &Name) {
        self.busy.remove(host);
    }

    /// Takes the calls that can be made now, each with the host that is to make it.
    pub fn assign(&mut self, live: &[Name]) -> Vec<(Name, Advise)> {
        let mut assigned = Vec::new();
        for server in servers(live) {
            if self.busy.contains(server.name) {
                continue;
            }
            let mut classes = server.classes().iter();
            let next = classes.find_map(|class| self.waiting[*class as usize].pop_front());
            let Some(advise) = next else { continue };
            self.busy.insert(server.name.clone());
            assigned.push((server.name.clone(), advise));
        }
        assigned
    }

    /// Returns how many calls of each class may be in flight: one more than hosts serve. The
    /// extra call waits here, so that a host that becomes free has its next call at once.
    pub fn concurrency(&self, live: &[Name]) -> [u32; CallClass::COUNT] {
        let servers = servers(live);
        CallClass::ALL
            .map(|class| servers.iter().filter(|server| server.serves(class)).count() as u32 + 1)
    }
}

/// Returns the hosts, each with the longest class that it serves. Fewer hosts than classes serve
/// all.
fn servers(live: &[Name]) -> Vec<Server<'_>> {
    let count = live.len();
    let longest = |at: usize| {
        (count >= CallClass::COUNT).then(|| longest_class_at((at as f64 + 0.5) / count as f64))
    };
    let names = live.iter().enumerate();
    names.map(|(at, name)| Server { name, longest: longest(at) }).collect()
}
