//! An appender that never holds the caller up and bounds what it writes.
//!
//! Lines go to a thread of their own through a queue of fixed length. Each kind of line
//! (its target) has a rate of its own; what is left out is counted, and the count is
//! written with the next line of that kind.

use std::collections::HashMap;
use std::io::Write;
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use log::Record;
use log4rs::append::Append;
use log4rs::encode::Encode;
use log4rs::encode::writer::simple::SimpleWriter;

use super::flat::Flat;

/// Lines that wait for the writer. A full pipe costs lines, not time.
const QUEUE_LINES: usize = 2_048;

/// Lines of one kind a second.
const LINES_PER_S: u32 = 400;

/// Most bytes of one write, which collectors take as a whole.
const PART_BYTES: usize = 4_096;

/// Time for which lines gather before they are written together.
const GATHER: Duration = Duration::from_millis(25);

/// Lines of one kind in the current second.
#[derive(Debug)]
struct Budget {
    since: Instant,
    used: u32,
    left_out: u64,
}

/// Takes whole lines of other formats into the same stream.
#[derive(Clone, Debug)]
pub struct LineSender(SyncSender<Vec<u8>>);

impl LineSender {
    /// Queues a line with its end. A line that finds the queue full is left out and said
    /// to be so.
    pub fn send(&self, line: Vec<u8>) {
        if self.0.try_send(line).is_err() {
            log::warn!(target: "lines", "a record was left out: the log stream is full");
        }
    }
}

/// Writes JSON lines to standard output.
#[derive(Debug)]
pub(super) struct Bounded {
    encoder: Flat,
    lines: SyncSender<Vec<u8>>,
    budgets: Mutex<HashMap<String, Budget>>,
}

impl Bounded {
    /// Starts the writing thread.
    pub fn start() -> std::io::Result<Bounded> {
        let (lines, queue) = sync_channel(QUEUE_LINES);
        std::thread::Builder::new().name("logs".to_string()).spawn(move || write(&queue))?;
        Ok(Bounded { encoder: Flat, lines, budgets: Mutex::default() })
    }

    pub fn lines(&self) -> LineSender {
        LineSender(self.lines.clone())
    }

    /// Takes one line off a kind's budget. Returns how many lines were left out before
    /// it, or `None` when this one is left out as well.
    fn admit(&self, kind: &str) -> Option<u64> {
        let mut budgets = self.budgets.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        if !budgets.contains_key(kind) {
            budgets.insert(kind.to_string(), Budget { since: now, used: 0, left_out: 0 });
        }
        let budget = budgets.get_mut(kind)?;
        if now.duration_since(budget.since) >= Duration::from_secs(1) {
            budget.since = now;
            budget.used = 0;
        }
        if budget.used >= LINES_PER_S {
            budget.left_out += 1;
            return None;
        }
        budget.used += 1;
        Some(std::mem::take(&mut budget.left_out))
    }

    fn leave_out(&self, kind: &str, lines: u64) {
        let mut budgets = self.budgets.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(budget) = budgets.get_mut(kind) {
            budget.left_out += lines;
        }
    }
}

impl Append for Bounded {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        let kind = record.target();
        let Some(left_out) = self.admit(kind) else { return Ok(()) };
        let mut line = SimpleWriter(Vec::with_capacity(256));
        if left_out > 0 {
            let mut count = Record::builder();
            count.level(log::Level::Warn).target(kind);
            self.encoder.encode(
                &mut line,
                &count.args(format_args!("{left_out} lines of this kind left out")).build(),
            )?;
        }
        self.encoder.encode(&mut line, record)?;
        if let Err(TrySendError::Full(_)) = self.lines.try_send(line.0) {
            self.leave_out(kind, left_out + 1);
        }
        Ok(())
    }

    fn flush(&self) {}
}

fn write(queue: &Receiver<Vec<u8>>) {
    let mut buf = Vec::new();
    while let Ok(line) = queue.recv() {
        buf.extend_from_slice(&line);
        std::thread::sleep(GATHER);
        while let Ok(line) = queue.try_recv() {
            buf.extend_from_slice(&line);
        }
        for part in parts(&buf) {
            // Nobody is left to tell when standard output is gone.
            let _ = std::io::stdout().write_all(part);
        }
        buf.clear();
    }
}

/// Cuts whole lines into parts of bounded length. A longer line is a part of its own.
fn parts(mut rest: &[u8]) -> Vec<&[u8]> {
    let mut parts = Vec::new();
    while !rest.is_empty() {
        let is_end = |byte: &u8| *byte == b'\n';
        let window = &rest[..rest.len().min(PART_BYTES)];
        let end = window.iter().rposition(is_end).or_else(|| rest.iter().position(is_end));
        let (part, left) = rest.split_at(end.map_or(rest.len(), |at| at + 1));
        parts.push(part);
        rest = left;
    }
    parts
}
