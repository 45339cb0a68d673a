//! Measurements of sycamorechute.
//!
//! - [`decide`] measures the time that the decision core takes per task start.
//! - [`policy`] compares waiting times, packing and fairness with two simple
//!   schedulers.
//! - [`faults`] kills, pauses and replaces real processes under load, and
//!   checks that no job is lost and no request runs twice.
//!
//! - [`site`] plays a site on the engine of `sycamore-node` and measures its cost and waits.
//!
//! `decide`, `policy` and `site` run the real core in one process, on a virtual clock
//! and without a network. Only `faults` contains the latency of real processes.

pub mod decide;
pub mod driver;
pub mod faults;
pub mod policy;
pub mod site;
