//! How far the jobs are.

mod job;
mod step;

pub(crate) use job::Job;
pub(crate) use step::{StepAdvice, StepProgress, TaskProgress, Ticket};
