//! Spreads calls to the advice service over the processes.
//!
//! The service tells which workers may run a step, and handles the calls from one host
//! one at a time. Short calls must not queue behind long ones. Each host therefore serves
//! one length class first and otherwise only shorter calls, which end soon.
//!
//! Hosts are those of the processes here, not the workers that a call asks about.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rustc_hash::FxHashMap;
use sycamore_graph::{Advise, CallClass, Event};
use sycamore_types::Name;
use sycamore_wire::ConnectionKind;
use tokio::sync::mpsc;

use super::Handle;
use crate::clock::millis;
use crate::node::Node;
use crate::peer::{Command, Reply};
use crate::timing::ADVICE_MARGIN;

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

/// Queues calls for advice and assigns them to free hosts.
#[derive(Debug)]
pub(super) struct AdviceDispatcher {
    node: Arc<Node>,
    handle: Handle,
    /// Calls that wait for a host, by class.
    waiting: [VecDeque<Advise>; CallClass::COUNT],
    /// Concurrent calls last reported to the engine, by class.
    concurrency: [u32; CallClass::COUNT],
    /// Hosts with a call in flight, and when it started.
    busy: FxHashMap<Name, Instant>,
    /// Sends the host of each call that ended.
    ended_calls: mpsc::UnboundedSender<Name>,
}

impl AdviceDispatcher {
    /// Also returns the channel of hosts whose call ended, for [`Self::on_call_ended`].
    pub fn new(
        node: Arc<Node>,
        handle: Handle,
    ) -> (AdviceDispatcher, mpsc::UnboundedReceiver<Name>) {
        let (ended_calls, received) = mpsc::unbounded_channel();
        let busy = FxHashMap::default();
        let waiting = Default::default();
        let concurrency = [0; CallClass::COUNT];
        (AdviceDispatcher { node, handle, waiting, concurrency, busy, ended_calls }, received)
    }

    pub fn enqueue(&mut self, advise: Advise) {
        self.waiting[advise.class as usize].push_back(advise);
        self.dispatch();
    }

    /// Marks a host as free again.
    pub fn on_call_ended(&mut self, host: &Name) {
        self.busy.remove(host);
        self.dispatch();
    }

    /// Returns all hosts in order of their names, each with the longest class that it
    /// serves. With fewer hosts than classes, every host serves all (`None`).
    fn hosts(&self) -> Vec<(Name, SocketAddr, Option<CallClass>)> {
        let mut hosts = self.node.live_peers();
        hosts.push((self.node.settings.host.clone(), self.node.settings.peers));
        hosts.sort();
        let count = hosts.len();
        let longest_class = |at: usize| {
            (count >= CallClass::COUNT).then(|| longest_class_at((at as f64 + 0.5) / count as f64))
        };
        hosts
            .into_iter()
            .enumerate()
            .map(|(at, (name, addr))| (name, addr, longest_class(at)))
            .collect()
    }

    /// Reports to the engine how many calls of each class it may have in flight: one more
    /// than hosts serve. The extra call waits here, so that a host that becomes free has
    /// its next call at once.
    pub fn update_concurrency(&mut self) {
        let hosts = self.hosts();
        let count_hosts = |class: CallClass| {
            hosts
                .iter()
                .filter(|(.., longest)| longest.is_none_or(|longest| longest >= class))
                .count() as u32
        };
        let concurrency = CallClass::ALL.map(|class| count_hosts(class) + 1);
        if concurrency != self.concurrency {
            self.concurrency = concurrency;
            self.handle.send(Event::AdviceConcurrency(concurrency));
        }
    }

    fn dispatch(&mut self) {
        for (name, address, longest_class) in self.hosts() {
            if self.busy.contains_key(&name) {
                continue;
            }
            // Classes that the host serves, in order of preference.
            let classes: &[usize] = match longest_class {
                None => &[0, 1, 2],
                Some(CallClass::Short) => &[0],
                Some(CallClass::Middle) => &[1, 0],
                Some(CallClass::Long) => &[2, 1, 0],
            };
            let next = classes.iter().find_map(|class| self.waiting[*class].pop_front());
            if let Some(advise) = next {
                self.busy.insert(name.clone(), Instant::now());
                self.call(name, address, advise);
            }
        }
    }

    fn call(&self, host: Name, address: SocketAddr, advise: Advise) {
        let (node, handle, ended_calls) =
            (self.node.clone(), self.handle.clone(), self.ended_calls.clone());
        tokio::spawn(async move {
            let timeout = Duration::from_secs_f64(advise.cost_ms / 1_000.0) + ADVICE_MARGIN;
            let started = Instant::now();
            let allowed = if host == node.settings.host {
                node.advise(&advise.step, &advise.hosts, timeout).await
            } else {
                ask_peer(&node, address, &advise, timeout).await
            };
            let outcome = if allowed.is_some() { "answered" } else { "failed" };
            node.meters.advice.with_label_values(&[outcome]).inc();
            let spent_ms = millis(started.elapsed());
            let granted = allowed.as_ref().map_or(0, Vec::len);
            log::info!(
                target: "advice", job:% = advise.step.job, step = advise.step.index,
                epoch = handle.epoch, through:% = host, asked = advise.hosts.len(), granted, outcome,
                expected_ms = advise.cost_ms as u64, spent_ms; "advice"
            );
            // The service issues tickets no earlier than at the end of the call's expected
            // time, so that they are at most this old. The event may wait before it is handled.
            let age_ms = spent_ms.saturating_sub(advise.cost_ms as u64);
            let issued_ms = node.clock.now().monotonic_ms.saturating_sub(age_ms);
            let Advise { step, class, hosts: asked, .. } = advise;
            handle.send(Event::Advised { step, class, asked, allowed, issued_ms });
            // Without a receiver the owner has ended.
            let _ = ended_calls.send(host);
        });
    }
}

async fn ask_peer(
    node: &Arc<Node>,
    address: SocketAddr,
    advise: &Advise,
    timeout: Duration,
) -> Option<Vec<(Name, Name)>> {
    let command = Command::Advise {
        step: advise.step,
        hosts: advise.hosts.clone(),
        timeout_ms: millis(timeout),
    };
    let kind = ConnectionKind::Traffic;
    match node.pool.call_within::<Reply>(address, kind, &command, timeout).await {
        Ok(Reply::Advice(allowed)) => allowed,
        Ok(_) => None,
        Err(error) => {
            log::debug!("call for advice through {address} failed: {error}");
            None
        }
    }
}
