//! The metrics of the scheduler.
//!
//! All label values come from fixed sets, so the number of time series is bounded.

use prometheus::{IntCounterVec, IntGauge};
use sycamore_telemetry::metrics::Metrics;

/// The registry of metrics, with the counters and gauges of a scheduler.
#[derive(Clone, Debug)]
pub(crate) struct Meters {
    /// Registry that the metrics belong to.
    pub(crate) metrics: Metrics,
    /// Calls to the store, by kind (`read` or `write`) and outcome.
    pub(crate) store_calls: IntCounterVec,
    /// Starts, polls and stops at workers, by kind and outcome.
    pub(crate) worker_calls: IntCounterVec,
    /// Interactive requests, by outcome: `answered`, `broken_off`, `caller_gone` or the code of
    /// the failure.
    pub(crate) requests: IntCounterVec,
    /// Decision records, by kind of decision.
    pub(crate) decisions: IntCounterVec,
    /// Messages to and from peers, by direction (`in` or `out`).
    pub(crate) peer_messages: IntCounterVec,
    /// Events handled by the decision core, by kind.
    pub(crate) events: IntCounterVec,
    /// Time that the decision core has spent on events, in microseconds, by kind of event.
    pub(crate) control_us: IntCounterVec,
    /// Number of shards that the process owns.
    pub(crate) shards: IntGauge,
    /// Number of owned shards in which work is started.
    pub(crate) active: IntGauge,
    /// Number of tasks and requests that run or may run.
    pub(crate) running: IntGauge,
    /// Number of tasks and requests that wait.
    pub(crate) waiting: IntGauge,
    /// 1 while the lease is extended only by promises of peers, since it can't be renewed in
    /// the store.
    pub(crate) extended_by_promises: IntGauge,
    /// Revision of the configuration in force.
    pub(crate) config: IntGauge,
}

impl Meters {
    pub(crate) fn new() -> Meters {
        let metrics = Metrics::new();
        Meters {
            store_calls: metrics.counters(
                "sycamore_store_calls_total",
                "Calls to the platform's store",
                &["kind", "outcome"],
            ),
            worker_calls: metrics.counters(
                "sycamore_worker_calls_total",
                "Calls to workers",
                &["kind", "outcome"],
            ),
            requests: metrics.counters(
                "sycamore_requests_total",
                "Interactive requests by outcome",
                &["outcome"],
            ),
            decisions: metrics.counters(
                "sycamore_decisions_total",
                "Decisions put on record",
                &["kind"],
            ),
            peer_messages: metrics.counters(
                "sycamore_peer_messages_total",
                "Messages between processes",
                &["direction"],
            ),
            events: metrics.counters(
                "sycamore_events_total",
                "Events taken by the decision core",
                &["kind"],
            ),
            control_us: metrics.counters(
                "sycamore_control_microseconds_total",
                "Time spent deciding",
                &["kind"],
            ),
            shards: metrics.gauge("sycamore_shards", "Shards owned"),
            active: metrics.gauge("sycamore_shards_active", "Shards whose work is started"),
            running: metrics.gauge("sycamore_running", "Tasks and requests that run"),
            waiting: metrics.gauge("sycamore_waiting", "Tasks and requests that wait"),
            extended_by_promises: metrics
                .gauge("sycamore_riding_out", "1 while only promises of peers carry the process"),
            config: metrics.gauge("sycamore_config_revision", "Configuration in force"),
            metrics,
        }
    }
}
