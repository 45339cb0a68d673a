//! How many hosts the calls of each class need, by the calls of the last seconds.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use sycamore_graph::CallClass;

/// Time over which calls are counted. A burst is known after a part of it, and a single call is
/// forgotten soon.
const WINDOW: Duration = Duration::from_secs(2);

/// Parts of the window that calls are counted by.
const PARTS: u32 = 8;

/// Fraction of their time that hosts should spend on calls, so that most calls find a free one.
const MAX_UTILIZATION: f64 = 0.6;

/// Expected durations of the calls of the last seconds.
#[derive(Debug, Default)]
pub(super) struct Demand {
    /// First call, from which on calls are counted.
    begin: Option<Instant>,
    /// Begin of each part of the window, with the sum of the calls of each class in milliseconds.
    parts: VecDeque<(Instant, [f64; CallClass::COUNT])>,
}

impl Demand {
    /// Counts a call with its expected duration in milliseconds.
    pub fn record(&mut self, class: CallClass, cost_ms: f64, now: Instant) {
        self.begin.get_or_insert(now);
        let is_current = |(begin, _): &&mut (Instant, _)| now < *begin + WINDOW / PARTS;
        if self.parts.back_mut().filter(is_current).is_none() {
            self.parts.push_back((now, [0.0; CallClass::COUNT]));
        }
        if let Some((_, sums)) = self.parts.back_mut() {
            sums[class as usize] += cost_ms;
        }
        self.parts.retain(|(begin, _)| now < *begin + WINDOW);
    }

    /// Returns how many hosts the calls of a class and all shorter ones need. `None` before calls have
    /// been counted for long enough.
    pub fn hosts(&self, longest: CallClass, now: Instant) -> Option<usize> {
        self.begin.filter(|begin| now >= *begin + WINDOW)?;
        let recent = self.parts.iter().filter(|(begin, _)| now < *begin + WINDOW);
        let sum_ms: f64 = recent.flat_map(|(_, sums)| &sums[..=longest as usize]).sum();
        let window_ms = WINDOW.as_secs_f64() * 1_000.0;
        Some((sum_ms / window_ms / MAX_UTILIZATION).ceil() as usize)
    }
}
