//! Simulated worker process of one host, with the platform's documented semantics: fencing
//! tokens, a lease on its own clock, and numbered run ends that are kept until acknowledged.

use std::collections::BTreeMap;

use sycamore_graph::{HostEntry, Poll, Report, RunEnd, Start, StartOutcome, Stop, TaskId};
use sycamore_types::Name;
use sycamore_types::resources::Resources;

/// Longest lease of a worker, in milliseconds: the platform's default.
const MAX_LEASE_MS: u64 = 6_000;

/// Most run ends that a worker lists in one reply to a poll: the platform's default.
const MAX_LISTED_ENDS: usize = 500;

/// One run on the worker.
#[derive(Clone, Debug)]
pub struct Run {
    pub started_ms: u64,
    pub until_ms: u64,
    pub cpu_millis: u32,
    pub will_fail: bool,
    /// The run waits for the other members of its gang.
    pub is_waiting: bool,
    /// Work of earlier runs that the run continues, in milliseconds.
    pub resumed_ms: u64,
    /// Time that the run takes to resume, in milliseconds.
    pub restore_ms: u64,
    /// Time between two checkpoints, in milliseconds. Zero if the task saves none.
    pub checkpoint_ms: u64,
    /// Time at which a run that was told to stop ends, in milliseconds.
    pub stop_ms: Option<u64>,
    /// The task is at work from its start on, which is shown as 100 percent.
    pub is_service: bool,
}

impl Run {
    /// Returns the last checkpoint: the work that it holds. Empty if there is none.
    fn checkpoint(&self, now_ms: u64) -> Name {
        let worked_ms = now_ms.saturating_sub(self.started_ms + self.restore_ms);
        let saved_ms = match worked_ms.checked_div(self.checkpoint_ms) {
            Some(checkpoints) => self.resumed_ms + checkpoints * self.checkpoint_ms,
            None => 0,
        };
        Name::from(if saved_ms == 0 { String::new() } else { saved_ms.to_string() })
    }

    /// Returns the progress, in whole percent.
    fn percent(&self, now_ms: u64) -> u8 {
        if self.is_service {
            return 100;
        }
        let whole_ms = (self.until_ms - self.started_ms).max(1);
        ((now_ms - self.started_ms).min(whole_ms) * 99 / whole_ms) as u8
    }
}

/// What the simulation decides about a run beyond its start request.
#[derive(Clone, Copy, Debug)]
pub struct Work {
    pub cpu_millis: u32,
    pub work_ms: u64,
    pub will_fail: bool,
    /// Time that the task takes to resume, in milliseconds.
    pub restore_ms: u64,
    /// Time between two checkpoints, in milliseconds. Zero if the task saves none.
    pub checkpoint_ms: u64,
    pub is_service: bool,
}

#[derive(Debug)]
pub struct Worker {
    pub entry: HostEntry,
    /// Start of this incarnation and of its clock, in milliseconds.
    pub born_ms: u64,
    pub fence: u64,
    /// Number of runs that were started here.
    pub starts: u64,
    pub runs: BTreeMap<(TaskId, u32), Run>,
    pub ends: Vec<(u64, TaskId, u32, RunEnd, Name)>,
    pub last_end: u64,
    /// Number of the last end that a reply to a poll has listed.
    pub last_listed_end: u64,
    /// Most ends that one reply lists.
    pub max_listed_ends: usize,
    /// Replies have a row that can't be read: that of the first run, if there is one.
    pub has_unreadable_row: bool,
    /// Highest attempt that was stopped or has ended, by task.
    pub closed: BTreeMap<TaskId, u32>,
    pub lease_until_ms: u64,
    /// End of the last lease that expired before it was renewed.
    pub expired_lease_ms: u64,
    pub is_alive: bool,
    /// The runs make no progress; the worker still replies to polls.
    pub is_hung: bool,
    /// Runs on this worker are not counted as members of their gang.
    pub hides_members: bool,
    /// No message reaches the worker or comes from it.
    pub is_unreachable: bool,
    /// Messages of a replaced owner reach the worker, and its replies reach that one.
    pub hears_former: bool,
    /// Multiple of the ordinary time that the worker takes for its tasks.
    pub slowness: u64,
    /// Names of the incarnations that had the address of this one.
    pub former_names: Vec<Name>,
    /// Time at which a crashed worker is back, in milliseconds.
    pub back_ms: Option<u64>,
    /// Time until which a draining worker has announced to go on, in milliseconds.
    pub serves_until_ms: Option<u64>,
    /// Capacity before the last time that it shrank, and until when that may still be used.
    pub former_capacity: Option<(Resources, u64)>,
    /// Polls that may wait get lost, as on a connection that has gone silent. Other requests
    /// arrive.
    pub loses_long_polls: bool,
    /// New connections to the worker are reset. Polls go over one that was open before, starts and
    /// stops don't arrive.
    pub resets_connections: bool,
    /// Time that runs take to stop, in milliseconds.
    pub stop_ms: u64,
    /// Stop requests arrive, and their replies are lost.
    pub loses_stop_replies: bool,
}

impl Worker {
    pub fn new(entry: HostEntry) -> Worker {
        Worker {
            entry,
            born_ms: 0,
            fence: 0,
            starts: 0,
            runs: BTreeMap::new(),
            ends: Vec::new(),
            last_end: 0,
            last_listed_end: 0,
            max_listed_ends: MAX_LISTED_ENDS,
            has_unreadable_row: false,
            closed: BTreeMap::new(),
            lease_until_ms: 0,
            expired_lease_ms: 0,
            is_alive: true,
            is_hung: false,
            hides_members: false,
            is_unreachable: false,
            hears_former: false,
            slowness: 1,
            former_names: Vec::new(),
            back_ms: None,
            serves_until_ms: None,
            former_capacity: None,
            loses_long_polls: false,
            resets_connections: false,
            stop_ms: 0,
            loses_stop_replies: false,
        }
    }

    /// Loses all runs and run ends, and starts a new incarnation under the same name.
    pub fn restart(&mut self, born_ms: u64) {
        let mut entry = self.entry.clone();
        entry.incarnation += 1;
        let Worker { is_unreachable, stop_ms, max_listed_ends, .. } = *self;
        *self = Worker { born_ms, is_unreachable, stop_ms, max_listed_ends, ..Worker::new(entry) };
    }

    /// Starts under another name at the same address, as the platform restarts crashed workers.
    pub fn replace(&mut self, born_ms: u64) {
        let mut entry = self.entry.clone();
        let mut former_names = std::mem::take(&mut self.former_names);
        former_names.push(entry.id.clone());
        let first = former_names[0].clone();
        entry.id = Name::from(format!("{first}-{}", former_names.len()));
        entry.incarnation += 1;
        let Worker { stop_ms, max_listed_ends, .. } = *self;
        *self = Worker { born_ms, former_names, stop_ms, max_listed_ends, ..Worker::new(entry) };
    }

    /// Changes the capacity. A smaller one counts after `grace_ms`.
    pub fn resize(&mut self, cpu_millis: u32, now_ms: u64, grace_ms: u64) {
        self.former_capacity = Some((self.entry.capacity, now_ms + grace_ms));
        self.entry.capacity.cpu_millis = cpu_millis;
    }

    /// Returns the time left that a draining worker announces, in milliseconds. Zero if none.
    pub fn remaining_ms(&self, now_ms: u64) -> u64 {
        self.serves_until_ms.map_or(0, |until_ms| until_ms.saturating_sub(now_ms))
    }

    /// Returns the CPU that its runs may take up.
    pub fn cpu_limit(&self, now_ms: u64) -> u32 {
        let former = self.former_capacity.filter(|(_, until_ms)| now_ms < *until_ms);
        let former_cpu = former.map_or(0, |(capacity, _)| capacity.cpu_millis);
        former_cpu.max(self.entry.capacity.cpu_millis)
    }

    pub fn used_cpu(&self) -> u32 {
        self.runs.values().map(|run| run.cpu_millis).sum()
    }

    pub fn start(&mut self, now_ms: u64, fence: u64, request: &Start, work: Work) -> StartOutcome {
        if fence < self.fence {
            return StartOutcome::Fenced;
        }
        self.fence = fence;
        if self.clock_ms(now_ms) > request.deadline_ms {
            return StartOutcome::Rejected;
        }
        // Even a start of an old attempt extends the lease of all runs.
        self.renew(now_ms, request.deadline_ms);
        let key = (request.task, request.attempt);
        if self.runs.contains_key(&key) {
            return StartOutcome::Started;
        }
        if self.closed.get(&request.task).is_some_and(|closed| request.attempt <= *closed) {
            return StartOutcome::Rejected;
        }
        let resumed_ms: u64 = request.checkpoint.parse().unwrap_or(0);
        let restore_ms = if resumed_ms > 0 { work.restore_ms } else { 0 };
        let work_ms = work.work_ms.saturating_sub(resumed_ms) + restore_ms;
        let run = Run {
            started_ms: now_ms,
            until_ms: now_ms + work_ms * self.slowness,
            cpu_millis: work.cpu_millis,
            will_fail: work.will_fail,
            is_waiting: false,
            resumed_ms,
            restore_ms,
            checkpoint_ms: work.checkpoint_ms,
            stop_ms: None,
            is_service: work.is_service,
        };
        self.runs.insert(key, run);
        StartOutcome::Started
    }

    /// Returns the time on the worker's clock, in milliseconds.
    pub fn clock_ms(&self, now_ms: u64) -> u64 {
        now_ms - self.born_ms
    }

    /// Extends the lease as a request does that comes `delay_ms` from now and has a deadline of an
    /// earlier incarnation.
    pub fn extend_lease_late(&mut self, now_ms: u64, delay_ms: u64) {
        self.lease_until_ms = self.lease_until_ms.max(now_ms + delay_ms + MAX_LEASE_MS);
    }

    /// Extends the lease to a time on the worker's clock, or as far as a worker allows.
    fn renew(&mut self, now_ms: u64, deadline_ms: u64) {
        if now_ms > self.lease_until_ms {
            self.expired_lease_ms = self.lease_until_ms;
        }
        let until_ms = (self.born_ms + deadline_ms).min(now_ms + MAX_LEASE_MS);
        self.lease_until_ms = self.lease_until_ms.max(until_ms);
    }

    pub fn stop(&mut self, now_ms: u64, fence: u64, request: &Stop) -> bool {
        if fence < self.fence {
            return false;
        }
        self.fence = fence;
        let stop_ms = now_ms + self.stop_ms;
        match self.runs.get_mut(&(request.task, request.attempt)) {
            Some(run) if self.stop_ms > 0 => {
                run.stop_ms.get_or_insert(stop_ms);
            }
            _ => self.end(now_ms, request.task, request.attempt, RunEnd::Stopped),
        }
        true
    }

    pub fn end(&mut self, now_ms: u64, task: TaskId, attempt: u32, how: RunEnd) {
        let closed = self.closed.entry(task).or_default();
        *closed = (*closed).max(attempt);
        if let Some(run) = self.runs.remove(&(task, attempt)) {
            self.last_end += 1;
            self.ends.push((self.last_end, task, attempt, how, run.checkpoint(now_ms)));
        }
    }

    /// Returns the runs whose end no reply to a poll has listed.
    pub fn unlisted_ends(&self) -> impl Iterator<Item = (TaskId, u32)> {
        let unlisted = self.ends.iter().filter(|(seq, ..)| *seq > self.last_listed_end);
        unlisted.map(|(_, task, attempt, ..)| (*task, *attempt))
    }

    pub fn poll(&mut self, now_ms: u64, fence: u64, request: &Poll) -> Option<Report> {
        if fence < self.fence {
            return None;
        }
        self.fence = fence;
        if let Some(deadline_ms) = request.deadline_ms {
            self.renew(now_ms, deadline_ms);
        }
        self.ends.retain(|(seq, ..)| *seq > request.ack);
        let running = self.runs.iter().map(|((task, attempt), run)| {
            let percent = if run.is_waiting { 0 } else { run.percent(now_ms) };
            (*task, *attempt, run.checkpoint(now_ms), percent)
        });
        let running = running.skip(usize::from(self.has_unreadable_row));
        let ended: Vec<_> = self.ends.iter().take(self.max_listed_ends).cloned().collect();
        self.last_listed_end = ended.last().map_or(self.last_end, |(seq, ..)| *seq);
        Some(Report {
            incarnation: self.entry.incarnation,
            clock_ms: self.clock_ms(now_ms),
            running: running.collect(),
            is_truncated: self.has_unreadable_row || ended.len() >= self.max_listed_ends,
            ended,
        })
    }
}
