//! Counters, gauges and histograms, kept with the `prometheus` crate.

pub use prometheus;
use prometheus::{
    Encoder, GaugeVec, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts,
    Registry, TextEncoder,
};

/// Metrics of one process.
///
/// Each process has its own registry rather than the global one of the
/// library, because the demo runs several of them in one address space.
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
    /// Creates a registry without metrics.
    pub fn new() -> Metrics {
        Metrics { registry: Registry::new() }
    }

    /// Registers a family of counters, one for each combination of label values.
    ///
    /// # Panics
    ///
    /// Panics if the name is invalid or already registered, which is a programming error.
    pub fn counters(&self, name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
        let counters = IntCounterVec::new(Opts::new(name, help), labels).expect("valid name");
        self.registry.register(Box::new(counters.clone())).expect("name is free");
        counters
    }

    /// Registers a counter.
    ///
    /// # Panics
    ///
    /// Panics if the name is invalid or already registered, which is a programming error.
    pub fn counter(&self, name: &str, help: &str) -> IntCounter {
        let counter = IntCounter::new(name, help).expect("valid name");
        self.registry.register(Box::new(counter.clone())).expect("name is free");
        counter
    }

    /// Registers a gauge.
    ///
    /// # Panics
    ///
    /// Panics if the name is invalid or already registered, which is a programming error.
    pub fn gauge(&self, name: &str, help: &str) -> IntGauge {
        let gauge = IntGauge::new(name, help).expect("valid name");
        self.registry.register(Box::new(gauge.clone())).expect("name is free");
        gauge
    }

    /// Registers a family of gauges, one for each combination of label values.
    ///
    /// # Panics
    ///
    /// Panics if the name is invalid or already registered, which is a programming error.
    pub fn gauges(&self, name: &str, help: &str, labels: &[&str]) -> GaugeVec {
        let gauges = GaugeVec::new(Opts::new(name, help), labels).expect("valid name");
        self.registry.register(Box::new(gauges.clone())).expect("name is free");
        gauges
    }

    /// Registers a family of histograms, one for each combination of label values.
    ///
    /// `buckets` are the upper bounds, in the unit of the observed value.
    ///
    /// # Panics
    ///
    /// Panics if the name is invalid or already registered, which is a programming error.
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

    /// Encodes all metrics in the Prometheus text format.
    pub fn render(&self) -> Vec<u8> {
        let mut buf = Vec::new();
        // Encoding into memory fails only on a malformed family, which the
        // registry rejects.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut buf);
        buf
    }
}
