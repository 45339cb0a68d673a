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
use sycamore_graph::{Advise, Event};
use sycamore_types::Name;
use sycamore_wire::Lane;
use tokio::sync::mpsc;

use super::Handle;
use crate::clock::millis;
use crate::node::Node;
use crate::peer::{Command, Reply};
use crate::timing::ADVICE_MARGIN;

/// Calls up to this length are short, in milliseconds.
const SHORT_MS: f64 = 40.0;

/// Calls from this length on are long, in milliseconds.
const LONG_MS: f64 = 250.0;

/// Length classes of calls.
const CLASSES: usize = 3;

/// Parts of the hosts that take short and short or middle calls first. Long calls need
/// half of all time by the price list of the sites.
const SHORT_SHARE: f64 = 0.25;
const MIDDLE_SHARE: f64 = 0.55;

fn class_of(cost_ms: f64) -> usize {
    if cost_ms <= SHORT_MS {
        0
    } else if cost_ms < LONG_MS {
        1
    } else {
        2
    }
}

/// Deals calls out.
#[derive(Debug)]
pub(super) struct Dealer {
    node: Arc<Node>,
    handle: Handle,
    waiting: [VecDeque<Advise>; CLASSES],
    /// Hosts with a call under way.
    busy: FxHashMap<Name, Instant>,
    done: mpsc::UnboundedSender<Name>,
}

impl Dealer {
    pub fn new(node: Arc<Node>, handle: Handle) -> (Dealer, mpsc::UnboundedReceiver<Name>) {
        let (done, ended) = mpsc::unbounded_channel();
        let busy = FxHashMap::default();
        (Dealer { node, handle, waiting: Default::default(), busy, done }, ended)
    }

    pub fn take(&mut self, advise: Advise) {
        self.waiting[class_of(advise.cost_ms)].push_back(advise);
        self.deal();
    }

    /// A host's call has ended.
    pub fn free(&mut self, host: &Name) {
        self.busy.remove(host);
        self.deal();
    }

    fn deal(&mut self) {
        let mut hosts = self.node.members();
        hosts.push((self.node.settings.host.clone(), self.node.settings.peers));
        hosts.sort();
        let count = hosts.len() as f64;
        for (at, (name, address)) in hosts.into_iter().enumerate() {
            if self.busy.contains_key(&name) {
                continue;
            }
            let place = (at as f64 + 0.5) / count;
            let order: &[usize] = if count < CLASSES as f64 {
                &[0, 1, 2]
            } else if place < SHORT_SHARE {
                &[0]
            } else if place < MIDDLE_SHARE {
                &[1, 0]
            } else {
                &[2, 1, 0]
            };
            let next = order.iter().find_map(|class| self.waiting[*class].pop_front());
            if let Some(advise) = next {
                self.busy.insert(name.clone(), Instant::now());
                self.call(name, address, advise);
            }
        }
    }

    fn call(&self, host: Name, address: SocketAddr, advise: Advise) {
        let (node, handle, done) = (self.node.clone(), self.handle.clone(), self.done.clone());
        tokio::spawn(async move {
            let timeout = Duration::from_secs_f64(advise.cost_ms / 1_000.0) + ADVICE_MARGIN;
            let begun = Instant::now();
            let allowed = if host == node.settings.host {
                node.advise(&advise.step, &advise.hosts, timeout).await
            } else {
                ask_peer(&node, address, &advise, timeout).await
            };
            // The tickets were made at the end of the call's own time at the earliest.
            let spent_ms = millis(begun.elapsed());
            let age_ms = spent_ms.saturating_sub(advise.cost_ms as u64);
            let asked = advise.hosts;
            handle.tell(Event::Advised { step: advise.step, asked, allowed, age_ms });
            // The owner may have ended; nobody deals any more then.
            let _ = done.send(host);
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
            log::debug!("advice through {address}: {error}");
            None
        }
    }
}
