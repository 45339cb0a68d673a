//! Membership: leases of members, promises between them, and fencing.
//!
//! A member renews one record in the store. The renewal lets it start work
//! for one [`crate::Timing::ttl`], counted from before the renewal was sent.
//! A member whose record has not changed for longer than that, on the clock
//! of an observer, is fenced: its record is overwritten, so that no later
//! renewal can succeed.
//!
//! While the store is out nobody can renew. A member that runs out of time
//! then asks the members that its record names for promises not to take over.
//! With promises from a majority of them, itself included, it goes on. A
//! member gives promises only while it can't reach the store either. Whoever
//! has fenced a member needs the word of half of the members named in the
//! fenced record that no promise is out. Any majority and any half of the
//! same set share a member, so both can't happen at once. A joiner that the
//! fenced member never heard of reads the set from the record, and its own
//! word counts for nothing there.

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
