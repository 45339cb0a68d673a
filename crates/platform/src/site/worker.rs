use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use http::{Request, StatusCode};
use http_body_util::Full;
use serde::de::{self, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer, Serialize};
use sycamore_graph::{Hold, HostEntry, Report, RunEnd, Start, StartOutcome, Stop, Task};
use sycamore_types::Name;
use sycamore_types::resources::Resources;

use super::header::EXPECT_INSTANCE;
use super::task::{parse_task, task_name};
use crate::http::{Client, Error};

/// Ends in one answer. Platform documentation.
const MAX_ENDS: usize = 500;

/// What a worker says of itself.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Entry {
    service: Name,
    addr: SocketAddr,
    state: Name,
    capacity: Capacity,
    labels: Vec<Name>,
    #[serde(default)]
    born: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Capacity {
    cpu: u32,
    mem_mb: u32,
    #[serde(default)]
    gpu: u32,
}

/// Reads a worker's entry. `None` when it names no worker to use.
pub fn parse_entry(id: &str, value: &[u8]) -> Option<(HostEntry, SocketAddr)> {
    let entry: Entry = serde_json::from_slice(value).ok()?;
    let is_draining = match &*entry.state {
        "ready" => false,
        "draining" => true,
        _ => return None,
    };
    // The first label is the worker's kind, the second its rack.
    let rack = entry.labels.get(1).cloned().unwrap_or_else(|| Name::from(""));
    let host = HostEntry {
        id: Name::from(id),
        born: entry.born,
        service: entry.service,
        capacity: Resources {
            cpu_millis: entry.capacity.cpu,
            memory_mib: entry.capacity.mem_mb,
            accelerators: entry.capacity.gpu,
            slots: 0,
            connections: 0,
        },
        labels: entry.labels.into(),
        rack,
        is_draining,
    };
    Some((host, entry.addr))
}

/// What became of a stop or pace order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Order {
    /// The worker has taken it.
    Taken,
    /// Another incarnation answers at this address.
    Gone,
    /// The worker refused it.
    Refused,
    /// Nobody can tell.
    Unknown,
}

#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
struct StartBody<'a> {
    task: String,
    attempt: u32,
    spec: &'a str,
    deadline_ms: u64,
    fence: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    checkpoint: Option<&'a str>,
    /// Ticket of the advice service.
    #[serde(skip_serializing_if = "Option::is_none")]
    token: Option<&'a str>,
}

#[derive(Serialize)]
struct StopBody {
    task: String,
    attempt: u32,
    fence: u64,
}

#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
struct HoldBody {
    #[serde(skip_serializing_if = "Option::is_none")]
    deadline_ms: Option<u64>,
    fence: u64,
    ack_seq: u64,
    #[serde(skip_serializing_if = "is_zero")]
    wait_ms: u64,
}

fn is_zero(number: &u64) -> bool {
    *number == 0
}

#[derive(Default, Deserialize)]
#[serde(default, rename_all = "kebab-case")]
struct StartAnswer {
    clock_ms: u64,
    reason: String,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct HoldAnswer {
    clock_ms: u64,
    #[serde(default)]
    born: u64,
    #[serde(default)]
    running: Vec<RunningRow>,
    #[serde(default)]
    finished: Vec<FinishedRow>,
}

/// A row of what runs. Further columns, such as the load, are passed over.
struct RunningRow {
    task: String,
    attempt: u32,
    checkpoint: Name,
    percent: f64,
}

impl<'de> Deserialize<'de> for RunningRow {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<RunningRow, D::Error> {
        deserializer.deserialize_seq(RunningVisitor)
    }
}

struct RunningVisitor;

impl<'de> Visitor<'de> for RunningVisitor {
    type Value = RunningRow;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a row of task, attempt, checkpoint and percent")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut row: A) -> Result<RunningRow, A::Error> {
        let missing = |at| de::Error::invalid_length(at, &self);
        let task = row.next_element()?.ok_or_else(|| missing(0))?;
        let attempt = row.next_element()?.ok_or_else(|| missing(1))?;
        let checkpoint = row.next_element()?.ok_or_else(|| missing(2))?;
        let percent = row.next_element()?.ok_or_else(|| missing(3))?;
        while row.next_element::<de::IgnoredAny>()?.is_some() {}
        Ok(RunningRow { task, attempt, checkpoint, percent })
    }
}

/// Number, task, attempt, how, checkpoint.
type FinishedRow = (u64, String, u32, String, Name);

/// The workers' interface.
#[derive(Clone, Debug)]
pub struct Worker {
    client: Client,
    fence: u64,
}

impl Worker {
    /// Builds a client whose orders carry a fencing token.
    pub fn new(client: Client, fence: u64) -> Worker {
        Worker { client, fence }
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
        let answered = self.call(address, "run-start", &start.host, &body, timeout).await;
        let (status, bytes) = match answered {
            Ok(answer) => answer,
            Err(Error::NotSent(_)) => return (StartOutcome::Rejected, 0),
            Err(Error::Unknown(_)) => return (StartOutcome::Unknown, 0),
        };
        let answer: StartAnswer = serde_json::from_slice(&bytes).unwrap_or_default();
        let outcome = match status {
            StatusCode::OK => StartOutcome::Started,
            StatusCode::MISDIRECTED_REQUEST => StartOutcome::Gone,
            StatusCode::CONFLICT => match answer.reason.as_str() {
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
        (outcome, answer.clock_ms)
    }

    /// Orders a stop.
    pub async fn stop(&self, address: SocketAddr, stop: &Stop, timeout: Duration) -> Order {
        let body =
            StopBody { task: task_name(&stop.task), attempt: stop.attempt, fence: self.fence };
        match self.call(address, "run-stop", &stop.host, &body, timeout).await {
            Ok((StatusCode::OK, _)) => Order::Taken,
            Ok((StatusCode::MISDIRECTED_REQUEST, _)) => Order::Gone,
            Ok(_) => Order::Refused,
            Err(_) => Order::Unknown,
        }
    }

    /// Looks at a worker. `Err(Order::Gone)` when another incarnation answers.
    ///
    /// # Errors
    ///
    /// Tells why there is no report.
    pub async fn hold(
        &self,
        address: SocketAddr,
        hold: &Hold,
        timeout: Duration,
    ) -> Result<Report, Order> {
        let body = HoldBody {
            deadline_ms: hold.deadline_ms,
            fence: self.fence,
            ack_seq: hold.ack,
            wait_ms: hold.wait_ms,
        };
        match self.call(address, "hold", &hold.host, &body, timeout).await {
            Ok((StatusCode::OK, bytes)) => report(&bytes).ok_or(Order::Unknown),
            Ok((StatusCode::MISDIRECTED_REQUEST, _)) => Err(Order::Gone),
            Ok(_) => Err(Order::Refused),
            Err(_) => Err(Order::Unknown),
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

fn report(bytes: &[u8]) -> Option<Report> {
    let answer: HoldAnswer = match serde_json::from_slice(bytes) {
        Ok(answer) => answer,
        Err(error) => {
            log::warn!("a worker's report can't be read: {error}");
            return None;
        }
    };
    let is_truncated = answer.finished.len() >= MAX_ENDS;
    let running = answer.running.into_iter().filter_map(|row| {
        Some((named(&row.task)?, row.attempt, row.checkpoint, row.percent as u8))
    });
    let ended = answer.finished.into_iter().filter_map(|(seq, task, attempt, how, saved)| {
        Some((seq, named(&task)?, attempt, run_end(&how)?, saved))
    });
    Some(Report {
        born: answer.born,
        clock_ms: answer.clock_ms,
        running: running.collect(),
        ended: ended.collect(),
        is_truncated,
    })
}

fn named(name: &str) -> Option<Task> {
    let task = parse_task(name);
    if task.is_none() {
        log::warn!("a worker lists a task with a foreign name: {name}");
    }
    task
}

fn run_end(word: &str) -> Option<RunEnd> {
    Some(match word {
        "done" => RunEnd::Done,
        "failed" => RunEnd::Failed,
        "stopped" => RunEnd::Stopped,
        "lapsed" => RunEnd::Lapsed,
        "broken" => RunEnd::Broken,
        "alone" => RunEnd::Alone,
        other => {
            log::warn!("a worker lists an unknown kind of end: {other}");
            return None;
        }
    })
}
