//! Use of the teams in the past, which shifts the order between them over hours.
//!
//! The use of a team is its dominant share, summed over time and decayed with a half-life. Among
//! steps of one priority class that are late, or whose teams are over their share, those of teams
//! that have used more than their weight entitles them to come last. Work that can be in time
//! within its team's share is served by need, and while there is room for everybody nothing
//! changes. A team that has used less gets no credit, so that a team can't save up idle time and
//! then take everything.

use std::collections::BTreeMap;

use sycamore_types::Name;
use sycamore_types::resources::Resources;

use super::Engine;
use crate::{Action, Record, TeamUse};

/// Interval at which use is added up, in milliseconds.
const UPDATE_INTERVAL_MS: u64 = 1_000;

/// Interval of the records in the log, in milliseconds. A successor loses that much at most.
const RECORD_INTERVAL_MS: u64 = 10_000;

/// Least factor. Teams that have used more than twice what they are entitled to are alike.
const MIN_FACTOR: f64 = 0.5;

/// Use by weight that is assumed to precede all use, in seconds of the whole capacity. Bursts
/// shorter than a minute are left to the shares of the moment.
const PRIOR_USE_S: f64 = 60.0;

/// Difference of the factor that makes a level. Teams closer than that are served by slack.
const LEVEL: f64 = 0.05;

/// Part of the use of all below which a team that is no longer configured is forgotten.
const FORGET_BELOW: f64 = 0.01;

/// Decayed use of each team, in seconds of the whole capacity.
#[derive(Debug, Default)]
pub(super) struct PastUse {
    /// Time after which use counts half, in milliseconds. Zero turns the whole off.
    half_life_ms: u64,
    teams: BTreeMap<Name, f64>,
    updated_ms: u64,
    recorded_ms: u64,
}

impl PastUse {
    /// Continues from what the log says. The elapsed time is a difference of wall clocks of two
    /// hosts: one that is negative counts as zero, and one that is longer as one half-life, so
    /// that no clock can multiply or erase use.
    pub fn new(
        now_ms: u64,
        now_unix_ms: u64,
        half_life_ms: u64,
        logged: Option<TeamUse>,
    ) -> PastUse {
        let mut past = PastUse {
            half_life_ms,
            teams: BTreeMap::new(),
            updated_ms: now_ms,
            recorded_ms: now_ms,
        };
        if let Some(logged) = logged.filter(|_| half_life_ms > 0) {
            let elapsed_ms = now_unix_ms.saturating_sub(logged.at_unix_ms).min(half_life_ms);
            let sound = |(_, used): &(Name, f64)| used.is_finite() && *used > 0.0;
            past.teams = logged.teams.into_iter().filter(sound).collect();
            past.decay(elapsed_ms);
        }
        past
    }

    fn decay(&mut self, elapsed_ms: u64) {
        let kept = 0.5_f64.powf(elapsed_ms as f64 / self.half_life_ms as f64);
        self.teams.values_mut().for_each(|used| *used *= kept);
    }

    /// Adds the shares that the teams have now to their use.
    fn add(&mut self, now_ms: u64, shares: impl Iterator<Item = (Name, f64)>) {
        let elapsed_ms = now_ms.saturating_sub(self.updated_ms);
        self.updated_ms = now_ms;
        self.decay(elapsed_ms);
        for (team, share) in shares.filter(|(_, share)| *share > 0.0) {
            *self.teams.entry(team).or_default() += share * elapsed_ms as f64 / 1_000.0;
        }
    }

    /// Forgets teams that are not configured and whose use has decayed.
    fn forget(&mut self, is_configured: impl Fn(&Name) -> bool) {
        let least = FORGET_BELOW * self.total();
        self.teams.retain(|team, used| is_configured(team) || *used >= least);
    }

    fn total(&self) -> f64 {
        self.teams.values().sum()
    }

    /// Returns what a team is entitled to as a part of what it has used, from 0.5 to 1. `entitled` is the team's part of all
    /// weights.
    pub fn factor(&self, team: &str, entitled: f64) -> f64 {
        if self.half_life_ms == 0 || entitled <= 0.0 {
            return 1.0;
        }
        let used = self.teams.get(team).copied().unwrap_or(0.0);
        let part = (used + entitled * PRIOR_USE_S) / (self.total() + PRIOR_USE_S);
        (entitled / part).clamp(MIN_FACTOR, 1.0)
    }

    /// Returns how much more a team has used than it is entitled to, from 0 to 10: the steps in
    /// which the factor falls from 1 to 0.5.
    pub fn level(&self, team: &str, entitled: f64) -> u8 {
        ((1.0 - self.factor(team, entitled)) / LEVEL).round() as u8
    }

    /// Returns the factor that a decision record names. `None` where past use plays no part.
    pub fn recorded_factor(&self, team: &str, entitled: f64) -> Option<f64> {
        (self.half_life_ms > 0).then(|| self.factor(team, entitled))
    }
}

impl Engine {
    /// Adds up the use of the teams, and records it in the log, each at its interval.
    pub(super) fn update_past_use(&mut self) {
        let now_ms = self.now.monotonic_ms;
        let past = &self.past_use;
        if past.half_life_ms == 0 || now_ms < past.updated_ms + UPDATE_INTERVAL_MS {
            return;
        }
        let capacity = self.listed_capacity();
        // Without a list of hosts there is no capacity to take a share of.
        if capacity == Resources::default() {
            self.past_use.updated_ms = now_ms;
            return;
        }
        let shares: Vec<(Name, f64)> = self
            .team_usage
            .iter()
            .map(|(team, usage)| (team.clone(), usage.dominant_share(&capacity)))
            .collect();
        self.past_use.add(now_ms, shares.into_iter());
        self.past_use.forget(|team| self.catalog.teams.contains_key(team));
        if now_ms >= self.past_use.recorded_ms + RECORD_INTERVAL_MS {
            self.past_use.recorded_ms = now_ms;
            if let Some(record) = self.team_use_record() {
                self.append(record);
            }
            let rows = self.past_use.teams.iter();
            let rows = rows.map(|(team, used)| {
                (team.clone(), *used, self.past_use.factor(team, self.entitlement(team)))
            });
            let rows = rows.collect();
            self.actions.push(Action::ReportTeamUse(rows));
        }
    }

    /// Returns the record that replaces all earlier ones of the teams' use, if there is any use.
    pub fn team_use_record(&self) -> Option<Record> {
        let teams: Vec<(Name, f64)> =
            self.past_use.teams.iter().map(|(team, used)| (team.clone(), *used)).collect();
        let at_unix_ms = self.now.unix_ms;
        (!teams.is_empty()).then_some(Record::TeamUse(TeamUse { at_unix_ms, teams }))
    }

    /// Returns a team's part of the weights of all teams.
    pub(super) fn entitlement(&self, team: &str) -> f64 {
        let total: u64 = self.catalog.teams.values().map(|team| u64::from(team.weight)).sum();
        let weight = self.catalog.teams.get(team).map_or(0, |team| team.weight);
        f64::from(weight) / total.max(1) as f64
    }
}
