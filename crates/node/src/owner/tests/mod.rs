//! Tests of single parts of the owner.

mod evacuation;
mod write_timeout;
