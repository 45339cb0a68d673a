//! Spreads calls to the advice service over the processes.
//!
//! The service tells which workers may run a step, and handles the calls from one host
//! one at a time.
//!
//! Hosts are those of the processes here, not the workers that a call asks about.

mod assigner;
mod demand;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use sycamore_graph::{Advise, CallClass, Event};
use sycamore_types::Name;
use sycamore_wire::{ConnectionKind, Error};
use tokio::sync::mpsc;

pub(super) use assigner::{Assigner, CallEnd};

use super::Handle;
use crate::clock::millis;
use crate::node::Node;
use crate::peer::{AdviceFailure, Command, Reply};
use crate::timing::{ADVICE_MARGIN, ADVICE_REPLY_MARGIN};

/// A call that has ended: the host that made it, and how it ended.
pub(super) type EndedCall = (Name, CallEnd);

/// Workers that may run a step, each with a ticket.
type Allowed = Vec<(Name, Name)>;

/// The hosts that make calls for advice, for the control thread's log.
#[derive(Debug, Default)]
pub(super) struct Callers {
    /// Number of hosts that can make calls.
    pub hosts: AtomicUsize,
    /// Time that all hosts together have spent on calls so far, in milliseconds.
    pub busy_ms: AtomicU64,
}

/// Queues calls for advice and makes them through free hosts.
#[derive(Debug)]
pub(super) struct AdviceDispatcher {
    node: Arc<Node>,
    handle: Handle,
    assigner: Assigner,
    /// Concurrent calls last reported to the engine, by class.
    concurrency: [u32; CallClass::COUNT],
    ended_calls: mpsc::UnboundedSender<EndedCall>,
}

impl AdviceDispatcher {
    /// Also returns the channel of calls that ended, for [`Self::on_call_ended`].
    pub fn new(
        node: Arc<Node>,
        handle: Handle,
    ) -> (AdviceDispatcher, mpsc::UnboundedReceiver<EndedCall>) {
        let (ended_calls, received) = mpsc::unbounded_channel();
        let assigner = Assigner::default();
        let concurrency = [0; CallClass::COUNT];
        (AdviceDispatcher { node, handle, assigner, concurrency, ended_calls }, received)
    }

    pub fn enqueue(&mut self, advise: Advise) {
        self.assigner.enqueue(advise, Instant::now());
        self.dispatch();
    }

    /// Marks a host as free again.
    pub fn on_call_ended(&mut self, (host, end): &EndedCall) {
        self.assigner.on_call_ended(host, *end, Instant::now());
        self.dispatch();
    }

    /// Reports to the engine how many calls of each class it may have in flight, and makes the
    /// calls that wait for a host that has come or is no longer passed over.
    pub fn update(&mut self) {
        let hosts = self.hosts();
        self.record_use(hosts.len());
        let concurrency = self.assigner.concurrency(&names(&hosts), Instant::now());
        if concurrency != self.concurrency {
            self.concurrency = concurrency;
            self.handle.send(Event::AdviceConcurrency(concurrency));
        }
        self.dispatch();
    }

    /// Counts the time that hosts have spent on calls since the last update.
    fn record_use(&mut self, hosts: usize) {
        let callers = self.handle.callers();
        callers.hosts.store(hosts, Ordering::Relaxed);
        let meters = &self.node.meters;
        meters.advice_hosts.set(hosts as i64);
        for (class, busy) in
            CallClass::ALL.into_iter().zip(self.assigner.take_busy_time(Instant::now()))
        {
            callers.busy_ms.fetch_add(millis(busy), Ordering::Relaxed);
            meters.advice_busy_ms.with_label_values(&[class.name()]).inc_by(millis(busy));
        }
    }

    /// Returns all hosts in order of their names.
    fn hosts(&self) -> Vec<(Name, SocketAddr)> {
        let mut hosts = self.node.live_peers();
        hosts.push((self.node.settings.host.clone(), self.node.settings.peers));
        hosts.sort();
        hosts.dedup_by(|a, b| a.0 == b.0);
        hosts
    }

    fn dispatch(&mut self) {
        if !self.assigner.has_waiting() {
            return;
        }
        let hosts = self.hosts();
        for (name, advise) in self.assigner.assign(&names(&hosts), Instant::now()) {
            if let Some((_, address)) = hosts.iter().find(|(host, _)| *host == name) {
                self.call(name, *address, advise);
            }
        }
    }

    fn call(&self, host: Name, address: SocketAddr, advise: Advise) {
        let (node, handle, ended_calls) =
            (self.node.clone(), self.handle.clone(), self.ended_calls.clone());
        tokio::spawn(async move {
            let timeout = Duration::from_secs_f64(advise.cost_ms / 1_000.0) + ADVICE_MARGIN;
            let started = Instant::now();
            let answer = if host == node.settings.host {
                node.advise(&advise.step, &advise.hosts, timeout).await
            } else {
                ask_peer(&node, address, &advise, timeout).await
            };
            let spent_ms = millis(started.elapsed());
            record_call(&node, &host, &advise, &answer, spent_ms, handle.epoch);
            let end = match &answer {
                Ok(_) => CallEnd::Answered,
                Err(failure) if failure.is_about_call() => CallEnd::Rejected,
                Err(_) => CallEnd::Failed,
            };
            // The service issues tickets no earlier than at the end of the call's expected
            // time, so that they are at most this old. The event may wait before it is handled.
            let age_ms = spent_ms.saturating_sub(advise.cost_ms as u64);
            let issued_ms = node.clock.now().monotonic_ms.saturating_sub(age_ms);
            let Advise { step, class, hosts: asked, .. } = advise;
            handle.send(Event::Advised { step, class, asked, allowed: answer.ok(), issued_ms });
            // Without a receiver the owner has ended.
            let _ = ended_calls.send((host, end));
        });
    }
}

fn names(hosts: &[(Name, SocketAddr)]) -> Vec<Name> {
    hosts.iter().map(|(name, _)| name.clone()).collect()
}

/// Logs a call that has ended, and counts it.
fn record_call(
    node: &Node,
    through: &Name,
    advise: &Advise,
    answer: &Result<Allowed, AdviceFailure>,
    spent_ms: u64,
    epoch: u64,
) {
    let Advise { step, hosts, cost_ms, waited_ms, .. } = advise;
    let (asked, expected_ms) = (hosts.len(), *cost_ms as u64);
    let outcome = if answer.is_ok() { "answered" } else { "failed" };
    let class = advise.class.name();
    node.meters.advice.with_label_values(&[outcome]).inc();
    let waited_s = *waited_ms as f64 / 1_000.0;
    node.meters.advice_wait_s.with_label_values(&[class]).observe(waited_s);
    match answer {
        Ok(allowed) => log::info!(
            target: "advice", job:% = step.job, step = step.index, epoch, through:% = through,
            class, asked, granted = allowed.len(), outcome, waited_ms, expected_ms, spent_ms;
            "advice"
        ),
        Err(failure) => {
            let cause = failure.cause();
            node.meters.advice_failures.with_label_values(&[cause]).inc();
            log::info!(
                target: "advice", job:% = step.job, step = step.index, epoch,
                through:% = through, class, asked, granted = 0, outcome, cause, error:% = failure,
                waited_ms, expected_ms, spent_ms; "advice"
            );
        }
    }
}

async fn ask_peer(
    node: &Arc<Node>,
    address: SocketAddr,
    advise: &Advise,
    timeout: Duration,
) -> Result<Allowed, AdviceFailure> {
    let command = Command::Advise {
        step: advise.step,
        hosts: advise.hosts.clone(),
        timeout_ms: millis(timeout.saturating_sub(ADVICE_REPLY_MARGIN)),
    };
    let kind = ConnectionKind::Traffic;
    match node.pool.call_within::<Reply>(address, kind, &command, timeout).await {
        Ok(Reply::Advice(Some(allowed))) => Ok(allowed),
        Ok(Reply::AdviceFailure(failure)) => Err(failure),
        Ok(_) => Err(AdviceFailure::Unexplained),
        Err(Error::Stalled(_)) => Err(AdviceFailure::PeerTimedOut),
        Err(error) => Err(AdviceFailure::Peer(error.to_string())),
    }
}
