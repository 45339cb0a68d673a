//! The platform's names of steps and tasks.
//!
//! A step is named JOB.OCCURRENCE.STEP, and a task has its index within the step appended.

use sycamore_graph::{StepId, TaskId, job};

/// Formats the platform's name of a step.
pub(super) fn step_name(step: &StepId) -> String {
    format!("{}.{}.{}", step.job, step.occurrence, step.index)
}

/// Formats the platform's name of a task.
pub(super) fn task_name(task: &TaskId) -> String {
    format!("{}.{}", step_name(&task.step), task.index)
}

/// Parses the platform's name of a task. Returns `None` if it is malformed.
pub(super) fn parse_task(name: &str) -> Option<TaskId> {
    let mut parts = name.split('.');
    let job: job::Id = parts.next()?.parse().ok()?;
    let occurrence = parts.next()?.parse().ok()?;
    let step = parts.next()?.parse().ok()?;
    let index = parts.next()?.parse().ok()?;
    if parts.next().is_some() {
        return None;
    }
    Some(TaskId { step: StepId { job, occurrence, index: step }, index })
}
