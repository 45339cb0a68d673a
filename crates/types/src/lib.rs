//! Domain types shared by every process of sycamorechute.
//!
//! The crate holds plain data: identifiers, labels and selectors, resource
//! sizes, jobs, failure reasons, and the configuration document that operators
//! write. It performs no I/O and reads no clock, so the decision core, which
//! does neither, can use it.

pub mod config;
pub mod host;
pub mod id;
pub mod job;
pub mod label;
pub mod outcome;
pub mod resources;
pub mod selector;

/// A name chosen by an operator or a caller. Cloning it copies a pointer.
pub type Name = std::sync::Arc<str>;
