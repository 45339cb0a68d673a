//! What clients sent, what they were answered and what workers ran, in order.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::sync::Mutex;
use std::time::Instant;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum What {
    Started,
    Ended(&'static str),
    /// The scheduler has acknowledged the end.
    Noted(&'static str),
    /// The lease of the worker has lapsed. Names no task.
    Lapsed,
}

#[derive(Clone, Debug)]
pub struct Entry {
    pub at_ms: u64,
    pub worker: String,
    pub task: String,
    pub attempt: u64,
    pub what: What,
}

pub struct Ledger {
    begin: Instant,
    entries: Mutex<Vec<Entry>>,
    lines: Mutex<Vec<(u64, String)>>,
}

impl Ledger {
    pub fn new() -> Ledger {
        let (entries, lines) = Default::default();
        Ledger { begin: Instant::now(), entries, lines }
    }

    pub fn now_ms(&self) -> u64 {
        self.begin.elapsed().as_millis() as u64
    }

    pub fn note(&self, worker: &str, task: &str, attempt: u64, what: What) {
        let mut entries = self.entries.lock().unwrap();
        let at_ms = self.now_ms();
        let (worker, task) = (worker.to_string(), task.to_string());
        entries.push(Entry { at_ms, worker, task, attempt, what });
    }

    /// Adds a line about clients, the platform or the processes, and prints it.
    pub fn say(&self, line: &str) {
        let at_ms = self.now_ms();
        println!("{:7.3} s  {line}", at_ms as f64 / 1_000.0);
        self.lines.lock().unwrap().push((at_ms, line.to_string()));
    }

    pub fn entries(&self) -> Vec<Entry> {
        self.entries.lock().unwrap().clone()
    }

    /// Returns how many starts there were of tasks whose name begins so.
    pub fn starts(&self, prefix: &str) -> usize {
        let entries = self.entries.lock().unwrap();
        let is_start =
            |entry: &&Entry| entry.what == What::Started && entry.task.starts_with(prefix);
        entries.iter().filter(is_start).count()
    }

    pub fn has_ended(&self, task: &str, how: &'static str) -> bool {
        let entries = self.entries.lock().unwrap();
        entries.iter().any(|entry| entry.task == task && entry.what == What::Ended(how))
    }

    /// Returns how many jobs whose name begins so have a task that has started.
    pub fn begun(&self, prefix: &str) -> usize {
        let entries = self.entries.lock().unwrap();
        let started = entries
            .iter()
            .filter(|entry| entry.what == What::Started && entry.task.starts_with(prefix))
            .filter_map(|entry| entry.task.split('.').next());
        started.collect::<std::collections::BTreeSet<&str>>().len()
    }

    /// Writes all to a file, in order of time.
    pub fn save(&self, path: &str) {
        let mut rows = self.lines.lock().unwrap().clone();
        for entry in self.entries.lock().unwrap().iter() {
            let what = match entry.what {
                What::Started => "started".to_string(),
                What::Ended(how) => format!("ended {how}"),
                What::Noted(how) => format!("end {how} taken note of"),
                What::Lapsed => "lease has lapsed".to_string(),
            };
            let Entry { worker, task, attempt, .. } = entry;
            rows.push((entry.at_ms, format!("worker {worker}: task {task} run {attempt} {what}")));
        }
        rows.sort_by_key(|(at_ms, _)| *at_ms);
        let mut text = String::new();
        for (at_ms, line) in rows {
            let _ = writeln!(text, "{:7.3} s  {line}", at_ms as f64 / 1_000.0);
        }
        if let Err(error) = std::fs::write(path, text) {
            eprintln!("can't write the record: {error}");
        }
    }
}

/// A start of a task after one of its runs had ended `done`.
pub struct Twice {
    pub task: String,
    pub done: Entry,
    pub start: Entry,
}

/// Returns the breaks of TWICE: starts after a run has ended `done`, if that end is taken note of then
/// or later, unless the lease of the worker lapsed between the two.
pub fn twice(entries: &[Entry]) -> Vec<Twice> {
    let mut by_task: BTreeMap<&str, Vec<&Entry>> = BTreeMap::new();
    for entry in entries.iter().filter(|entry| entry.what != What::Lapsed) {
        by_task.entry(&entry.task).or_default().push(entry);
    }
    let lapses: Vec<&Entry> = entries.iter().filter(|entry| entry.what == What::Lapsed).collect();
    let mut found = Vec::new();
    for (task, rows) in by_task {
        let done = rows.iter().enumerate().filter(|(_, row)| row.what == What::Ended("done"));
        for (at, done) in done {
            let is_noted = |row: &&&Entry| {
                let noted = What::Noted("done");
                (&row.worker, row.attempt, row.what) == (&done.worker, done.attempt, noted)
            };
            let Some(noted) = rows.iter().find(is_noted) else { continue };
            let is_between = |lapse: &&Entry| {
                lapse.worker == done.worker && (done.at_ms..=noted.at_ms).contains(&lapse.at_ms)
            };
            let start = rows[at..].iter().find(|row| row.what == What::Started);
            if let Some(start) = start
                && !lapses.iter().any(is_between)
            {
                let (task, done, start) = (task.to_string(), (*done).clone(), (*start).clone());
                found.push(Twice { task, done, start });
            }
        }
    }
    found
}
