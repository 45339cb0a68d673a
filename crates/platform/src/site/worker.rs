use std::net::SocketAddr;
use std::time::Duration;

use http::{Request, StatusCode};
use http_body_util::Full;
use serde::Serialize;
use sycamore_graph::{Poll, Report, Start, StartOutcome, Stop};

use super::header::EXPECT_INSTANCE;
use super::task::task_name;
use super::worker_wire::{PollBody, StartBody, StartResponse, StopBody, parse_report};
use crate::http::{Client, Error};

/// What became of a stop or pace order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallOutcome {
    /// The worker has taken it.
    Taken,
    /// Another incarnation answers at this address.
    Gone,
    /// The worker refused it.
    Refused,
    /// Nobody can tell.
    Unknown,
}

/// The workers' interface.
#[derive(Clone, Debug)]
pub struct WorkerClient {
    client: Client,
    fence: u64,
}

impl WorkerClient {
    /// Builds a client whose orders carry a fencing token.
    pub fn new(client: Client, fence: u64) -> WorkerClient {
        WorkerClient { client, fence }
    }

    /// Orders a start. Also returns the worker's clock, zero when unknown.
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
        let result = self.call(address, "run-start", &start.host, &body, timeout).await;
        let (status, bytes) = match result {
            Ok(response) => response,
            Err(Error::NotSent(_)) => return (StartOutcome::Rejected, 0),
            Err(Error::Unknown(_)) => return (StartOutcome::Unknown, 0),
        };
        let response: StartResponse = serde_json::from_slice(&bytes).unwrap_or_default();
        let outcome = match status {
            StatusCode::OK => StartOutcome::Started,
            StatusCode::MISDIRECTED_REQUEST => StartOutcome::Gone,
            StatusCode::CONFLICT => match response.reason.as_str() {
                "fence" => StartOutcome::Fenced,
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

    /// Orders a stop.
    pub async fn stop(&self, address: SocketAddr, stop: &Stop, timeout: Duration) -> CallOutcome {
        let body =
            StopBody { task: task_name(&stop.task), attempt: stop.attempt, fence: self.fence };
        match self.call(address, "run-stop", &stop.host, &body, timeout).await {
            Ok((StatusCode::OK, _)) => CallOutcome::Taken,
            Ok((StatusCode::MISDIRECTED_REQUEST, _)) => CallOutcome::Gone,
            Ok(_) => CallOutcome::Refused,
            Err(_) => CallOutcome::Unknown,
        }
    }

    /// Looks at a worker. `Err(CallOutcome::Gone)` when another incarnation answers.
    ///
    /// # Errors
    ///
    /// Tells why there is no report.
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
            Ok(_) => Err(CallOutcome::Refused),
            Err(_) => Err(CallOutcome::Unknown),
        }
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
        let response = self.client.call(request, timeout).await?;
        Ok((response.status(), response.into_body()))
    }
}
