//! Jobs as graphs of steps.

mod check;
mod id;
mod spec;
mod state;

pub(crate) use check::MAX_TASKS;
pub use check::SpecError;
pub use id::{Id, ParseError};
pub use spec::{Schedule, Spec, Step};
pub use state::State;
