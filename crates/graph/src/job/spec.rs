//! Specification of a job. It is stored with the job and never changes after submission.
//!
//! Sizes and durations are the caller's estimates. Placement trusts the sizes; durations only
//! affect the order of steps and how long a run may go without progress.

use serde::{Deserialize, Serialize};
use sycamore_types::Name;
use sycamore_types::resources::Resources;

/// Specification of a job, as its caller submits it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Spec {
    /// Passed to the host with each task; not interpreted here.
    pub payload: Name,
    /// Steps in topological order: each depends only on steps listed before it.
    pub steps: Vec<Step>,
    /// Times at which all steps run. `None` to run them once, at submission.
    pub schedule: Option<Schedule>,
}

/// Times at which a job runs.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Schedule {
    /// Time of the first occurrence, in milliseconds since 1970.
    pub first_unix_ms: u64,
    /// Time between occurrences, in milliseconds.
    pub interval_ms: u64,
    /// Number of occurrences.
    #[serde(rename = "times")]
    pub occurrences: u32,
}

/// A group of equal tasks.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Step {
    /// Number of tasks.
    pub tasks: u32,
    /// Declared resource needs of each task.
    pub size: Resources,
    /// Declared duration of each task, in milliseconds. A rough estimate.
    pub estimate_ms: u64,
    /// Indices of the steps that must be complete before this one starts.
    pub after: Vec<u16>,
    /// The tasks form a gang: all run at the same time or none does.
    pub is_gang: bool,
    /// The tasks run slower when they are spread over several racks.
    pub prefers_one_rack: bool,
    /// Label that a host must have to run the tasks.
    pub required_label: Option<Name>,
    /// Rack that holds the tasks' data.
    pub data_rack: Option<Name>,
    /// Most tasks of one occurrence on one host. Zero means unlimited.
    pub max_per_host: u32,
    /// Several copies of a task may run at the same time.
    pub is_speculative: bool,
    /// The tasks save checkpoints, from which a restart resumes.
    pub is_checkpointing: bool,
    /// The tasks run until the job is cancelled. Failures are retried without a limit.
    pub is_service: bool,
    /// Image that the tasks run. Tasks with the same image behave alike.
    pub image: Option<Name>,
    /// Objective for the tail latency of a service's tasks, in milliseconds. Zero means none.
    pub latency_objective_ms: u64,
    /// The tasks are best-effort: they use only CPU time that other tasks leave idle.
    pub is_best_effort: bool,
    /// Disruption budget: most tasks that the scheduler's own actions may make unavailable
    /// at the same time. `None` if the caller declares none.
    pub max_unavailable: Option<u32>,
}

impl Step {
    /// Returns the resources that a task takes from a host's capacity. A best-effort task
    /// takes no CPU.
    pub fn footprint(&self) -> Resources {
        if self.is_best_effort { Resources { cpu_millis: 0, ..self.size } } else { self.size }
    }
}

impl Spec {
    /// Returns the number of tasks of one occurrence.
    pub fn tasks(&self) -> u64 {
        self.steps.iter().map(|step| u64::from(step.tasks)).sum()
    }

    /// Returns the memory that the specification takes, in bytes.
    pub fn memory_bytes(&self) -> usize {
        let step = |step: &Step| {
            let names = [&step.required_label, &step.data_rack, &step.image];
            let names: usize = names.into_iter().flatten().map(|name| name.len()).sum();
            size_of::<Step>() + names + size_of::<u16>() * step.after.len()
        };
        size_of::<Spec>() + self.payload.len() + self.steps.iter().map(step).sum::<usize>()
    }

    /// Returns, for each step, the declared duration of the longest path through the graph
    /// that begins with it, in milliseconds.
    pub fn remaining_path_ms(&self) -> Vec<u64> {
        let mut remaining = vec![0; self.steps.len()];
        for at in (0..self.steps.len()).rev() {
            remaining[at] += self.steps[at].estimate_ms;
            for earlier in &self.steps[at].after {
                let earlier = usize::from(*earlier);
                remaining[earlier] = remaining[earlier].max(remaining[at]);
            }
        }
        remaining
    }
}
