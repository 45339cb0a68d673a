//! Exponential delays between retries. Each delay is random within its upper half, so that
//! the retries of several processes spread out.

use std::time::Duration;

use rand::Rng;

/// Delays between retries, which double from a first to a longest delay.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Backoff {
    first: Duration,
    last: Duration,
    next: Duration,
}

impl Backoff {
    pub fn new(first: Duration, last: Duration) -> Backoff {
        Backoff { first, last, next: first }
    }

    /// Goes back to the first delay, after a success.
    pub fn reset(&mut self) {
        self.next = self.first;
    }

    /// Returns the next delay and doubles the one after it.
    pub fn next_delay(&mut self) -> Duration {
        let delay = rand::rng().random_range(self.next / 2..=self.next);
        self.next = (self.next * 2).min(self.last);
        delay
    }

    /// Sleeps for the next delay and doubles the one after it.
    pub async fn pause(&mut self) {
        tokio::time::sleep(self.next_delay()).await;
    }
}
