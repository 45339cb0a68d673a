//! Intervals, timeouts and retention times of the decision core.
//!
//! All spans are measured on the monotonic clock of one process. Two clocks
//! may run at rates that differ by [`Timing::drift_percent`]: a process that
//! must not act late shortens a span by the drift, and one that must not act
//! early lengthens it.

use std::time::Duration;

/// Intervals, timeouts and retention times of the decision core.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Timing {
    /// Time between two renewals of a member's lease.
    pub renew_interval: Duration,
    /// Time for which one renewal of its lease lets a member start work.
    pub ttl: Duration,
    /// Largest difference between the rates of two clocks, in percent.
    pub drift_percent: u32,
    /// Longest time from sending a call until its arrival. A connection that takes longer is
    /// closed.
    pub max_delay: Duration,
    /// Time for which a member promises another one not to take over its shards.
    pub promise_span: Duration,
    /// Longest time for which promises of its peers let a member start work during a store
    /// outage.
    pub max_lease_extension: Duration,
    /// Time between two reads of the member list.
    pub member_poll_interval: Duration,
    /// Time between two polls of a worker.
    pub worker_poll_interval: Duration,
    /// Time after which a worker stops a task whose lease was not renewed.
    pub task_lease: Duration,
    /// Time after which a new owner no longer waits for its workers to list what they run.
    pub inventory_timeout: Duration,
    /// Time between two summaries to the planner, which divides team limits among shards.
    pub summary_interval: Duration,
    /// Shortest time between two page writes of a process, over the logs of all its shards.
    pub log_write_interval: Duration,
    /// Time for which an idempotency key is remembered.
    pub key_retention: Duration,
    /// Time for which the status of a finished job can be queried.
    pub job_retention: Duration,
    /// Waiting time after which a gang job reserves hosts.
    pub reserve_after: Duration,
    /// Longest time for which a reservation may keep hosts from other work.
    pub max_reservation: Duration,
    /// Time for which a failing host gets no work the first time. Later quarantines are longer.
    pub initial_quarantine: Duration,
    /// Whether [`Timing::shortened`] allows for clock drift. Only tests that show why this is
    /// needed may clear it.
    pub allows_for_drift: bool,
}

impl Default for Timing {
    fn default() -> Timing {
        Timing {
            renew_interval: Duration::from_millis(750),
            ttl: Duration::from_secs(3),
            drift_percent: 1,
            max_delay: Duration::from_millis(500),
            promise_span: Duration::from_secs(3),
            max_lease_extension: Duration::from_secs(900),
            member_poll_interval: Duration::from_secs(1),
            worker_poll_interval: Duration::from_secs(1),
            task_lease: Duration::from_secs(6),
            inventory_timeout: Duration::from_millis(1_500),
            summary_interval: Duration::from_millis(500),
            log_write_interval: Duration::from_millis(50),
            key_retention: Duration::from_secs(600),
            job_retention: Duration::from_secs(900),
            reserve_after: Duration::from_secs(5),
            max_reservation: Duration::from_secs(120),
            initial_quarantine: Duration::from_secs(10),
            allows_for_drift: true,
        }
    }
}

impl Timing {
    /// Shortens a span by the clock drift, for a process that must not act late.
    pub fn shortened(&self, span: Duration) -> Duration {
        if !self.allows_for_drift {
            return span;
        }
        span - span * self.drift_percent / 100
    }

    /// Lengthens a span by the clock drift and the longest delay, for a process that must not
    /// act early.
    pub fn lengthened(&self, span: Duration) -> Duration {
        span + span * self.drift_percent / 100 + self.max_delay
    }
}
