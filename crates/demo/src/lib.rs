//! A whole deployment on loopback, with stand-ins for the platform.
//!
//! The demo, and tests that need the real path, start it with
//! [`Deployment::start`].

mod caller;
mod deployment;
mod profile;
mod tour;

pub use caller::{CallOutcome, Caller};
pub use deployment::{Deployment, Error};
pub use profile::Profile;
pub use tour::{Summary, tour};
