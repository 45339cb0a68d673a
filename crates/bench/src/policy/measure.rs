//! Measures one run of a policy and computes its score.
//!
//! Packing and shares are sampled only while the cluster is full: otherwise a
//! lack of work, and not the policy, decides how much is in use.

use std::time::Duration;

use sycamore_types::resources::{Dimension, Resources};

use super::simulation::Simulation;
use super::workload::{Class, Workload};
use super::{Score, Waits};

/// Number of waiting tasks per worker above which the cluster counts as full.
const FULL_WAITING_PER_WORKER: f64 = 0.5;

/// Number of waiting tasks above which a team counts as having a backlog.
const MAX_TASKS_WITHOUT_BACKLOG: u32 = 8;

/// Collects samples of a run and computes its score.
pub(super) struct Meter<'a> {
    workload: &'a Workload,
    /// Total capacity of all hosts.
    capacity: Resources,
    /// Samples of the fraction in use of the resource that is used most.
    packing: Vec<f64>,
    /// Samples of the free cores on the host with the most.
    largest_free_cores: Vec<f64>,
    /// Samples of the largest difference between a team's share and its entitlement.
    largest_share_errors: Vec<f64>,
    /// Samples of the mean of these differences.
    mean_share_errors: Vec<f64>,
}

impl<'a> Meter<'a> {
    pub(super) fn new(workload: &'a Workload) -> Meter<'a> {
        let hosts = workload.hosts.iter();
        let capacity = hosts.fold(Resources::default(), |sum, host| sum.plus(&host.capacity));
        Meter {
            workload,
            capacity,
            packing: Vec::new(),
            largest_free_cores: Vec::new(),
            largest_share_errors: Vec::new(),
            mean_share_errors: Vec::new(),
        }
    }

    /// Takes a sample if the cluster is full. `at` is the time since the start of the
    /// run. No samples are taken after the horizon, when no more jobs arrive.
    pub(super) fn sample(&mut self, at: Duration, simulation: &mut impl Simulation) {
        let is_full = f64::from(simulation.waiting_count())
            > FULL_WAITING_PER_WORKER * self.workload.hosts.len() as f64;
        if !is_full || at > self.workload.horizon {
            return;
        }
        let used = simulation.used_total();
        self.packing.push(self.max_utilization(&used));
        self.largest_free_cores.push(f64::from(simulation.largest_free_cpu_millis()) / 1e3);
        self.sample_shares(simulation);
    }

    /// Returns the fraction in use of the resource that is used most.
    fn max_utilization(&self, used: &Resources) -> f64 {
        let part = |dimension: Dimension| {
            f64::from(dimension.of(used)) / f64::from(dimension.of(&self.capacity).max(1))
        };
        Dimension::SHARED.into_iter().map(part).fold(0.0, f64::max)
    }

    /// Compares the shares of the teams with a backlog with their entitlements.
    ///
    /// A team without a backlog has all that it wants. What the other teams use
    /// together should be divided among them by weight.
    fn sample_shares(&mut self, simulation: &impl Simulation) {
        let teams = self.workload.config.teams.iter();
        let backlogged: Vec<(f64, f64)> = teams
            .filter(|(name, _)| simulation.team_waiting_count(name) > MAX_TASKS_WITHOUT_BACKLOG)
            .map(|(name, team)| {
                let used = simulation.used_by_team().get(name).copied().unwrap_or_default();
                (used.dominant_share(&self.capacity), f64::from(team.weight))
            })
            .collect();
        let total_share: f64 = backlogged.iter().map(|(share, _)| share).sum();
        let total_weight: f64 = backlogged.iter().map(|(_, weight)| weight).sum();
        if backlogged.len() < 2 || total_share <= 0.0 {
            return;
        }
        let error =
            |(share, weight): &(f64, f64)| (share / total_share - weight / total_weight).abs();
        let errors: Vec<f64> = backlogged.iter().map(error).collect();
        self.largest_share_errors.push(errors.iter().copied().fold(0.0, f64::max));
        self.mean_share_errors.push(mean(&errors));
    }

    /// Computes the score. `origin` is the virtual time of the start of the run.
    pub(super) fn score(
        &self,
        scenario: &'static str,
        policy: &'static str,
        origin: Duration,
        simulation: &impl Simulation,
    ) -> Score {
        let waits = Class::ALL.into_iter().map(|class| self.waits(class, origin, simulation));
        let arrivals = &self.workload.arrivals;
        let core_seconds: f64 = arrivals
            .iter()
            .map(|arrival| {
                let cores = f64::from(arrival.size.cpu_millis) / 1e3;
                cores * f64::from(arrival.tasks) * arrival.run_time.as_secs_f64()
            })
            .sum();
        Score {
            scenario,
            policy,
            waits: waits.collect(),
            packing: mean(&self.packing),
            largest_fit_cores: mean(&self.largest_free_cores),
            share_error_largest: mean(&self.largest_share_errors),
            share_error_mean: mean(&self.mean_share_errors),
            wasted_ratio: simulation.wasted_core_seconds() / core_seconds,
            started: arrivals.iter().map(|a| simulation.start_times(a.number).len() as u64).sum(),
        }
    }

    /// Returns the waiting times of a class. A task that was stopped and started
    /// again counts with its first start. A task that was never started counts as
    /// waiting until the end of the run.
    fn waits(&self, class: Class, origin: Duration, simulation: &impl Simulation) -> Waits {
        let mut waits = Vec::new();
        let end = self.workload.horizon + self.workload.drain;
        for arrival in self.workload.arrivals.iter().filter(|arrival| arrival.class == class) {
            let start_times = simulation.start_times(arrival.number);
            for task in 0..arrival.tasks as usize {
                let started = start_times.get(task).map_or(end, |at| *at - origin);
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
