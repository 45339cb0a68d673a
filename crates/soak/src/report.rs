use std::collections::BTreeMap;

use serde::Serialize;

use crate::checker::Breach;
use crate::round::Outcome;

/// Sum of some rounds.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// Rounds.
    pub seeds: u64,
    /// Broken promises.
    pub breaches: u64,
    /// Jobs that were accepted.
    pub jobs: u64,
    /// Starts that workers saw.
    pub starts: u64,
    /// Faults by kind.
    pub faults: BTreeMap<&'static str, u64>,
    /// The first broken promise, by seed.
    pub first_breach: Option<First>,
}

/// A broken promise and the round it was seen in.
#[derive(Clone, Debug, Serialize)]
pub struct First {
    /// Seed that repeats the round.
    pub seed: u64,
    /// The promise.
    #[serde(flatten)]
    pub breach: Breach,
}

impl Report {
    /// Adds a round.
    pub fn add(&mut self, outcome: &Outcome) {
        self.seeds += 1;
        self.breaches += outcome.breaches.len() as u64;
        self.jobs += outcome.jobs;
        self.starts += outcome.starts;
        for (kind, count) in &outcome.faults {
            *self.faults.entry(kind).or_default() += count;
        }
        let is_earlier = self.first_breach.as_ref().is_none_or(|first| outcome.seed < first.seed);
        if let Some(breach) = outcome.breaches.first()
            && is_earlier
        {
            self.first_breach = Some(First { seed: outcome.seed, breach: breach.clone() });
        }
    }
}
