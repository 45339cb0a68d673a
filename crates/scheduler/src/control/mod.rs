//! The one thread that owns the decision core.

mod input;
mod thread;

pub(crate) use input::{ControlHandle, Input};
pub(crate) use thread::spawn;
