//! What the owner knows of one worker: its room, its runs and its lease.

mod run;

use std::collections::BTreeMap;

use sycamore_types::resources::Resources;

pub use run::RunEnd;
pub(crate) use run::{Phase, Run};

use crate::{HostEntry, Record, TaskId, Timing};

/// Consecutive failed runs after which a host is quarantined.
const MAX_CONSECUTIVE_FAILURES: u32 = 4;

/// Time without new work after failures in a row, in milliseconds.
const QUARANTINE_MS: u64 = 4_000;

/// What the log says of a worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum LogState {
    /// Nothing: no run of this owner or an earlier one is there.
    Unused,
    /// A record that it is used is under way.
    UsePending,
    /// Any run may be there.
    Used,
    /// Only the runs that it had when it stopped taking work.
    Leaving,
}

/// One incarnation of a worker.
#[derive(Debug)]
pub(crate) struct Host {
    pub entry: HostEntry,
    /// Number of the worker in this engine.
    pub number: u32,
    /// The platform's list shows the worker.
    pub is_listed: bool,
    /// The worker has answered a look under this owner's fence.
    pub has_reported: bool,
    /// What the log says of the worker.
    pub log: LogState,
    /// What the runs take.
    pub used: Resources,
    /// Runs that may take room.
    pub runs: BTreeMap<(TaskId, u32), Run>,
    /// Number of the last end that was taken in.
    pub last_seen_end: u64,
    /// Number of the last end whose record is durable.
    pub last_durable_end: u64,
    /// Worker's clock less the owner's steady clock, in milliseconds.
    pub clock_offset_ms: i64,
    /// Time at which the lease was last renewed, or may have been, in milliseconds.
    pub lease_renewed_ms: u64,
    /// Number of the look under way.
    pub poll_in_flight: Option<u64>,
    /// Time before which no look is due, in milliseconds.
    pub poll_not_before_ms: u64,
    /// Time of the last answer to a look, in milliseconds.
    pub reported_ms: u64,
    /// Looks without an answer in a row.
    pub missed_polls: u32,
    /// Failed ends in a row, of different jobs.
    pub consecutive_failures: u32,
    /// Time until which the worker gets no new work, in milliseconds.
    pub quarantined_until_ms: u64,
}

impl Host {
    pub fn new(entry: HostEntry, number: u32, now_ms: u64) -> Host {
        Host {
            entry,
            number,
            is_listed: true,
            has_reported: false,
            log: LogState::Unused,
            used: Resources::default(),
            runs: BTreeMap::new(),
            last_seen_end: 0,
            last_durable_end: 0,
            clock_offset_ms: 0,
            lease_renewed_ms: now_ms,
            poll_in_flight: None,
            poll_not_before_ms: 0,
            reported_ms: 0,
            missed_polls: 0,
            consecutive_failures: 0,
            quarantined_until_ms: 0,
        }
    }

    /// Tells whether new work may go to the worker.
    pub fn is_usable(&self, now_ms: u64) -> bool {
        self.is_listed
            && self.has_reported
            && self.log == LogState::Used
            && !self.entry.is_draining
            && self.missed_polls == 0
            && now_ms >= self.quarantined_until_ms
    }

    /// The record that the worker gets no new work.
    pub fn leaving_record(&self) -> Record {
        let runs = self.runs.keys().copied().collect();
        Record::HostLeaving { host: self.entry.id.clone(), runs }
    }

    /// Returns the room that is left.
    pub fn free(&self) -> Resources {
        self.entry.capacity.minus(&self.used)
    }

    /// Tells whether nothing of this owner or an earlier one can run any more.
    pub fn is_lease_expired(&self, now_ms: u64, timing: &Timing) -> bool {
        now_ms > self.lease_renewed_ms + timing.lease_expiry_ms()
    }

    /// Tells whether runs of an earlier owner may go on there that nobody lists.
    pub fn may_have_unlisted_runs(&self, now_ms: u64, timing: &Timing) -> bool {
        self.log == LogState::Used && !self.has_reported && !self.is_lease_expired(now_ms, timing)
    }

    /// Returns the worker's clock at a time of the owner, in milliseconds.
    pub fn clock_at(&self, now_ms: u64) -> u64 {
        u64::try_from(now_ms as i64 + self.clock_offset_ms).unwrap_or(0)
    }

    /// Takes in how a run ended, for the worker's own health.
    pub fn record_outcome(&mut self, is_failure: bool, now_ms: u64) {
        if !is_failure {
            self.consecutive_failures = 0;
            return;
        }
        self.consecutive_failures += 1;
        if self.consecutive_failures >= MAX_CONSECUTIVE_FAILURES {
            self.quarantined_until_ms = now_ms + QUARANTINE_MS;
            // A single further failure after the quarantine quarantines the host again.
            self.consecutive_failures = MAX_CONSECUTIVE_FAILURES - 1;
        }
    }
}
