//! Which member owns which shard.
//!
//! One document in the store holds all claims, so that taking over everything
//! that a lost member owned is a single write. A shard that nobody owns is
//! given to the member with the fewest shards by whichever member is first in
//! order; an owned shard is moved only by its owner, or by a member that has
//! fenced the owner.

mod claim;
mod keeper;
mod map;

pub use claim::Claim;
pub use map::Map;

pub(crate) use keeper::{Client, ClusterState, Outcome};
