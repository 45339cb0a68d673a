//! Why a call for advice failed, at the host that made it or on the way there.

use displaydoc::Display;
use serde::{Deserialize, Serialize};
use sycamore_platform::site::AdviceError;

/// Why a call for advice failed. Part of the messages between processes.
#[derive(Clone, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
pub(crate) enum AdviceFailure {
    /// the host has no advice service in its settings
    NotConfigured,
    /// an earlier call of the host did not end in time
    Busy,
    /// {0}
    Service(AdviceError),
    /// the process was not reached: {0}
    Peer(String),
    /// the process did not reply in time
    PeerTimedOut,
    /// the process gave no reason
    Unexplained,
}

impl AdviceFailure {
    /// Returns the name of the cause in logs and metrics.
    pub fn cause(&self) -> &'static str {
        match self {
            AdviceFailure::NotConfigured => "not_configured",
            AdviceFailure::Busy => "busy",
            AdviceFailure::Service(AdviceError::NotSent(_)) => "not_sent",
            AdviceFailure::Service(AdviceError::Status(_)) => "status",
            AdviceFailure::Service(AdviceError::TimedOut) => "timeout",
            AdviceFailure::Service(AdviceError::Broken(_)) => "broken",
            AdviceFailure::Service(AdviceError::Malformed(_)) => "malformed",
            AdviceFailure::Peer(_) => "peer",
            AdviceFailure::PeerTimedOut => "peer_timeout",
            AdviceFailure::Unexplained => "unexplained",
        }
    }

    /// Returns whether the service rejected the call itself, such as for a worker that it does
    /// not know, which tells nothing about the host that made it.
    pub fn is_about_call(&self) -> bool {
        matches!(self, AdviceFailure::Service(AdviceError::Status(400)))
    }
}
