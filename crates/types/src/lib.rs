//! Domain types shared by every process of sycamorechute.
//!
//! The crate holds plain data: identifiers, labels and selectors, resource
//! sizes, work that callers hand in, outcomes they get back, and the
//! configuration document that operators write. It performs no I/O and knows
//! no clock, so that the decision core and the tests can use it freely.

pub mod config;
pub mod host;
pub mod id;
pub mod job;
pub mod label;
pub mod outcome;
pub mod resources;
pub mod selector;

/// A name given by an operator or a caller. Cheap to clone.
pub type Name = std::sync::Arc<str>;
