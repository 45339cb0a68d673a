//! Losses of hosts with the runs they had, as the log lines of the owner tell them.
//!
//! They tell a host that a task brings down from one that fails for another reason: a task that
//! does so is the youngest run of each host that it ran on.

use sycamore_types::Name;

use crate::TaskId;

/// Why the runs of a host are lost.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LossCause {
    /// Another incarnation took the host's place, and the host had not announced its end.
    Crashed,
    /// The host was draining.
    Drained,
    /// The host was out of reach until its lease had expired. It may have crashed.
    LeaseExpired,
    /// The host is out of reach, and its members of a gang have ended: they failed, or the host
    /// crashed.
    GangBroken,
}

/// A lease that counts as expired, so that tasks which may have run on the host start again.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ExpiredLease {
    /// Name of the host.
    pub host: Name,
    /// Number of runs that were known to be there or may have been there.
    pub runs: usize,
    /// The log allowed for further runs that no report to this owner has shown.
    pub may_have_had_others: bool,
    /// This owner has granted a lease to the host. Otherwise only earlier owners can have.
    pub was_granted_here: bool,
    /// Time since the first poll without a reply, in milliseconds. `None` if there was none.
    pub silent_ms: Option<u64>,
}

/// Loss of a host that had runs.
#[derive(Clone, Debug, PartialEq)]
pub struct HostLoss {
    /// Name of the host.
    pub host: Name,
    /// Why its runs are lost.
    pub cause: LossCause,
    /// Number of runs lost.
    pub runs: usize,
    /// Number of those that start again in isolation.
    pub suspects: usize,
    /// Number of those that the next incarnation may have or start, and that are kept until it has
    /// reported.
    pub kept: usize,
    /// Task and attempt number of the run that was started last.
    pub youngest: (TaskId, u32),
    /// Time from the start request of that run to the moment when the host was out of reach, in
    /// milliseconds.
    pub youngest_age_ms: u64,
    /// Time from that moment to the detection of the loss, in milliseconds.
    pub silent_ms: u64,
}
