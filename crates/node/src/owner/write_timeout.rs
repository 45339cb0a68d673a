//! Time limits of log writes, which leave the host's link time to carry the page.
//!
//! A limit below that time would cut each attempt off, and the next one would begin at the
//! first byte again. The limit of a small page stays short, because all decisions wait for a
//! write whose response was lost.

use std::time::Duration;

use crate::timing::LOG_TIMEOUT;

/// Least bandwidth assumed, in Mbit/s, whatever the settings state.
const MIN_LINK_MBPS: f64 = 0.5;

/// Bandwidth assumed where the settings limit it less, in Mbit/s.
const MAX_LINK_MBPS: f64 = 100.0;

/// Number of times that the allowance for the transfer doubles. Other traffic may leave the
/// write only a part of the link; more doublings would delay the log after an outage.
const MAX_DOUBLINGS: u32 = 3;

/// Derives the time limit of a write from its size.
#[derive(Clone, Copy, Debug)]
pub(super) struct WriteTimeout {
    bytes_per_s: f64,
}

impl WriteTimeout {
    /// `writes_in_flight` is the number of writes that may share the link.
    pub fn new(link_mbps: f64, writes_in_flight: usize) -> WriteTimeout {
        let bits_per_s = 1e6 * link_mbps.clamp(MIN_LINK_MBPS, MAX_LINK_MBPS);
        WriteTimeout { bytes_per_s: bits_per_s / 8.0 / writes_in_flight as f64 }
    }

    /// Returns the limit of an attempt to write this many bytes, after some failed ones.
    pub fn of(&self, bytes: usize, failures: u32) -> Duration {
        let factor = f64::from(1_u32 << failures.min(MAX_DOUBLINGS));
        LOG_TIMEOUT + Duration::from_secs_f64(factor * bytes as f64 / self.bytes_per_s)
    }
}
