//! Calls to the platform's store, a key-value store with compare-and-swap.
//!
//! The core never blocks on the store: it emits an [`Op`] and later receives
//! the [`Reply`]. A reply can be lost after its write took effect, so every
//! value carries the unique identifier of the write that made it, and
//! [`Write`] reads a value back to find out whether its write took effect.

mod document;
mod envelope;
mod keys;
mod op;
mod reply;
mod write;

pub(crate) use document::{CachedDocument, DocumentOutcome};
pub use envelope::{WriteId, decode_value, encode_value};
pub use keys::{CONFIG, LEDGER, MEMBER_PREFIX, OWNERS, log_prefix, log_slot, member, snapshot};
pub use op::Op;
pub use reply::{Reply, Versioned};
pub use write::{Write, WriteProgress};
