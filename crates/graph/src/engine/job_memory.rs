//! Bounds the memory of the jobs that are known.
//!
//! What a job takes at most is known when it is submitted: tasks that wait or are done take next to
//! nothing, and those that run are limited by the hosts. So the owner refuses new jobs before its
//! memory ends, and a successor with as much memory can recover all that were accepted.

use rustc_hash::FxHashMap;
use sycamore_types::Name;

use crate::job::Spec;
use crate::progress::{Job, StepProgress};

/// Memory of a job that is closed, in bytes: it, and its entries in the maps of the engine.
const CLOSED_JOB_BYTES: usize = size_of::<Job>() + 300;

/// Memory of a step beside its progress, in bytes: its place in the backlog, and the first tasks
/// that run.
const STEP_BYTES: usize = 400;

/// Memory of a task that waits or is done, in bytes.
const TASK_BYTES: usize = 8;

/// Memory of the known jobs, as it is counted against the limit.
#[derive(Debug)]
pub(super) struct JobMemory {
    /// Limit in bytes.
    max_bytes: usize,
    total: usize,
    by_team: FxHashMap<Name, usize>,
}

impl JobMemory {
    pub fn new(max_bytes: usize) -> JobMemory {
        JobMemory { max_bytes, total: 0, by_team: FxHashMap::default() }
    }

    /// Returns whether a team may submit another job. All its jobs may take as much memory as is
    /// left, so that a team that submits without end leaves room to the others: half of the memory
    /// if it is the only one.
    pub fn has_room(&self, team: &Name, bytes: usize) -> bool {
        let of_team = self.by_team.get(team).copied().unwrap_or(0);
        of_team + bytes <= self.max_bytes.saturating_sub(self.total)
    }

    pub fn add(&mut self, team: &Name, bytes: usize) {
        self.total += bytes;
        *self.by_team.entry(team.clone()).or_default() += bytes;
    }

    pub fn remove(&mut self, team: &Name, bytes: usize) {
        self.total -= bytes;
        if let Some(of_team) = self.by_team.get_mut(team) {
            *of_team -= bytes;
            if *of_team == 0 {
                self.by_team.remove(team);
            }
        }
    }

    pub fn total(&self) -> usize {
        self.total
    }
}

impl Job {
    /// Returns the memory that the job is counted with, in bytes.
    pub fn memory_bytes(&self) -> usize {
        if self.closed.is_some() { CLOSED_JOB_BYTES } else { open_job_bytes(&self.spec) }
    }
}

/// Returns the memory that a job takes at most until it is closed, in bytes.
pub(super) fn open_job_bytes(spec: &Spec) -> usize {
    let steps = spec.steps.len() * (size_of::<StepProgress>() + STEP_BYTES);
    let occurrence = steps + spec.tasks() as usize * TASK_BYTES;
    CLOSED_JOB_BYTES + spec.memory_bytes() + occurrence * Job::max_open_occurrences(spec)
}
