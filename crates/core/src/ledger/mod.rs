//! Team limits, divided among shards.
//!
//! One document in the store divides the upper limit of each team into tokens
//! per shard, whose sum never exceeds the limit. An owner runs no more work of
//! a team than its shard has tokens, so the limit holds over the whole fleet
//! without a call to anyone.
//!
//! Tokens move in two steps. The owner of the shard that has too many first
//! binds itself to less and says so in its next summary; only then does the
//! planner, the first live member in order, write a ledger in which another
//! shard has more. A crash between the two leaves tokens unused for a while
//! but never makes any. Each new owner stamps its epoch into the ledger before
//! it starts work, so that a plan based on the word of the owner before it
//! conflicts and is thrown away.

mod book;
mod caps;
mod keeper;
mod planner;

pub use book::{Account, Ledger};

pub(crate) use caps::Caps;
pub(crate) use keeper::{Client, Outcome};
pub(crate) use planner::{Planner, TransferOrder};
