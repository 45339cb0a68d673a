//! Tests of single parts of the owner.

mod advice;
mod advice_dispatch;
mod advice_failure;
mod advice_load;
mod confirmation;
mod evacuation;
pub(in crate::owner) mod fixture;
mod page;
mod skipped;
mod write_timeout;
