//! Measurements of sycamorechute.
//!
//! - `decide`: cost of control, on the real decision core without a network.
//! - `policy`: waiting, packing and shares, against two baselines of our own.
//! - `faults`: real processes that are killed, paused and replaced under load.
//! - `load`: latency of the real path, with open-loop arrivals.

pub mod decide;
pub mod driver;
pub mod faults;
pub mod policy;
