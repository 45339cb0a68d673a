use std::time::Duration;

use rand::Rng;

/// Pauses between tries that grow from one bound to the other.
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

    /// Begins again with the first pause.
    pub fn reset(&mut self) {
        self.next = self.first;
    }

    /// Waits, and doubles the next pause. The pauses of several processes spread.
    pub async fn pause(&mut self) {
        let pause = rand::rng().random_range(self.next / 2..=self.next);
        self.next = (self.next * 2).min(self.last);
        tokio::time::sleep(pause).await;
    }
}
