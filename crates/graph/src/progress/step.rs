use std::collections::BTreeSet;

use rustc_hash::{FxHashMap, FxHashSet};
use sycamore_types::Name;

use crate::{CallClass, WaitReason};

/// How far one task is.
#[derive(Clone, Debug, Default)]
pub(crate) struct TaskProgress {
    pub is_done: bool,
    /// Number of the last start.
    pub attempt: u32,
    /// Attempts that failed. An end that is listed twice, or by several members of a
    /// gang, counts once.
    pub failed_attempts: Vec<u32>,
    /// Runs that may exist: host and attempt.
    pub runs: Vec<(Name, u32)>,
    pub checkpoint: Option<Name>,
    /// Host of the last failed run.
    pub avoided_host: Option<Name>,
}

/// A ticket of the advice service.
#[derive(Clone, Debug)]
pub(crate) struct Ticket {
    pub token: Name,
    pub expires_ms: u64,
}

/// What the advice service said of a step. The answer for a worker never changes.
#[derive(Clone, Debug, Default)]
pub(crate) struct StepAdvice {
    /// Allowed workers by slot, each with its last ticket.
    pub allowed: FxHashMap<u32, Ticket>,
    /// Slots of workers that are not allowed.
    pub denied: FxHashSet<u32>,
    /// Class of the call under way.
    pub asking: Option<CallClass>,
    /// No call before this time, in milliseconds.
    pub not_before_ms: u64,
}

/// How far one step of one occurrence is.
#[derive(Clone, Debug)]
pub(crate) struct StepProgress {
    pub tasks: Vec<TaskProgress>,
    pub done: u32,
    pub advice: StepAdvice,
    /// Why the step's tasks waited at the last pass.
    pub wait_reason: Option<WaitReason>,
    /// Indices of tasks that wait to be started, in order.
    pub waiting: BTreeSet<u32>,
}

impl TaskProgress {
    /// Counts a failed attempt. Returns how many have failed.
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
            tasks: vec![TaskProgress::default(); tasks as usize],
            done: 0,
            advice: StepAdvice::default(),
            wait_reason: None,
            waiting: (0..tasks).collect(),
        }
    }

    pub fn is_done(&self) -> bool {
        self.done as usize == self.tasks.len()
    }

    /// Marks a task as done. Returns whether it was not before.
    pub fn mark_done(&mut self, index: u32) -> bool {
        let Some(task) = self.tasks.get_mut(index as usize) else { return false };
        if task.is_done {
            return false;
        }
        task.is_done = true;
        self.waiting.remove(&index);
        self.done += 1;
        true
    }
}
