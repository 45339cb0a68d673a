//! Progress of a step and its tasks, and what the advice service replied about it.
//!
//! A task is done, waiting to be started, or has runs that exist or may exist. It waits again
//! only when none of its runs is left.

use std::collections::BTreeSet;

use rustc_hash::{FxHashMap, FxHashSet};
use sycamore_types::Name;

use super::Tasks;
use crate::WaitReason;
use crate::engine::Turn;
use crate::waiting::WaitTimes;

/// Progress of one task.
#[derive(Clone, Debug)]
pub(crate) struct TaskProgress {
    pub is_done: bool,
    /// Attempt number of the last start.
    pub attempt: u32,
    /// Attempts that failed. An attempt that is reported twice, or by several members of a
    /// gang, counts once.
    pub failed_attempts: Vec<u32>,
    /// Runs that exist or may exist: host and attempt.
    pub runs: Vec<(Name, u32)>,
    /// Last saved checkpoint. The first task of a gang keeps that of the whole gang.
    pub checkpoint: Option<Name>,
    /// Number of times that runs of the task were stopped to give room to others. Not in the log.
    pub yields: u32,
    /// Estimate of the work that the runs had saved that were stopped for others, in milliseconds.
    pub saved_ms: u64,
    /// Time of the last start on a host that was cleared of best-effort runs for it, in milliseconds.
    /// Not in the log.
    pub cleared_ms: Option<u64>,
    /// Host of the last failed run, to be avoided by the next attempt if possible.
    pub avoided_host: Option<Name>,
}

/// A ticket of the advice service.
#[derive(Clone, Debug)]
pub(crate) struct Ticket {
    pub token: Name,
    /// Time on the owner's monotonic clock, in milliseconds.
    pub expires_ms: u64,
}

/// What the advice service replied about a step. Its answer for a host never changes, but
/// tickets expire.
#[derive(Clone, Debug, Default)]
pub(crate) struct StepAdvice {
    /// Last ticket of each allowed host, by number of the host.
    pub allowed: FxHashMap<u32, Ticket>,
    /// Numbers of the hosts that are not allowed.
    pub denied: FxHashSet<u32>,
    /// Number of calls in flight.
    pub calls_in_flight: u32,
    /// Time before which no call is made, in milliseconds.
    pub not_before_ms: u64,
    /// The call that ended last.
    pub last_call: Option<EndedCall>,
    pub turn: Turn,
}

impl StepAdvice {
    /// Returns the number of calls that have failed in a row until now.
    pub fn failures(&self) -> u32 {
        self.last_call.map_or(0, |call| call.failures)
    }
}

/// A call for advice that has ended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EndedCall {
    /// Time of the end on the owner's monotonic clock, in milliseconds.
    pub at_ms: u64,
    /// Number of the step's calls that have failed in a row, up to this one. 0 if it was answered.
    pub failures: u32,
}

/// Progress of one step of one occurrence.
#[derive(Clone, Debug)]
pub(crate) struct StepProgress {
    pub tasks: Tasks,
    /// Number of tasks that are done.
    pub done: u32,
    pub advice: StepAdvice,
    /// Durations of completed tasks: host and time in milliseconds. Compares the hosts once the
    /// step is done.
    pub durations: Vec<(Name, u32)>,
    /// Numbers of the hosts that did not confirm a start of the step. They get its tasks only if no
    /// other host has room.
    pub avoided_hosts: FxHashSet<u32>,
    /// A run of the step has survived its isolation or has ended.
    pub has_survivor: bool,
    /// Why tasks of the step waited in the last dispatch pass that reached it.
    pub wait_reason: Option<WaitReason>,
    pub wait_times: WaitTimes,
    /// Time since which only runs on room that is kept for the gang are in its way, in milliseconds.
    pub only_loans_since_ms: Option<u64>,
    /// Time since which only best-effort tasks have kept the waiting tasks off all hosts with room, in
    /// milliseconds.
    pub crowded_since_ms: Option<u64>,
    /// Time before which no host is cleared for the step, in milliseconds.
    pub clearing_not_before_ms: u64,
    /// Indices of the tasks that wait to be started.
    pub waiting: BTreeSet<u32>,
    /// Time since which tasks wait to be started, in milliseconds. `None` if they can't be yet.
    pub waiting_since_ms: Option<u64>,
}

impl TaskProgress {
    /// Creates the progress of a task without runs.
    pub const fn new(is_done: bool) -> TaskProgress {
        TaskProgress {
            is_done,
            attempt: 0,
            failed_attempts: Vec::new(),
            runs: Vec::new(),
            checkpoint: None,
            yields: 0,
            saved_ms: 0,
            cleared_ms: None,
            avoided_host: None,
        }
    }

    /// Counts a failed attempt. Returns the number of failed attempts.
    pub fn record_failure(&mut self, attempt: u32) -> u32 {
        if !self.failed_attempts.contains(&attempt) {
            self.failed_attempts.push(attempt);
        }
        self.failed_attempts.len() as u32
    }
}

impl StepProgress {
    pub fn new(tasks: u32) -> StepProgress {
        StepProgress {
            tasks: Tasks::new(tasks),
            done: 0,
            advice: StepAdvice::default(),
            durations: Vec::new(),
            avoided_hosts: FxHashSet::default(),
            has_survivor: false,
            wait_reason: None,
            wait_times: WaitTimes::default(),
            only_loans_since_ms: None,
            crowded_since_ms: None,
            clearing_not_before_ms: 0,
            waiting: (0..tasks).collect(),
            waiting_since_ms: None,
        }
    }

    /// Returns the time since which the step has waited without a call for advice that ended, in
    /// milliseconds. `None` if its tasks can't be started yet.
    pub fn uncalled_since_ms(&self) -> Option<u64> {
        let last_ms = self.advice.last_call.map_or(0, |call| call.at_ms);
        self.waiting_since_ms.map(|since_ms| since_ms.max(last_ms))
    }

    pub fn is_done(&self) -> bool {
        self.done as usize == self.tasks.len()
    }

    /// Marks a task as done. Returns `true` if it was not done before.
    pub fn mark_done(&mut self, index: u32) -> bool {
        if !self.tasks.mark_done(index) {
            return false;
        }
        self.waiting.remove(&index);
        self.done += 1;
        true
    }
}
