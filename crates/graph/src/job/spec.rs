use serde::{Deserialize, Serialize};
use sycamore_types::Name;
use sycamore_types::resources::Resources;

/// A job as its caller describes it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Spec {
    /// Handed to the worker with each task.
    pub payload: Name,
    /// Steps in order; a step refers to earlier ones only.
    pub steps: Vec<Step>,
    /// When the steps run, for a job that runs at set times.
    pub schedule: Option<Schedule>,
}

/// Set times of a job.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Schedule {
    /// Time of the first occurrence, in milliseconds since 1970.
    pub first_unix_ms: u64,
    /// Time between occurrences, in milliseconds.
    pub interval_ms: u64,
    /// Number of occurrences.
    pub times: u32,
}

/// Tasks that belong together.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Step {
    /// Number of tasks.
    pub tasks: u32,
    /// Declared size of each task.
    pub size: Resources,
    /// Declared run time of each task, in milliseconds. A rough estimate.
    pub estimate_ms: u64,
    /// Earlier steps whose tasks must all have ended well.
    pub after: Vec<u16>,
    /// All tasks run at the same time or not at all.
    pub is_gang: bool,
    /// Tasks run slower when they are spread over racks.
    pub prefers_one_rack: bool,
    /// Label that a host must have.
    pub required_label: Option<Name>,
    /// Rack that holds the data.
    pub data_rack: Option<Name>,
    /// Most tasks of one occurrence on one host. Zero means no bound.
    pub max_per_host: u32,
    /// Copies of a task may run at the same time.
    pub is_speculative: bool,
    /// Tasks save their progress.
    pub is_checkpointing: bool,
    /// Tasks run until the job is cancelled.
    pub is_service: bool,
    /// What the tasks run. Tasks of one image behave alike.
    pub image: Option<Name>,
    /// Objective of the tail latency of a service's tasks, in milliseconds. Zero means none.
    pub latency_objective_ms: u64,
    /// Tasks are best-effort: they use processor time that others leave.
    pub is_best_effort: bool,
    /// Disruption budget: most tasks that may be unavailable through our own actions.
    pub max_unavailable: Option<u32>,
}

impl Step {
    /// What a task takes of a host's capacity.
    pub fn footprint(&self) -> Resources {
        if self.is_best_effort { Resources { cpu_millis: 0, ..self.size } } else { self.size }
    }
}

impl Spec {
    /// Returns the declared run time of the longest chain from each step on, in milliseconds.
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
