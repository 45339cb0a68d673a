//! Metrics of an entry process, served on the operators' address.
//!
//! All label values come from fixed sets, so the number of time series is bounded.

use prometheus::IntCounterVec;
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
            metrics,
        }
    }
}
