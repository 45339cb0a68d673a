//! Time limits, intervals and other limits of the engine.
//!
//! The owner must never treat a lease as expired while the host still honours it. The
//! allowances for clock drift and for messages in flight make it wait longer instead.

/// Time limits and intervals of the engine.
#[derive(Clone, Debug)]
pub struct Timing {
    /// Longest lease that a host grants, in milliseconds. Setting of the platform.
    pub lease_ms: u64,
    /// Fraction by which a host's clock may run slow: 2% by the platform's documentation.
    pub clock_drift: f64,
    /// Time added to a lease for messages in flight before it counts as expired, in
    /// milliseconds.
    pub lease_margin_ms: u64,
    /// Time for which a host may act on a start request, in milliseconds.
    ///
    /// Shorter than 2 s, the least delay of a request that the network holds up, so that
    /// hosts refuse those.
    pub start_ttl_ms: u64,
    /// Longest time that a host may delay its reply to a poll, in milliseconds.
    pub poll_wait_ms: u64,
    /// Most run ends that a host lists in one report. Setting of the platform.
    pub max_ends_per_report: usize,
    /// Pause before the next poll of a host whose run ends can't be acknowledged yet, in
    /// milliseconds. Applies only while the log can't be written; otherwise the
    /// acknowledgement comes sooner.
    pub unacked_pause_ms: u64,
    /// Pause after a failed poll of a host, in milliseconds. Grows with the number of
    /// consecutive failures, up to eight times this value.
    pub poll_retry_ms: u64,
    /// Time after the last write of a host's entry for which its capacity is used to place tasks,
    /// in milliseconds.
    ///
    /// A host may shrink right after the write. The platform documents for how long its former
    /// capacity may still be used, from which the time of an order in flight is taken off.
    pub capacity_max_age_ms: u64,
    /// Time for which a closed job stays known to callers, in milliseconds. Setting of the
    /// platform.
    pub status_retention_ms: u64,
    /// Memory that the known jobs may take, in bytes.
    pub max_job_bytes: usize,
    /// Time after which the past use of a team counts half, in milliseconds. Zero leaves past use
    /// out of account.
    pub usage_half_life_ms: u64,
    /// Remaining lifetime below which a ticket is no longer used, in milliseconds.
    pub ticket_margin_ms: u64,
    /// Cost of stopping tasks that save checkpoints. `None` if no task is stopped to give room to
    /// others.
    pub preemption: Option<PreemptionTiming>,
}

/// How long tasks that save checkpoints take to stop and to resume. Settings of the platform.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PreemptionTiming {
    /// Longest time from a stop request to the end of the run, in milliseconds.
    pub stop_ms: u64,
    /// Time between two checkpoints of a task, in milliseconds.
    pub checkpoint_ms: u64,
    /// Time that a task takes to resume from a checkpoint, in milliseconds.
    pub restore_ms: u64,
}

impl Default for Timing {
    fn default() -> Timing {
        Timing {
            lease_ms: 6_000,
            clock_drift: 0.02,
            lease_margin_ms: 300,
            start_ttl_ms: 1_500,
            poll_wait_ms: 1_000,
            max_ends_per_report: 500,
            unacked_pause_ms: 300,
            poll_retry_ms: 100,
            capacity_max_age_ms: 4_000,
            status_retention_ms: 150_000,
            max_job_bytes: 32 << 20,
            usage_half_life_ms: 0,
            ticket_margin_ms: 60,
            preemption: None,
        }
    }
}

impl Timing {
    /// Returns the time from which a lease that was granted for `granted_ms` at `now_ms` has
    /// certainly expired, in milliseconds.
    pub(crate) fn lease_until_ms(&self, now_ms: u64, granted_ms: u64) -> u64 {
        now_ms + (granted_ms as f64 * (1.0 + self.clock_drift)) as u64 + self.lease_margin_ms
    }
}
