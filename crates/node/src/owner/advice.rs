//! Deals calls for advice out to the processes.
//!
//! The service takes one call at a time from each host. Short calls must not stand
//! behind long ones, so that each host is kept for calls of one length first and
//! helps out with the others only where that costs nobody a wait.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rustc_hash::FxHashMap;
use sycamore_graph::{Advise, CallClass, Event};
use sycamore_types::Name;
use sycamore_wire::Lane;
use tokio::sync::mpsc;

use super::Handle;
use crate::clock::millis;
use crate::node::Node;
use crate::peer::{Command, Reply};
use crate::timing::ADVICE_MARGIN;

/// Parts of the hosts that take short and short or middle calls first. Long calls need
/// half of all time by the price list of the sites.
const SHORT_HOSTS_END: f64 = 0.25;
const MIDDLE_HOSTS_END: f64 = 0.55;

/// What a host is for, by its place among all.
fn class_at(position: f64) -> CallClass {
    if position < SHORT_HOSTS_END {
        CallClass::Short
    } else if position < MIDDLE_HOSTS_END {
        CallClass::Middle
    } else {
        CallClass::Long
    }
}

/// Deals calls out.
#[derive(Debug)]
pub(super) struct AdviceDispatcher {
    node: Arc<Node>,
    handle: Handle,
    waiting: [VecDeque<Advise>; CallClass::COUNT],
    /// Lanes that the engine was told of.
    concurrency: [u32; CallClass::COUNT],
    /// Hosts with a call under way.
    busy: FxHashMap<Name, Instant>,
    ended_calls: mpsc::UnboundedSender<Name>,
}

impl AdviceDispatcher {
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

    /// A host's call has ended.
    pub fn on_call_ended(&mut self, host: &Name) {
        self.busy.remove(host);
        self.dispatch();
    }

    /// Hosts in order, each with what it is for. Of a few hosts each does everything.
    fn hosts(&self) -> Vec<(Name, SocketAddr, Option<CallClass>)> {
        let mut hosts = self.node.live_peers();
        hosts.push((self.node.settings.host.clone(), self.node.settings.peers));
        hosts.sort();
        let count = hosts.len();
        let longest_class = |at: usize| {
            (count >= CallClass::COUNT).then(|| class_at((at as f64 + 0.5) / count as f64))
        };
        hosts
            .into_iter()
            .enumerate()
            .map(|(at, (name, addr))| (name, addr, longest_class(at)))
            .collect()
    }

    /// Tells the engine how many calls of each class can be under way. One more waits
    /// here, so that no host idles until the engine has heard of it.
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
            // A host helps out with shorter calls than its own.
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
            // The tickets were made at the end of the call's own time at the earliest.
            let spent_ms = millis(started.elapsed());
            let granted = allowed.as_ref().map_or(0, Vec::len);
            log::info!(
                target: "advice", job:% = advise.step.job, step = advise.step.index,
                epoch = handle.epoch, through:% = host, asked = advise.hosts.len(), granted, outcome,
                expected_ms = advise.cost_ms as u64, spent_ms; "advice"
            );
            let age_ms = spent_ms.saturating_sub(advise.cost_ms as u64);
            let Advise { step, class, hosts: asked, .. } = advise;
            handle.send(Event::Advised { step, class, asked, allowed, age_ms });
            // The owner may have ended; nobody deals any more then.
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
    let call = node.pool.call::<Reply>(address, Lane::Traffic, &command);
    match tokio::time::timeout(timeout, call).await {
        Ok(Ok(Reply::Advice(allowed))) => allowed,
        Ok(Ok(_)) | Err(_) => None,
        Ok(Err(error)) => {
            log::debug!("call for advice through {address} failed: {error}");
            None
        }
    }
}
