use std::time::Duration;

use sycamore_types::resources::{Dimension, Resources};

use super::engine::Engine;
use super::workload::{Class, Workload};
use super::{Score, Waits};

/// Waiting tasks per worker from which on everything counts as full.
const FULL: f64 = 0.5;

/// Waiting tasks from which on a team counts as having a backlog.
const BACKLOG: u32 = 8;

/// Collects what the score is made of.
pub(super) struct Meter<'a> {
    workload: &'a Workload,
    capacity: Resources,
    packing: Vec<f64>,
    holes: Vec<f64>,
    largest_errors: Vec<f64>,
    mean_errors: Vec<f64>,
}

impl<'a> Meter<'a> {
    pub(super) fn new(workload: &'a Workload) -> Meter<'a> {
        let hosts = workload.hosts.iter();
        let capacity = hosts.fold(Resources::default(), |sum, host| sum.plus(&host.capacity));
        Meter {
            workload,
            capacity,
            packing: Vec::new(),
            holes: Vec::new(),
            largest_errors: Vec::new(),
            mean_errors: Vec::new(),
        }
    }

    /// Takes a sample while everything is full.
    pub(super) fn sample(&mut self, at: Duration, engine: &mut impl Engine) {
        let is_full = f64::from(engine.waiting()) > FULL * self.workload.hosts.len() as f64;
        if !is_full || at > self.workload.horizon {
            return;
        }
        let used = engine.used_total();
        self.packing.push(self.scarcest(&used));
        self.holes.push(f64::from(engine.largest_hole()) / 1e3);
        self.sample_shares(engine);
    }

    fn scarcest(&self, used: &Resources) -> f64 {
        let part = |dimension: Dimension| {
            f64::from(dimension.of(used)) / f64::from(dimension.of(&self.capacity).max(1))
        };
        Dimension::SHARED.into_iter().map(part).fold(0.0, f64::max)
    }

    /// Compares the shares of the teams that have work waiting.
    ///
    /// A team without a backlog has all that it wants; what the others hold
    /// together is theirs by weight.
    fn sample_shares(&mut self, engine: &impl Engine) {
        let teams = self.workload.config.teams.iter();
        let backlogged: Vec<(f64, f64)> = teams
            .filter(|(name, _)| engine.waiting_of(name) > BACKLOG)
            .map(|(name, team)| {
                let used = engine.used().get(name).copied().unwrap_or_default();
                (used.dominant_share(&self.capacity), f64::from(team.weight))
            })
            .collect();
        let held: f64 = backlogged.iter().map(|(share, _)| share).sum();
        let weights: f64 = backlogged.iter().map(|(_, weight)| weight).sum();
        if backlogged.len() < 2 || held <= 0.0 {
            return;
        }
        let error = |(share, weight): &(f64, f64)| (share / held - weight / weights).abs();
        let errors: Vec<f64> = backlogged.iter().map(error).collect();
        self.largest_errors.push(errors.iter().copied().fold(0.0, f64::max));
        self.mean_errors.push(mean(&errors));
    }

    pub(super) fn score(
        &self,
        site: &'static str,
        policy: &'static str,
        origin: Duration,
        engine: &impl Engine,
    ) -> Score {
        let waits = Class::ALL.into_iter().map(|class| self.waits(class, origin, engine));
        let arrivals = &self.workload.arrivals;
        let core_seconds: f64 = arrivals
            .iter()
            .map(|arrival| {
                let cores = f64::from(arrival.size.cpu_millis) / 1e3;
                cores * f64::from(arrival.tasks) * arrival.run.as_secs_f64()
            })
            .sum();
        Score {
            site,
            policy,
            waits: waits.collect(),
            packing: mean(&self.packing),
            largest_fit_cores: mean(&self.holes),
            share_error_largest: mean(&self.largest_errors),
            share_error_mean: mean(&self.mean_errors),
            thrown_away: engine.thrown_away() / core_seconds,
            started: arrivals.iter().map(|a| engine.starts(a.number).len() as u64).sum(),
        }
    }

    /// Returns the waiting times of a class. A task that was started again
    /// after it was stopped counts with its first start; one that was never
    /// started counts as waiting until the end.
    fn waits(&self, class: Class, origin: Duration, engine: &impl Engine) -> Waits {
        let mut waits = Vec::new();
        let end = self.workload.horizon + self.workload.drain;
        for arrival in self.workload.arrivals.iter().filter(|arrival| arrival.class == class) {
            let starts = engine.starts(arrival.number);
            for task in 0..arrival.tasks as usize {
                let started = starts.get(task).map_or(end, |at| *at - origin);
                waits.push(started.saturating_sub(arrival.at).as_secs_f64());
            }
        }
        waits.sort_by(f64::total_cmp);
        let quantile = |q: f64| {
            let at = (waits.len() as f64 * q) as usize;
            waits.get(at.min(waits.len().saturating_sub(1))).copied().unwrap_or(0.0)
        };
        Waits {
            class: class.name(),
            count: waits.len(),
            p50: quantile(0.5),
            p99: quantile(0.99),
            max: quantile(1.0),
        }
    }
}

fn mean(values: &[f64]) -> f64 {
    if values.is_empty() { 0.0 } else { values.iter().sum::<f64>() / values.len() as f64 }
}
