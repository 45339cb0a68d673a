//! Measurements of sycamorechute.
//!
//! - [`decide`] measures the time that the decision core takes per task start.
//! - [`policy`] compares waiting times, packing and fairness with two simple
//!   schedulers.
//! - [`faults`] kills, pauses and replaces real processes under load, and
//!   checks that no job is lost and no request runs twice.
//!
//! `decide` and `policy` run the real core in one process, on a virtual clock
//! and without a network. Only `faults` contains the latency of real processes.

pub mod decide;
pub mod driver;
pub mod faults;
pub mod policy;
