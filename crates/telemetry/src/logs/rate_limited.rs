//! An appender that never blocks the caller and limits the rate of log lines.
//!
//! A bounded queue passes the lines to a writer thread. The rate is limited separately
//! for each kind of line, which is its log target. Dropped lines are counted, and the
//! count is logged before the next line of the same kind.

use std::collections::HashMap;
use std::io::Write;
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use log::Record;
use log4rs::append::Append;
use log4rs::encode::Encode;
use log4rs::encode::writer::simple::SimpleWriter;

use super::json::JsonLines;

/// Largest number of lines that wait for the writer thread. While standard output is
/// blocked, further lines are dropped rather than delaying the caller.
const QUEUE_CAPACITY_LINES: usize = 2_048;

/// Largest number of lines of one kind that are written in one second.
const MAX_LINES_PER_SECOND: u32 = 400;

/// Largest size of one write. Log collectors read a write of this size in one piece.
const MAX_WRITE_BYTES: usize = 4_096;

/// Time that the writer thread waits for more lines after the first one of a batch.
const BATCH_DELAY: Duration = Duration::from_millis(25);

/// Counts the lines of one kind within the current second.
#[derive(Debug)]
struct RateWindow {
    started: Instant,
    admitted: u32,
    /// Lines dropped since the count was last logged. Carried over to the next second.
    dropped: u64,
}

/// Writes complete lines of other formats to the log stream.
#[derive(Clone, Debug)]
pub struct LineSender(SyncSender<Vec<u8>>);

impl LineSender {
    /// Queues a line, which must include its line terminator. If the queue is full, drops
    /// the line and logs a warning.
    pub fn send(&self, line: Vec<u8>) {
        if self.0.try_send(line).is_err() {
            log::warn!(target: "lines", "dropped a line because the log queue is full");
        }
    }
}

/// Writes log records to standard output as JSON lines.
#[derive(Debug)]
pub(super) struct RateLimited {
    encoder: JsonLines,
    sender: SyncSender<Vec<u8>>,
    windows: Mutex<HashMap<String, RateWindow>>,
}

impl RateLimited {
    /// Starts the writer thread.
    pub fn start() -> std::io::Result<RateLimited> {
        let (sender, queue) = sync_channel(QUEUE_CAPACITY_LINES);
        std::thread::Builder::new().name("logs".to_string()).spawn(move || run_writer(&queue))?;
        Ok(RateLimited { encoder: JsonLines, sender, windows: Mutex::default() })
    }

    pub fn sender(&self) -> LineSender {
        LineSender(self.sender.clone())
    }

    /// Checks one line against the rate limit. Returns the number of lines of this kind
    /// dropped before it, or `None` if this line must be dropped as well.
    fn admit(&self, kind: &str) -> Option<u64> {
        let mut windows = self.windows.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        if !windows.contains_key(kind) {
            windows.insert(kind.to_string(), RateWindow { started: now, admitted: 0, dropped: 0 });
        }
        let window = windows.get_mut(kind)?;
        if now.duration_since(window.started) >= Duration::from_secs(1) {
            window.started = now;
            window.admitted = 0;
        }
        if window.admitted >= MAX_LINES_PER_SECOND {
            window.dropped += 1;
            return None;
        }
        window.admitted += 1;
        Some(std::mem::take(&mut window.dropped))
    }

    fn record_dropped(&self, kind: &str, lines: u64) {
        let mut windows = self.windows.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(window) = windows.get_mut(kind) {
            window.dropped += lines;
        }
    }
}

impl Append for RateLimited {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        let kind = record.target();
        let Some(dropped) = self.admit(kind) else { return Ok(()) };
        let mut line = SimpleWriter(Vec::with_capacity(256));
        if dropped > 0 {
            let mut notice = Record::builder();
            notice.level(log::Level::Warn).target(kind);
            self.encoder.encode(
                &mut line,
                &notice.args(format_args!("dropped {dropped} earlier lines of this kind")).build(),
            )?;
        }
        self.encoder.encode(&mut line, record)?;
        if let Err(TrySendError::Full(_)) = self.sender.try_send(line.0) {
            self.record_dropped(kind, dropped + 1);
        }
        Ok(())
    }

    fn flush(&self) {}
}

fn run_writer(queue: &Receiver<Vec<u8>>) {
    let mut buf = Vec::new();
    while let Ok(line) = queue.recv() {
        buf.extend_from_slice(&line);
        std::thread::sleep(BATCH_DELAY);
        while let Ok(line) = queue.try_recv() {
            buf.extend_from_slice(&line);
        }
        for part in split_at_lines(&buf) {
            // An error can't be reported once standard output is closed.
            let _ = std::io::stdout().write_all(part);
        }
        buf.clear();
    }
}

/// Splits the buffer at line ends into parts of at most [`MAX_WRITE_BYTES`]. A longer line
/// is a part of its own.
fn split_at_lines(mut rest: &[u8]) -> Vec<&[u8]> {
    let mut parts = Vec::new();
    while !rest.is_empty() {
        let is_newline = |byte: &u8| *byte == b'\n';
        let window = &rest[..rest.len().min(MAX_WRITE_BYTES)];
        let end = window.iter().rposition(is_newline).or_else(|| rest.iter().position(is_newline));
        let (part, remainder) = rest.split_at(end.map_or(rest.len(), |index| index + 1));
        parts.push(part);
        rest = remainder;
    }
    parts
}
