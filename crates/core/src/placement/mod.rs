//! Hosts of one shard, their free capacity, and the choice of a host for work.
//!
//! Batch work goes to the fullest host that still has capacity for it, so that
//! large work finds empty hosts later. Interactive requests and instances of
//! services go to the emptiest host, so that they wait least and the loss of
//! one host affects few of them. Hosts are indexed by free accelerators, then by
//! free CPU: work that needs no accelerator is first matched with hosts that
//! have no free ones, so that free accelerators are left to work that needs them.

mod health;
mod host;
mod table;

pub use host::Host;
pub use table::{Mode, Query, Table};

pub(crate) use table::fit_count;
