use std::collections::BTreeMap;

use serde::Serialize;

use crate::checker::Violation;
use crate::round::Outcome;

/// Sum of some rounds.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// Rounds.
    #[serde(rename = "seeds")]
    pub rounds: u64,
    /// Broken promises.
    #[serde(rename = "breaches")]
    pub violations: u64,
    /// Jobs that were accepted.
    pub jobs: u64,
    /// Starts that workers saw.
    pub starts: u64,
    /// Faults by kind.
    pub faults: BTreeMap<&'static str, u64>,
    /// The first broken promise, by seed.
    #[serde(rename = "first_breach")]
    pub first_violation: Option<FirstViolation>,
}

/// A broken promise and the round it was seen in.
#[derive(Clone, Debug, Serialize)]
pub struct FirstViolation {
    /// Seed that repeats the round.
    pub seed: u64,
    /// The promise.
    #[serde(flatten)]
    pub violation: Violation,
}

impl Report {
    /// Adds a round.
    pub fn add(&mut self, outcome: &Outcome) {
        self.rounds += 1;
        self.violations += outcome.violations.len() as u64;
        self.jobs += outcome.jobs;
        self.starts += outcome.starts;
        for (kind, count) in &outcome.faults {
            *self.faults.entry(kind).or_default() += count;
        }
        let is_earlier =
            self.first_violation.as_ref().is_none_or(|first| outcome.seed < first.seed);
        if let Some(violation) = outcome.violations.first()
            && is_earlier
        {
            self.first_violation =
                Some(FirstViolation { seed: outcome.seed, violation: violation.clone() });
        }
    }
}
