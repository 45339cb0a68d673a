//! Jobs as callers submit them.

mod kind;
mod spec;

pub use kind::Kind;
pub use spec::{MAX_PAYLOAD_BYTES, MAX_TASKS, Spec, SpecError};
