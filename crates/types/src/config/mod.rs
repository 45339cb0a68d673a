//! The configuration document that operators write.
//!
//! The whole configuration is one document with one revision. A change
//! therefore takes effect as a whole or not at all, and a process can compare
//! two states by a single number. In a cluster of the planned size, the document
//! stays well below the store's limit for one value.

mod document;
mod error;
mod key;
mod queue;
mod service;
mod team;

pub use document::Document;
pub use error::Error;
pub use key::Key;
pub use queue::Queue;
pub use service::Service;
pub use team::Team;
