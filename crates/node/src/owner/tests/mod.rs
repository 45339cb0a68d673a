//! Tests of single parts of the owner.

mod advice;
mod evacuation;
mod write_timeout;
