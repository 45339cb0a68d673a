//! Metrics of an entry process, served on the operators' address.
//!
//! All label values come from fixed sets, so the number of time series is bounded.

use prometheus::IntCounterVec;
use sycamore_intake::{body, connection};
use sycamore_telemetry::metrics::Metrics;

/// Counters of an entry process, with the registry that they belong to.
#[derive(Clone, Debug)]
pub(crate) struct Meters {
    pub(crate) metrics: Metrics,
    /// Callers' requests and submissions, by kind and outcome.
    pub(crate) calls: IntCounterVec,
    /// Requests that were offered again after a refusal, by its reason.
    pub(crate) retries: IntCounterVec,
    /// Writes of the configuration by operators, by outcome.
    pub(crate) changes: IntCounterVec,
    /// Bodies that are read completely.
    pub(crate) bodies: body::Meters,
    /// Connections of callers.
    pub(crate) callers: connection::Meters,
    /// Connections of operators, probes and readers of metrics.
    pub(crate) operators: connection::Meters,
}

impl Meters {
    pub(crate) fn new() -> Meters {
        let metrics = Metrics::new();
        Meters {
            calls: metrics.counters(
                "sycamore_calls_total",
                "Calls by kind and outcome",
                &["kind", "outcome"],
            ),
            retries: metrics.counters(
                "sycamore_retries_total",
                "Calls passed on again after a refusal",
                &["outcome"],
            ),
            changes: metrics.counters(
                "sycamore_config_changes_total",
                "Changes of configuration by outcome",
                &["outcome"],
            ),
            bodies: body::Meters {
                held_bytes: metrics.gauge(
                    "sycamore_body_bytes",
                    "Memory that bodies of callers and operators hold, in bytes",
                ),
                refused: metrics.counter(
                    "sycamore_bodies_refused_total",
                    "Calls that were refused as there was no memory for their body",
                ),
            },
            callers: connection::Meters {
                open: metrics.gauge("sycamore_caller_connections", "Open connections of callers"),
                evicted: metrics.counter(
                    "sycamore_caller_connections_evicted_total",
                    "Connections of callers that were closed to make room for others",
                ),
            },
            operators: connection::Meters {
                open: metrics
                    .gauge("sycamore_operator_connections", "Open connections of operators"),
                evicted: metrics.counter(
                    "sycamore_operator_connections_evicted_total",
                    "Connections of operators that were closed to make room for others",
                ),
            },
            metrics,
        }
    }
}
