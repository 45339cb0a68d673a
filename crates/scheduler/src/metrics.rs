use prometheus::{IntCounterVec, IntGauge};
use sycamore_telemetry::metrics::Metrics;

/// Counters and gauges of a scheduler.
#[derive(Clone, Debug)]
pub(crate) struct Meters {
    pub(crate) metrics: Metrics,
    /// Calls to the store, by kind and outcome.
    pub(crate) store_calls: IntCounterVec,
    /// Calls to workers, by kind and outcome.
    pub(crate) worker_calls: IntCounterVec,
    /// Requests, by outcome.
    pub(crate) requests: IntCounterVec,
    /// Decisions on record.
    pub(crate) decisions: IntCounterVec,
    /// Messages between processes, by direction.
    pub(crate) peer_messages: IntCounterVec,
    /// Events that the core has taken, by kind.
    pub(crate) events: IntCounterVec,
    /// Time that the control thread has spent deciding, in microseconds.
    pub(crate) control_us: IntCounterVec,
    pub(crate) shards: IntGauge,
    pub(crate) active: IntGauge,
    pub(crate) running: IntGauge,
    pub(crate) waiting: IntGauge,
    pub(crate) riding_out: IntGauge,
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
            riding_out: metrics
                .gauge("sycamore_riding_out", "1 while only promises of peers carry the process"),
            config: metrics.gauge("sycamore_config_revision", "Configuration in force"),
            metrics,
        }
    }
}
