//! Progress of jobs, their steps and their tasks.

mod job;
mod step;
mod suspicion;

pub(crate) use job::Job;
pub(crate) use step::{EndedCall, StepAdvice, StepProgress, TaskProgress, Ticket};
pub(crate) use suspicion::{ISOLATE_AFTER, Suspicion};
