//! Messages between the decision cores of different processes.
//!
//! Every message may be lost, repeated, late or out of order. Each one names
//! the revision or epoch that it speaks about, so that a stale one is dropped.

mod grant;
mod message;
mod summary;

pub use grant::Grant;
pub use message::Message;
pub use summary::{Demand, Summary};
