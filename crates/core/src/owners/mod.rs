//! Ownership of shards.
//!
//! One document in the store names the owner of every shard, so that taking
//! over all shards of a failed member is a single write. The first live
//! scheduler in member order assigns shards without an owner, each to the
//! member with the fewest shards. An owned shard is moved only by its owner, or
//! by a member that has fenced the owner.

mod claim;
mod client;
mod map;

pub use claim::Claim;
pub use map::Map;

pub(crate) use client::{Client, ClusterState, Outcome};
