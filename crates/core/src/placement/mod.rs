//! Hosts of one shard, what they can hold, and where work fits best.
//!
//! Batch work goes to the fullest host that still has room, so that large
//! work finds whole hosts later; interactive requests and instances of
//! services go to the emptiest, so that they wait least and one lost host
//! takes few of them. Hosts are indexed by free accelerators, then by free
//! processor time: work that needs no accelerator looks first at hosts that
//! have none left to waste.

mod health;
mod host;
mod table;

pub use host::Host;
pub use table::{Mode, Query, Table};

pub(crate) use table::fit_count;
