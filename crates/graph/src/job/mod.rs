//! Jobs as callers specify them: graphs of steps, each a group of equal tasks.

mod check;
mod id;
mod spec;
mod state;

pub(crate) use check::MAX_TASKS;
pub use check::{MAX_STEPS, SpecError};
pub use id::{Id, ParseError};
pub use spec::{Schedule, Spec, Step};
pub use state::State;
