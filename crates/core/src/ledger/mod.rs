//! Division of team limits among shards.
//!
//! One document in the store, the ledger, divides the upper limit of each team
//! into tokens per shard. Their sum is never raised above the limit. The owner of
//! a shard runs no more tasks and requests of a team than the shard has tokens,
//! so the limit holds over the whole fleet without a call to another process.
//!
//! Tokens move between shards in two steps. First the owner that gives up
//! tokens lowers its cap and reports that in its next summary. Only then does
//! the planner, which is the first live scheduler in member order, write a
//! ledger in which another shard has more. In the opposite order both shards
//! could use the same tokens for a while. A crash between the two steps leaves
//! tokens unused for a while but never creates any. Each new owner writes its
//! epoch into the ledger before it starts work, so that a plan based on a summary
//! of the previous owner conflicts and is discarded.

mod caps;
mod client;
mod document;
mod planner;

pub use document::{Account, Ledger};

pub(crate) use caps::Caps;
pub(crate) use client::{Client, Outcome};
pub(crate) use planner::{Planner, TransferOrder};
