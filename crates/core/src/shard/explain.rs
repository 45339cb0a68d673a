//! The explanation of why a job waits, which is part of its status.
//!
//! It names the job's place in the queue, the share of its team and the first
//! reason that keeps it from starting.

use super::job::Job;
use super::{Env, Phase, Shard};

impl Shard {
    /// Returns a text for users on why a job waits, empty if it does not.
    pub(super) fn explain(&self, env: &Env<'_, '_>, job: &Job) -> String {
        if job.waiting.is_empty() {
            return String::new();
        }
        let mut parts = vec![self.explain_place(job), self.explain_share(env, job)];
        parts.push(self.explain_wait_reason(env, job));
        parts.retain(|part| !part.is_empty());
        parts.join("; ")
    }

    fn explain_place(&self, job: &Job) -> String {
        let Some(place) = job.place else {
            return "not queued yet".to_string();
        };
        let team = &job.submission.team;
        let lane = self.queue.lane(job.class());
        let before = lane.items(team).take_while(|(other, _)| **other < place).count();
        format!("number {} in the queue of team {team}", before + 1)
    }

    fn explain_share(&self, env: &Env<'_, '_>, job: &Job) -> String {
        let team = &job.submission.team;
        let weight = f64::from(env.weight(team));
        let weights: u32 = env.config.teams.values().map(|team| team.weight).sum();
        let promised = 100.0 * weight / f64::from(weights.max(1));
        let used = 100.0 * env.fleet.share(team, env.weight(team)) * weight;
        format!("team at {used:.0}% of the fleet, its share when all is full is {promised:.0}%")
    }

    fn explain_wait_reason(&self, env: &Env<'_, '_>, job: &Job) -> String {
        let spec = &job.submission.spec;
        let team = &job.submission.team;
        if self.phase != Phase::Active {
            return "the shard is changing its owner".to_string();
        }
        if let Some(reason) = self.table.never_fits(&spec.size, &spec.selector) {
            return reason.to_string();
        }
        if self.headroom(env.config, team) == 0 {
            return format!(
                "team runs {} tasks here, all that its limit allows",
                self.running_count(team)
            );
        }
        let needed = if job.is_gang() { job.waiting.len() } else { 1 };
        let allowed = self.headroom(env.config, team);
        if usize::try_from(allowed).is_ok_and(|allowed| allowed < needed) {
            return format!("needs {needed} starts at once, the limit allows {allowed} here");
        }
        if env.now() < job.not_before {
            return "waits before the next attempt, since earlier ones failed".to_string();
        }
        self.explain_missing_resource(job)
    }

    /// Returns which resource is missing on the host that comes closest to fitting
    /// one task.
    fn explain_missing_resource(&self, job: &Job) -> String {
        let spec = &job.submission.spec;
        let hosts = self.table.hosts().iter();
        let schedulable = hosts.filter(|host| host.is_reachable && !host.is_unschedulable);
        let matching = schedulable.filter(|host| spec.selector.matches(&host.labels));
        let closest = matching
            .filter_map(|host| spec.size.first_lacking(&host.free()).map(|lacks| (lacks, host)))
            .min_by_key(|(lacks, host)| {
                lacks.of(&spec.size).saturating_sub(lacks.of(&host.free()))
            });
        match closest {
            None if job.is_gang() => "no set of hosts has room for all tasks at once".to_string(),
            None => String::new(),
            Some((lacks, host)) => {
                let missing = lacks.of(&spec.size) - lacks.of(&host.free());
                format!("the closest host, {}, lacks {missing} {lacks}", host.name())
            }
        }
    }
}
