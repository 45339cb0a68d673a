//! Progress of jobs, their steps and their tasks.

mod job;
mod occurrences;
mod step;
mod suspicion;
mod tasks;

pub(crate) use job::Job;
pub(crate) use occurrences::Occurrences;
pub(crate) use step::{EndedCall, StepAdvice, StepProgress, TaskProgress, Ticket};
pub(crate) use suspicion::{ISOLATE_AFTER, Suspicion};
pub(crate) use tasks::Tasks;
