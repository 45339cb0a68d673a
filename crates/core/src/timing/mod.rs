//! Every time span that the decision core uses.
//!
//! All spans are measured on the monotonic clock of one process. Two clocks
//! may drift apart by [`Timing::drift_percent`]; whoever must not act late
//! shortens a span by the drift and whoever must not act early lengthens it.

use std::time::Duration;

/// Time spans of the decision core.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Timing {
    /// Time between two renewals of a member's lease.
    pub renew_interval: Duration,
    /// Time for which one renewal lets a member start work.
    pub ttl: Duration,
    /// Largest difference between the rates of two clocks, in percent.
    pub drift_percent: u32,
    /// Longest time between a send and its arrival; later the connection is cut.
    pub max_delay: Duration,
    /// Time for which a member promises another not to take over.
    pub promise_span: Duration,
    /// Longest time for which promises carry a member through a store outage.
    pub ride_out: Duration,
    /// Time between two reads of the member list.
    pub member_poll_interval: Duration,
    /// Time between two polls of a worker.
    pub worker_poll_interval: Duration,
    /// Time after which a worker stops a task whose lease was not renewed.
    pub task_lease: Duration,
    /// Time that a new owner gives its workers to list what they run.
    pub inventory_timeout: Duration,
    /// Time between two summaries to the planner of limits.
    pub summary_interval: Duration,
    /// Shortest time between two writes to the logs of all shards of a process.
    pub log_gap: Duration,
    /// Time for which an idempotency key is remembered.
    pub key_retention: Duration,
    /// Time for which a finished job can be asked for.
    pub job_retention: Duration,
    /// Waiting time after which an all-at-once job reserves hosts.
    pub reserve_after: Duration,
    /// Longest time for which a reservation may hold hosts back.
    pub max_reservation: Duration,
    /// First time for which a host that fails everything gets no work.
    pub initial_quarantine: Duration,
    /// Safety margin on deadlines is taken. Only tests that show the margin's worth clear it.
    pub has_margin: bool,
}

impl Default for Timing {
    fn default() -> Timing {
        Timing {
            renew_interval: Duration::from_millis(750),
            ttl: Duration::from_secs(3),
            drift_percent: 1,
            max_delay: Duration::from_millis(500),
            promise_span: Duration::from_secs(3),
            ride_out: Duration::from_secs(900),
            member_poll_interval: Duration::from_secs(1),
            worker_poll_interval: Duration::from_secs(1),
            task_lease: Duration::from_secs(6),
            inventory_timeout: Duration::from_millis(1_500),
            summary_interval: Duration::from_millis(500),
            log_gap: Duration::from_millis(50),
            key_retention: Duration::from_secs(600),
            job_retention: Duration::from_secs(900),
            reserve_after: Duration::from_secs(5),
            max_reservation: Duration::from_secs(120),
            initial_quarantine: Duration::from_secs(10),
            has_margin: true,
        }
    }
}

impl Timing {
    /// Shortens a span for a process that must not act late.
    pub fn shortened(&self, span: Duration) -> Duration {
        if !self.has_margin {
            return span;
        }
        span - span * self.drift_percent / 100
    }

    /// Lengthens a span for a process that must not act early.
    pub fn lengthened(&self, span: Duration) -> Duration {
        span + span * self.drift_percent / 100 + self.max_delay
    }
}
