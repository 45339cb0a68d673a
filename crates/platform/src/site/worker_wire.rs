//! Bodies of calls to workers and of their responses.
//!
//! A row of a report with an unknown task name or outcome is logged and skipped; the rest of the
//! report is still used.

use std::fmt;
use std::marker::PhantomData;

use serde::de::{self, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer, Serialize};
use serde_json::value::RawValue;
use sycamore_graph::{Report, RunEnd, TaskId};
use sycamore_types::Name;

use super::row::whole_number;
use super::task::parse_task;

/// Largest number of finished runs in one response, according to the platform's documentation.
/// More may be waiting if a response has this many.
pub const MAX_FINISHED_PER_POLL: usize = 500;

#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
pub(super) struct StartBody<'a> {
    pub task: String,
    pub attempt: u32,
    /// Payload of the job.
    pub spec: &'a str,
    /// Time on the worker's clock after which the start is void.
    pub deadline_ms: u64,
    /// Fencing token of the owner.
    pub fence: u64,
    /// Progress to continue from.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub checkpoint: Option<&'a str>,
    /// Ticket of the advice service, where the queue needs one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub token: Option<&'a str>,
}

#[derive(Serialize)]
pub(super) struct StopBody {
    pub task: String,
    pub attempt: u32,
    pub fence: u64,
}

#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
pub(super) struct PollBody {
    /// End of the lease on the worker's clock. Absent if the lease is not renewed.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<u64>,
    pub fence: u64,
    /// Finished runs up to this sequence number need not be reported again.
    pub ack_seq: u64,
    /// Longest delay of the response while no run has finished.
    #[serde(skip_serializing_if = "is_zero")]
    pub wait_ms: u64,
}

fn is_zero(number: &u64) -> bool {
    *number == 0
}

#[derive(Default, Deserialize)]
#[serde(default, rename_all = "kebab-case")]
pub(super) struct StartResponse {
    /// The worker's clock.
    #[serde(deserialize_with = "whole_number")]
    pub clock_ms: u64,
    /// Why the start was refused.
    pub reason: String,
}

/// The response to a poll. A row is a [`RunningRow`] or [`FinishedRow`], or a [`Row`] that may be
/// neither.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct PollResponse<R, F> {
    #[serde(deserialize_with = "whole_number")]
    clock_ms: u64,
    /// Start of the incarnation that responded, in milliseconds since 1970.
    #[serde(default, deserialize_with = "whole_number")]
    born: u64,
    #[serde(default = "Vec::new")]
    running: Vec<R>,
    #[serde(default = "Vec::new")]
    finished: Vec<F>,
}

/// A row that may be malformed. Its text is kept until it is read alone: a value that is buffered
/// to be read in another way must not be nested deeply or have a number out of range.
#[derive(Deserialize)]
#[serde(bound = "'de: 'a", transparent)]
struct Row<'a, T>(&'a RawValue, #[serde(skip)] PhantomData<T>);

impl<'a, T: Deserialize<'a>> From<Row<'a, T>> for Option<T> {
    fn from(row: Row<'a, T>) -> Option<T> {
        serde_json::from_str(row.0.get()).ok()
    }
}

/// A running task, sent as an array. Further elements, such as the load, are ignored.
struct RunningRow {
    task: String,
    attempt: u32,
    checkpoint: Name,
    /// Progress, from 0 to 100.
    percent: f64,
}

impl<'de> Deserialize<'de> for RunningRow {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<RunningRow, D::Error> {
        deserializer.deserialize_seq(RunningRowVisitor)
    }
}

struct RunningRowVisitor;

impl<'de> Visitor<'de> for RunningRowVisitor {
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

/// A finished run: sequence number, task, attempt, how it ended, last checkpoint.
type FinishedRow = (u64, String, u32, String, Name);

/// Parses the response to a poll. Returns `None` if it is malformed as a whole.
///
/// A malformed row of a running task is left out, and one of a run end ends the list, since the
/// ends behind it must not be acknowledged before it. The report counts as truncated then, so
/// that no run is taken for ended because it is not listed.
pub fn parse_report(bytes: &[u8]) -> Option<Report> {
    if let Ok(response) = serde_json::from_slice::<PollResponse<RunningRow, FinishedRow>>(bytes) {
        return Some(to_report(response));
    }
    // Bytes that are not UTF-8 would make the other rows unreadable too.
    let text = String::from_utf8_lossy(bytes);
    match serde_json::from_str::<PollResponse<Row<'_, RunningRow>, Row<'_, FinishedRow>>>(&text) {
        Ok(response) => Some(to_report(response)),
        Err(error) => {
            log::warn!("can't parse the report of a worker: {error}");
            None
        }
    }
}

fn to_report<R, F>(response: PollResponse<R, F>) -> Report
where
    R: Into<Option<RunningRow>>,
    F: Into<Option<FinishedRow>>,
{
    let rows = (response.running.len(), response.finished.len());
    let running: Vec<_> =
        response.running.into_iter().filter_map(|row| parse_running(row.into()?)).collect();
    let ended: Vec<_> =
        response.finished.into_iter().map_while(|row| parse_ended(row.into()?)).collect();
    let is_malformed = (running.len(), ended.len()) != rows;
    if is_malformed {
        log::warn!("a worker's report has malformed rows, which are ignored");
    }
    Report {
        incarnation: response.born,
        clock_ms: response.clock_ms,
        running,
        ended,
        is_truncated: is_malformed || rows.1 >= MAX_FINISHED_PER_POLL,
    }
}

fn parse_running(row: RunningRow) -> Option<(TaskId, u32, Name, u8)> {
    Some((parse_task_or_warn(&row.task)?, row.attempt, row.checkpoint, row.percent as u8))
}

fn parse_ended(row: FinishedRow) -> Option<(u64, TaskId, u32, RunEnd, Name)> {
    let (seq, task, attempt, how, checkpoint) = row;
    Some((seq, parse_task_or_warn(&task)?, attempt, parse_run_end(&how)?, checkpoint))
}

fn parse_task_or_warn(name: &str) -> Option<TaskId> {
    let task = parse_task(name);
    if task.is_none() {
        log::warn!("worker reported a task with a malformed name: {name}");
    }
    task
}

fn parse_run_end(word: &str) -> Option<RunEnd> {
    Some(match word {
        "done" => RunEnd::Done,
        "failed" => RunEnd::Failed,
        "stopped" => RunEnd::Stopped,
        "lapsed" => RunEnd::LeaseExpired,
        "broken" => RunEnd::GangBroken,
        "alone" => RunEnd::GangTimedOut,
        other => {
            log::warn!("worker reported a run with an unknown outcome: {other}");
            return None;
        }
    })
}
