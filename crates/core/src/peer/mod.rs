//! Messages between the decision cores of different processes.
//!
//! Every message may be lost, repeated, late or out of order. Each one carries
//! the revision, epoch or round that it refers to, so that the receiver can
//! drop a stale one.

mod grant;
mod message;
mod summary;

pub use grant::Grant;
pub use message::Message;
pub use summary::{Demand, Summary};
