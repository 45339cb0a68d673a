//! The stand-in's one worker.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

/// Time that each task takes.
const WORK: Duration = Duration::from_millis(150);

#[derive(Debug)]
pub struct Worker {
    origin: Instant,
    fence: u64,
    runs: BTreeMap<(String, u64), Instant>,
    ends: Vec<(u64, String, u64, &'static str)>,
    last: u64,
    done: BTreeSet<String>,
    /// Tasks that were started while they ran or after they were done.
    pub doubled: u32,
}

impl Worker {
    pub fn new() -> Worker {
        Worker {
            origin: Instant::now(),
            fence: 0,
            runs: BTreeMap::new(),
            ends: Vec::new(),
            last: 0,
            done: BTreeSet::new(),
            doubled: 0,
        }
    }

    fn clock_ms(&self) -> u64 {
        self.origin.elapsed().as_millis() as u64
    }

    fn work(&mut self) {
        let ended: Vec<_> = self
            .runs
            .iter()
            .filter(|(_, begun)| begun.elapsed() >= WORK)
            .map(|(key, _)| key.clone())
            .collect();
        for (task, attempt) in ended {
            self.done.insert(task.clone());
            self.end(task, attempt, "done");
        }
    }

    fn end(&mut self, task: String, attempt: u64, how: &'static str) {
        if self.runs.remove(&(task.clone(), attempt)).is_some() {
            self.last += 1;
            self.ends.push((self.last, task, attempt, how));
        }
    }

    /// Carries an order out. `None` while a look waits for an end.
    pub fn order(&mut self, call: &str, body: &Value, waited: Duration) -> Option<(u16, Value)> {
        self.work();
        let clock_ms = self.clock_ms();
        let fence = body["fence"].as_u64().unwrap_or(0);
        if fence < self.fence {
            return Some((409, json!({ "clock-ms": clock_ms, "reason": "fence" })));
        }
        self.fence = fence;
        let task = body["task"].as_str().unwrap_or_default().to_string();
        let attempt = body["attempt"].as_u64().unwrap_or(0);
        match call {
            "run-start" => {
                let is_there = self.runs.keys().any(|(other, _)| *other == task);
                self.doubled += u32::from(is_there || self.done.contains(&task));
                self.runs.insert((task, attempt), Instant::now());
            }
            "run-stop" => self.end(task, attempt, "stopped"),
            _ => return self.hold(body, waited),
        }
        Some((200, json!({ "clock-ms": clock_ms })))
    }

    fn hold(&mut self, body: &Value, waited: Duration) -> Option<(u16, Value)> {
        let ack = body["ack-seq"].as_u64().unwrap_or(0);
        self.ends.retain(|(seq, ..)| *seq > ack);
        let wait = Duration::from_millis(body["wait-ms"].as_u64().unwrap_or(0));
        if self.ends.is_empty() && waited < wait {
            return None;
        }
        let running: Vec<Value> =
            self.runs.keys().map(|(task, attempt)| json!([task, attempt, "", 50])).collect();
        let ended: Vec<Value> =
            self.ends.iter().map(|(seq, task, n, how)| json!([seq, task, n, how, ""])).collect();
        let clock_ms = self.clock_ms();
        let body =
            json!({ "clock-ms": clock_ms, "born": 1, "running": running, "finished": ended });
        Some((200, body))
    }
}
