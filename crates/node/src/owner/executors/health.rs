//! Judges an executor by the time that its batches take, and gives slow ones less work.

use std::time::{Duration, Instant};

/// Weight of an executor without complaints.
pub(crate) const FULL_WEIGHT: u8 = 4;

/// Time to a receipt up to which an executor is never slow: a fifth of the timeout of a start.
const MIN_SLOW: Duration = Duration::from_millis(100);

/// Multiple of the median time of all executors from which one is slow. If all are slow, it is the
/// owner that is late, and less work for some executors would not help.
const SLOW_FACTOR: u32 = 3;

/// Late receipts in a row after which an executor gets half of its work. A single one may be due
/// to a burst.
const MAX_LATE_RECEIPTS: u32 = 2;

/// Time without late receipts after which an executor gets twice its work.
const RECOVERY_TIME: Duration = Duration::from_secs(5);

/// Time for which an executor gets no work after its first failure.
const MIN_EXCLUSION: Duration = Duration::from_secs(2);

/// Longest time for which an executor gets no work. The time doubles with each failure that
/// follows within it.
const MAX_EXCLUSION: Duration = Duration::from_secs(60);

/// Time for which a stopping peer gets no work. It exceeds the 2.3 s for which it keeps serving, and
/// the time in which it is started again.
const LEAVING_EXCLUSION: Duration = Duration::from_secs(10);

/// What the owner has seen of an executor.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Observation {
    /// The receipt of a batch came after this time.
    Receipt(Duration),
    /// The session failed, or a receipt was overdue.
    Failed,
    /// The peer says that it is stopping.
    Leaving,
}

/// Health of one executor.
#[derive(Debug)]
pub(crate) struct Health {
    weight: u8,
    late_receipts: u32,
    /// Start of the time without late receipts.
    good_since: Instant,
    excluded_until: Option<Instant>,
    /// Length of the last exclusion.
    exclusion: Duration,
}

impl Health {
    pub fn new(now: Instant) -> Health {
        Health {
            weight: FULL_WEIGHT,
            late_receipts: 0,
            good_since: now,
            excluded_until: None,
            exclusion: Duration::ZERO,
        }
    }

    /// Returns the share of the work relative to other executors, zero while it is excluded.
    pub fn weight(&self, now: Instant) -> u8 {
        if self.is_excluded(now) { 0 } else { self.weight }
    }

    pub fn is_excluded(&self, now: Instant) -> bool {
        self.excluded_until.is_some_and(|until| now < until)
    }

    /// Takes an observation. `slow` is the time from which a receipt is late.
    pub fn observe(&mut self, now: Instant, observation: Observation, slow: Duration) {
        match observation {
            Observation::Receipt(time) if time >= slow => self.on_late_receipt(now),
            Observation::Receipt(_) => self.on_receipt(now),
            Observation::Failed => self.exclude(now),
            Observation::Leaving => self.excluded_until = Some(now + LEAVING_EXCLUSION),
        }
    }

    fn on_late_receipt(&mut self, now: Instant) {
        self.good_since = now;
        self.late_receipts += 1;
        if self.late_receipts < MAX_LATE_RECEIPTS {
            return;
        }
        self.late_receipts = 0;
        if self.weight > 1 {
            self.weight /= 2;
        } else {
            self.exclude(now);
        }
    }

    fn on_receipt(&mut self, now: Instant) {
        self.late_receipts = 0;
        if self.weight < FULL_WEIGHT && now.duration_since(self.good_since) >= RECOVERY_TIME {
            self.weight *= 2;
            self.good_since = now;
        }
    }

    fn exclude(&mut self, now: Instant) {
        let is_repeated = self.excluded_until.is_some_and(|until| now < until + self.exclusion);
        self.exclusion =
            if is_repeated { (2 * self.exclusion).min(MAX_EXCLUSION) } else { MIN_EXCLUSION };
        self.excluded_until = Some(now + self.exclusion);
        self.weight = 1;
        self.late_receipts = 0;
        self.good_since = now + self.exclusion;
    }
}

/// Returns the time from which a receipt is late, by the last receipts of all executors.
pub(crate) fn slow_time(mut receipts: Vec<Duration>) -> Duration {
    receipts.sort();
    // The lower median, so that of two executors the slower one is not its own measure.
    let median = match receipts.len() {
        0 | 1 => Duration::ZERO,
        count => receipts[(count - 1) / 2],
    };
    (SLOW_FACTOR * median).max(MIN_SLOW)
}
