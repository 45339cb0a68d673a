//! Progress of jobs, their steps and their tasks.

mod job;
mod step;

pub(crate) use job::Job;
pub(crate) use step::{StepProgress, TaskProgress, Ticket};
