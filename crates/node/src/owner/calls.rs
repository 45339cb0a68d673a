//! Calls to workers, and what the engine learns of their outcomes.
//!
//! Each direct call is a task of its own, so that a slow worker delays no other. Outcomes of
//! calls that an executor has made are reported in the same way.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use sycamore_graph::{Event, Poll, Report, Start, StartOutcome, Stop};
use sycamore_platform::site::{CallOutcome, WorkerClient};
use sycamore_types::Name;
use tokio::sync::Notify;

use super::Handle;
use crate::node::Node;
use crate::timing::{POLL_MARGIN, START_STOP_TIMEOUT};

/// Pause before the engine learns that a stop has no known outcome, or that a worker to
/// poll has no known address. The engine repeats the request shortly afterwards.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// A request of the engine to a worker.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Request {
    Start(Start),
    Stop(Stop),
    Poll(Poll),
}

impl Request {
    /// Returns the name of the worker.
    pub fn host(&self) -> &Name {
        match self {
            Request::Start(start) => &start.host,
            Request::Stop(stop) => &stop.host,
            Request::Poll(poll) => &poll.host,
        }
    }

    /// Returns the time within which a call with this request has an outcome.
    pub fn timeout(&self) -> Duration {
        match self {
            Request::Start(_) | Request::Stop(_) => START_STOP_TIMEOUT,
            Request::Poll(poll) => Duration::from_millis(poll.wait_ms) + POLL_MARGIN,
        }
    }
}

/// Calls workers directly, and reports the outcomes to the engine.
#[derive(Clone, Debug)]
pub(super) struct Calls {
    pub node: Arc<Node>,
    pub handle: Handle,
    worker: WorkerClient,
    /// Notified when a worker has seen a higher fencing token.
    fenced: Arc<Notify>,
}

impl Calls {
    pub fn new(node: Arc<Node>, handle: Handle, fenced: Arc<Notify>) -> Calls {
        let worker = WorkerClient::new(node.workers.clone(), handle.epoch);
        Calls { node, handle, worker, fenced }
    }

    /// Returns the address of the worker that a request is for.
    pub fn address(&self, request: &Request) -> Option<SocketAddr> {
        self.handle.addresses.get(request.host())
    }

    /// Calls the worker.
    pub fn send(&self, request: Request) {
        let calls = self.clone();
        tokio::spawn(async move {
            let address = calls.address(&request);
            let timeout = request.timeout();
            match request {
                Request::Start(start) => {
                    let (outcome, clock_ms) = match address {
                        Some(address) => calls.worker.start(address, &start, timeout).await,
                        None => (StartOutcome::Rejected, 0),
                    };
                    calls.on_started(start, outcome, clock_ms);
                }
                Request::Stop(stop) => {
                    let outcome = match address {
                        Some(address) => calls.worker.stop(address, &stop, timeout).await,
                        None => CallOutcome::Unknown,
                    };
                    calls.on_stopped(stop, outcome).await;
                }
                Request::Poll(poll) => {
                    let report = match address {
                        Some(address) => calls.worker.poll(address, &poll, timeout).await,
                        None => {
                            tokio::time::sleep(RETRY_PAUSE).await;
                            Err(CallOutcome::Unknown)
                        }
                    };
                    calls.on_polled(poll, report);
                }
            }
        });
    }

    /// Reports the outcome of a start to the engine.
    pub fn on_started(&self, start: Start, outcome: StartOutcome, clock_ms: u64) {
        self.node.meters.starts.with_label_values(&[&format!("{outcome:?}")]).inc();
        if outcome != StartOutcome::Started {
            log::info!(
                target: "start", job:% = start.task.step.job, step = start.task.step.index,
                task = start.task.index, attempt = start.attempt, host:% = start.host,
                epoch = self.handle.epoch, outcome:? = outcome; "start not confirmed"
            );
        }
        let Start { host, task, attempt, .. } = start;
        self.handle.send(Event::Started { host, task, attempt, outcome, clock_ms });
    }

    /// Reports the outcome of a stop to the engine, which repeats one without a known outcome at
    /// its first tick after this event.
    pub async fn on_stopped(&self, stop: Stop, outcome: CallOutcome) {
        if outcome == CallOutcome::Unknown {
            tokio::time::sleep(RETRY_PAUSE).await;
        }
        let is_accepted = outcome == CallOutcome::Taken;
        let Stop { host, task, attempt } = stop;
        self.handle.send(Event::Stopped { host, task, attempt, is_accepted });
    }

    /// Reports the outcome of a poll to the engine.
    pub fn on_polled(&self, poll: Poll, report: Result<Report, CallOutcome>) {
        let outcome =
            report.as_ref().map_or_else(|failure| format!("{failure:?}"), |_| "Taken".into());
        self.node.meters.polls.with_label_values(&[&outcome]).inc();
        if matches!(report, Err(CallOutcome::Fenced)) {
            self.fenced.notify_one();
        }
        let (host, number) = (poll.host, poll.number);
        self.handle.send(match report {
            Ok(report) => Event::Polled { host, poll: number, report },
            Err(failure) => {
                Event::PollFailed { host, poll: number, is_gone: failure == CallOutcome::Gone }
            }
        });
    }

    /// Reports that a request may have been carried out or not.
    pub fn on_unknown(&self, request: Request) {
        match request {
            Request::Start(start) => self.on_started(start, StartOutcome::Unknown, 0),
            Request::Stop(stop) => {
                let calls = self.clone();
                tokio::spawn(async move { calls.on_stopped(stop, CallOutcome::Unknown).await });
            }
            Request::Poll(poll) => self.on_polled(poll, Err(CallOutcome::Unknown)),
        }
    }
}
