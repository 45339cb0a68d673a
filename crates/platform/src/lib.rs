//! Everything outside of sycamorechute, behind small traits.
//!
//! A deployment whose store, workers or host list speak another protocol needs
//! one new file here for each and nothing else. The HTTP implementations are
//! what the stand-ins speak.

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
