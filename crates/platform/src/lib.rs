//! Clients for the systems outside the scheduler, and the signals of the operating system.
//!
//! [`store`], [`worker`] and [`hosts`] each hold a small trait and an implementation over HTTP,
//! whose protocol the simulated platform of `sycamore-standin` speaks. A deployment whose store,
//! workers or host list speak another protocol needs one new implementation of the trait and
//! nothing else. [`site`] holds the clients and formats of the platform that `sycamore-node` runs
//! on.

mod address;
pub mod hosts;
pub mod http;
pub mod otlp;
mod signals;
pub mod site;
pub mod store;
pub mod worker;

pub use address::{Address, AddressError};
pub use signals::{SignalAction, Signals};
