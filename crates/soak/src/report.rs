//! Totals over all rounds of a run, printed as one line of JSON.
//!
//! Some JSON keys differ from the field names, since they are part of the report format.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::checker::Violation;
use crate::round::Outcome;

/// Totals over some rounds.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// Number of rounds.
    #[serde(rename = "seeds")]
    pub rounds: u64,
    /// Number of violations.
    #[serde(rename = "breaches")]
    pub violations: u64,
    /// Number of accepted jobs.
    pub jobs: u64,
    /// Number of runs that workers started.
    pub starts: u64,
    /// Number of injected faults by kind.
    pub faults: BTreeMap<&'static str, u64>,
    /// The first violation of the round with the lowest seed; rounds finish in any order.
    #[serde(rename = "first_breach")]
    pub first_violation: Option<FirstViolation>,
}

/// A violation and the round in which it was seen.
#[derive(Clone, Debug, Serialize)]
pub struct FirstViolation {
    /// Seed that repeats the round.
    pub seed: u64,
    /// The violation. Its fields are written out, not the name of this one.
    #[serde(flatten)]
    pub breach: Violation,
}

impl Report {
    /// Adds the outcome of a round.
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
                Some(FirstViolation { seed: outcome.seed, breach: violation.clone() });
        }
    }
}
