//! Counters and gauges by `prometheus`.

pub use prometheus;
use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounterVec, IntGauge, Opts, Registry, TextEncoder,
};

/// All metrics of one process.
///
/// Several processes may share one address space in the demo, so each has a
/// registry of its own instead of the library's global one.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
}

impl Default for Metrics {
    fn default() -> Metrics {
        Metrics::new()
    }
}

impl Metrics {
    /// Builds an empty registry.
    pub fn new() -> Metrics {
        Metrics { registry: Registry::new() }
    }

    /// Adds a family of counters.
    ///
    /// # Panics
    ///
    /// Panics when the name is malformed or taken, which is a programming error.
    pub fn counters(&self, name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
        let counters = IntCounterVec::new(Opts::new(name, help), labels).expect("valid name");
        self.registry.register(Box::new(counters.clone())).expect("name is free");
        counters
    }

    /// Adds a gauge.
    ///
    /// # Panics
    ///
    /// Panics when the name is malformed or taken, which is a programming error.
    pub fn gauge(&self, name: &str, help: &str) -> IntGauge {
        let gauge = IntGauge::new(name, help).expect("valid name");
        self.registry.register(Box::new(gauge.clone())).expect("name is free");
        gauge
    }

    /// Adds a family of histograms.
    ///
    /// # Panics
    ///
    /// Panics when the name is malformed or taken, which is a programming error.
    pub fn histograms(
        &self,
        name: &str,
        help: &str,
        labels: &[&str],
        buckets: &[f64],
    ) -> HistogramVec {
        let opts = HistogramOpts::new(name, help).buckets(buckets.to_vec());
        let histograms = HistogramVec::new(opts, labels).expect("valid name");
        self.registry.register(Box::new(histograms.clone())).expect("name is free");
        histograms
    }

    /// Writes all metrics in the text format.
    pub fn render(&self) -> Vec<u8> {
        let mut buf = Vec::new();
        // Writing to memory fails only on a malformed family, which the
        // registry does not take.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut buf);
        buf
    }
}
