//! The control thread, which runs the decision core.
//!
//! Only this thread accesses the core, so the core needs no locks and its decisions are made in
//! the order of its events. All other threads communicate with it through a channel.

mod input;
mod thread;

pub(crate) use input::{ControlHandle, Input};
pub(crate) use thread::spawn;
