//! The client of the workers, which starts, stops and polls runs of tasks.
//!
//! Every call carries the owner's fencing token, so that a worker rejects calls of a previous
//! owner, and the id of the worker incarnation that it is meant for.

use std::net::{IpAddr, SocketAddr};
use std::time::{Duration, Instant};

use http::{Request, StatusCode};
use http_body_util::Full;
use serde::Serialize;
use sycamore_graph::{Poll, Report, Start, StartOutcome, Stop};

use super::header::EXPECT_INSTANCE;
use super::task::task_name;
use super::worker_wire::{PollBody, StartBody, StartResponse, StopBody, parse_report};
use crate::http::{CallLimit, Client, Error};

/// Most starts and stops in flight to one worker. Their connections stay open at the worker if this
/// process loses power, and a worker of the documented sites takes 64 in all.
const MAX_ORDERS_PER_WORKER: usize = 5;

/// Most idle connections to one worker. The pool opens more of them now and then than there are
/// calls in flight, as a call may begin before the connection of the last one is back.
const MAX_IDLE_PER_WORKER: usize = MAX_ORDERS_PER_WORKER;

/// Reason of a refusal because of a higher fencing token.
const FENCED: &str = "fence";

/// The outcome of a call that stops a run or polls a worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallOutcome {
    /// The worker accepted the call.
    Taken,
    /// Another incarnation of the worker responded at this address.
    Gone,
    /// The worker has seen a higher fencing token.
    Fenced,
    /// The worker refused the call.
    Refused,
    /// There was no valid response: the call may have been carried out or not.
    Unknown,
}

/// Connections to all workers, shared by the clients of one process.
///
/// Starts and stops wait for one of a few connections to their worker. Polls don't wait, and their
/// number is not limited here: usually one or two are in flight, more after stops of several runs.
#[derive(Clone, Debug)]
pub struct WorkerConnections {
    client: Client,
    orders: CallLimit,
}

impl WorkerConnections {
    /// Builds connections that are closed after `idle_timeout` without use.
    pub fn new(idle_timeout: Duration) -> WorkerConnections {
        WorkerConnections::with_source_address(idle_timeout, None)
    }

    /// Builds such connections from `source_address`, or from the address that the system chooses.
    pub fn with_source_address(
        idle_timeout: Duration,
        source_address: Option<IpAddr>,
    ) -> WorkerConnections {
        let client = Client::with_idle_limits(idle_timeout, MAX_IDLE_PER_WORKER, source_address);
        WorkerConnections { client, orders: CallLimit::new(MAX_ORDERS_PER_WORKER) }
    }
}

/// A client of all workers.
#[derive(Clone, Debug)]
pub struct WorkerClient {
    connections: WorkerConnections,
    fence: u64,
}

impl WorkerClient {
    /// Builds a client whose calls carry the fencing token of the owner.
    pub fn new(connections: WorkerConnections, fence: u64) -> WorkerClient {
        WorkerClient { connections, fence }
    }

    /// Starts a run of a task.
    ///
    /// Also returns the worker's clock in milliseconds, or zero if it is unknown.
    pub async fn start(
        &self,
        address: SocketAddr,
        start: &Start,
        timeout: Duration,
    ) -> (StartOutcome, u64) {
        let body = StartBody {
            task: task_name(&start.task),
            attempt: start.attempt,
            spec: &start.payload,
            deadline_ms: start.deadline_ms,
            fence: self.fence,
            checkpoint: (!start.checkpoint.is_empty()).then_some(&*start.checkpoint),
            token: start.ticket.as_deref(),
        };
        let result = self.order(address, "run-start", &start.host, &body, timeout).await;
        let (status, bytes) = match result {
            Ok(response) => response,
            Err(Error::NotSent(_)) => return (StartOutcome::Rejected, 0),
            Err(_) => return (StartOutcome::Unknown, 0),
        };
        let response: StartResponse = serde_json::from_slice(&bytes).unwrap_or_default();
        let outcome = match status {
            StatusCode::OK => StartOutcome::Started,
            StatusCode::MISDIRECTED_REQUEST => StartOutcome::Gone,
            StatusCode::CONFLICT => match response.reason.as_str() {
                FENCED => StartOutcome::Fenced,
                "room" => StartOutcome::NoRoom,
                "ticket" => StartOutcome::BadTicket,
                _ => StartOutcome::Rejected,
            },
            StatusCode::BAD_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE => StartOutcome::Rejected,
            _ => StartOutcome::Unknown,
        };
        (outcome, response.clock_ms)
    }

    /// Stops a run of a task.
    pub async fn stop(&self, address: SocketAddr, stop: &Stop, timeout: Duration) -> CallOutcome {
        let body =
            StopBody { task: task_name(&stop.task), attempt: stop.attempt, fence: self.fence };
        match self.order(address, "run-stop", &stop.host, &body, timeout).await {
            Ok((StatusCode::OK, _)) => CallOutcome::Taken,
            Ok((StatusCode::MISDIRECTED_REQUEST, _)) => CallOutcome::Gone,
            Ok(_) => CallOutcome::Refused,
            Err(_) => CallOutcome::Unknown,
        }
    }

    /// Polls a worker for its running and finished runs, and renews its lease.
    ///
    /// The worker delays the response for up to `poll.wait_ms` until a run has finished. The lease
    /// is renewed only if `poll.deadline_ms` is set.
    ///
    /// # Errors
    ///
    /// Returns the outcome of the call if there is no report.
    pub async fn poll(
        &self,
        address: SocketAddr,
        poll: &Poll,
        timeout: Duration,
    ) -> Result<Report, CallOutcome> {
        let body = PollBody {
            deadline_ms: poll.deadline_ms,
            fence: self.fence,
            ack_seq: poll.ack,
            wait_ms: poll.wait_ms,
        };
        match self.call(address, "hold", &poll.host, &body, timeout).await {
            Ok((StatusCode::OK, bytes)) => parse_report(&bytes).ok_or(CallOutcome::Unknown),
            Ok((StatusCode::MISDIRECTED_REQUEST, _)) => Err(CallOutcome::Gone),
            Ok((StatusCode::CONFLICT, bytes)) if is_fenced(&bytes) => Err(CallOutcome::Fenced),
            Ok(_) => Err(CallOutcome::Refused),
            Err(_) => Err(CallOutcome::Unknown),
        }
    }

    /// Makes a call that waits for a free connection, for half of its time at most.
    async fn order<B: Serialize>(
        &self,
        address: SocketAddr,
        name: &str,
        host: &str,
        body: &B,
        timeout: Duration,
    ) -> Result<(StatusCode, bytes::Bytes), Error> {
        let started = Instant::now();
        let Some(_permit) = self.connections.orders.acquire(address, timeout / 2).await else {
            let error = Error::NotSent("all connections to the worker are in use".to_string());
            log_failure(name, host, self.fence, &error);
            return Err(error);
        };
        self.call(address, name, host, body, timeout.saturating_sub(started.elapsed())).await
    }

    async fn call<B: Serialize>(
        &self,
        address: SocketAddr,
        name: &str,
        host: &str,
        body: &B,
        timeout: Duration,
    ) -> Result<(StatusCode, bytes::Bytes), Error> {
        let body = serde_json::to_vec(body).map_err(|error| Error::NotSent(error.to_string()))?;
        let request = Request::post(format!("http://{address}/sycamorechute/{name}"))
            .header("content-type", "application/json")
            .header(EXPECT_INSTANCE, host)
            .body(Full::new(bytes::Bytes::from(body)))
            .map_err(|error| Error::NotSent(error.to_string()))?;
        let response = self.connections.client.call(request, timeout).await;
        let response = response.inspect_err(|error| log_failure(name, host, self.fence, error))?;
        Ok((response.status(), response.into_body()))
    }
}

fn log_failure(call: &str, host: &str, epoch: u64, error: &Error) {
    log::info!(target: "call", host, call, epoch, error:%; "call to a worker failed");
}

/// Returns whether a refusal says that the worker has seen a higher fencing token.
fn is_fenced(bytes: &[u8]) -> bool {
    serde_json::from_slice::<StartResponse>(bytes).is_ok_and(|response| response.reason == FENCED)
}
