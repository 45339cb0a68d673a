/// Time limits and weights of the engine.
#[derive(Clone, Debug)]
pub struct Timing {
    /// Longest lease that a worker grants, in milliseconds. Platform setting.
    pub lease_ms: u64,
    /// Part by which a worker's clock may run slow. Platform documentation: 2%.
    pub clock_drift: f64,
    /// Allowance for messages under way when a lease is taken for lapsed, in milliseconds.
    pub lease_margin_ms: u64,
    /// Time for which a start order may be carried out, in milliseconds.
    ///
    /// Shorter than the time after which delayed orders were seen to arrive (2 s).
    pub start_ttl_ms: u64,
    /// Longest wait of one look at a worker, in milliseconds.
    pub poll_wait_ms: u64,
    /// Pause before the next look at a worker whose ends can't be acknowledged yet, in
    /// milliseconds. Only reached while the log can't be written.
    pub unacked_pause_ms: u64,
    /// Pause after a failed look at a worker, in milliseconds.
    pub poll_retry_ms: u64,
    /// Time a job's last state stays known, in milliseconds. Platform setting.
    pub status_retention_ms: u64,
    /// Rest of a ticket's life below which it is not used, in milliseconds.
    pub ticket_margin_ms: u64,
}

impl Default for Timing {
    fn default() -> Timing {
        Timing {
            lease_ms: 6_000,
            clock_drift: 0.02,
            lease_margin_ms: 300,
            start_ttl_ms: 1_500,
            poll_wait_ms: 1_000,
            unacked_pause_ms: 300,
            poll_retry_ms: 100,
            status_retention_ms: 150_000,
            ticket_margin_ms: 60,
        }
    }
}

impl Timing {
    /// Time after the last renewal by which a lease is over for certain, in milliseconds.
    pub(crate) fn lease_expiry_ms(&self) -> u64 {
        (self.lease_ms as f64 * (1.0 + self.clock_drift)) as u64 + self.lease_margin_ms
    }
}
