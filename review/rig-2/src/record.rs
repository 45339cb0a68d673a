//! The record of a case: what was sent, answered and run, with the time since the beginning.

use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Returns the time of day, in milliseconds since 1970.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}

/// A run of a task on a worker.
#[derive(Clone, Debug)]
pub struct Run {
    pub worker: String,
    pub task: String,
    pub attempt: u64,
    pub started_ms: u64,
    pub ended: Option<(u64, String)>,
}

struct Contents {
    file: File,
    runs: Vec<Run>,
}

/// The record. Copies share its contents.
#[derive(Clone)]
pub struct Record {
    begun: Instant,
    contents: Arc<Mutex<Contents>>,
}

impl Record {
    pub fn create(path: &str) -> std::io::Result<Record> {
        let contents = Contents { file: File::create(path)?, runs: Vec::new() };
        Ok(Record { begun: Instant::now(), contents: Arc::new(Mutex::new(contents)) })
    }

    /// Returns the time since the beginning, in milliseconds.
    pub fn now_ms(&self) -> u64 {
        self.begun.elapsed().as_millis() as u64
    }

    fn write(&self, contents: &mut Contents, text: &str) {
        let ms = self.now_ms();
        let _ = writeln!(contents.file, "{:>8.3} {text}", ms as f64 / 1_000.0);
    }

    pub fn note(&self, text: &str) {
        self.write(&mut self.contents.lock().unwrap(), text);
    }

    pub fn started(&self, worker: &str, task: &str, attempt: u64) {
        let mut contents = self.contents.lock().unwrap();
        self.write(&mut contents, &format!("run {task} attempt {attempt} starts on {worker}"));
        contents.runs.push(Run {
            worker: worker.to_string(),
            task: task.to_string(),
            attempt,
            started_ms: self.now_ms(),
            ended: None,
        });
    }

    pub fn ended(&self, worker: &str, task: &str, attempt: u64, how: &str) {
        let ms = self.now_ms();
        let mut contents = self.contents.lock().unwrap();
        self.write(&mut contents, &format!("run {task} attempt {attempt} ends {how} on {worker}"));
        let is_it = |run: &&mut Run| {
            run.worker == worker
                && run.task == task
                && run.attempt == attempt
                && run.ended.is_none()
        };
        if let Some(run) = contents.runs.iter_mut().rev().find(is_it) {
            run.ended = Some((ms, how.to_string()));
        }
    }

    /// Returns the runs of the tasks whose name begins so, in the order of their starts.
    pub fn runs(&self, prefix: &str) -> Vec<Run> {
        let contents = self.contents.lock().unwrap();
        contents.runs.iter().filter(|run| run.task.starts_with(prefix)).cloned().collect()
    }
}
