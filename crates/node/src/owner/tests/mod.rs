//! Tests of single parts of the owner.

mod evacuation;
mod skipped;
mod write_timeout;
