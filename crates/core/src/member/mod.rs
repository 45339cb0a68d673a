//! Membership: leases of members, promises between them, and fencing.
//!
//! Each member renews one record in the store. A renewal lets it start work for
//! one [`crate::Timing::ttl`], counted from before the renewal was sent. A
//! member whose record has not changed for longer than that, on the clock of an
//! observer, is presumed dead and fenced: its record is overwritten, so that no
//! later renewal can succeed.
//!
//! While the store is unavailable no member can renew. A member whose lease is
//! about to expire then asks the peers that its record names to promise that
//! they won't take over its shards. It continues if it and the peers that promise
//! are a majority of the set made up of it and all these peers. A member gives
//! promises only while it can't reach the store either.
//!
//! Before the shards of a fenced member are taken over, half of that set must
//! vote: each voter states that it has no outstanding promise to the fenced
//! member. Any majority and any half of the same set share a member, so the
//! fenced member can't continue while its shards are taken over. No votes are
//! needed after [`crate::Timing::max_lease_extension`], the longest time for which promises
//! extend a lease. The set is read from the fenced record. A member that joined
//! later and isn't named there may fence, but has no vote.

mod fence;
mod lease;
mod promises;
mod quorum;
mod record;
mod table;

pub use record::{Record, Role};

pub(crate) use fence::{Fences, Takeover};
pub(crate) use lease::{Lease, LeaseEvent};
pub(crate) use promises::Promises;
pub(crate) use table::Table;
