//! Failures as reported to callers.
//!
//! Each failure states whether the work may have run, because a caller can safely
//! repeat work only if it has not.

mod reason;

use serde::{Deserialize, Serialize};

pub use reason::Reason;

/// Whether failed work may have run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Certainty {
    /// No part of the work has run, and none will.
    NotRun,
    /// The work may have run, but at most once.
    Unknown,
}

/// A failed request or job: the cause, and whether a retry may help.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Failure {
    /// Whether the work may have run.
    pub certainty: Certainty,
    /// Cause of the failure.
    pub reason: Reason,
    /// Delay after which a retry may succeed, in milliseconds. Zero if a retry won't help.
    pub retry_after_ms: u64,
}

impl Failure {
    /// Returns a failure of work that has certainly not run.
    pub fn not_run(reason: Reason) -> Failure {
        let retry_after_ms = reason.retry_after_ms();
        Failure { certainty: Certainty::NotRun, reason, retry_after_ms }
    }

    /// Returns a failure of work that may have run. It suggests no retry, since
    /// the work might then run twice.
    pub fn unknown(reason: Reason) -> Failure {
        Failure { certainty: Certainty::Unknown, reason, retry_after_ms: 0 }
    }
}
