//! A whole deployment on loopback, with a simulated platform.
//!
//! The demo starts it with [`Deployment::start`], as do tests that need the real network path.

mod caller;
mod deployment;
mod profile;
mod tour;

pub use caller::{CallOutcome, Caller};
pub use deployment::{Deployment, Error};
pub use profile::Profile;
pub use tour::{Summary, tour};
