use sycamore_graph::{StepId, TaskId, job};

/// Writes the platform's name of a step.
pub(super) fn step_name(step: &StepId) -> String {
    format!("{}.{}.{}", step.job, step.occurrence, step.index)
}

/// Writes the platform's name of a task.
pub(super) fn task_name(task: &TaskId) -> String {
    format!("{}.{}", step_name(&task.step), task.index)
}

/// Reads the platform's name of a task.
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
