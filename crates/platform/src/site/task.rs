use sycamore_graph::{Step, Task, job};

/// Writes the platform's name of a step.
pub(super) fn step_name(step: &Step) -> String {
    format!("{}.{}.{}", step.job, step.occurrence, step.index)
}

/// Writes the platform's name of a task.
pub(super) fn task_name(task: &Task) -> String {
    format!("{}.{}", step_name(&task.step), task.index)
}

/// Reads the platform's name of a task.
pub(super) fn parse_task(name: &str) -> Option<Task> {
    let mut parts = name.split('.');
    let job: job::Id = parts.next()?.parse().ok()?;
    let occurrence = parts.next()?.parse().ok()?;
    let step = parts.next()?.parse().ok()?;
    let index = parts.next()?.parse().ok()?;
    if parts.next().is_some() {
        return None;
    }
    Some(Task { step: Step { job, occurrence, index: step }, index })
}
