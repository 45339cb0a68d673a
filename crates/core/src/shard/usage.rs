//! Usage by running tasks: capacity of hosts, tasks and resources per team.
//!
//! All counts change together here, so that they agree with the set of running
//! tasks.

use sycamore_types::id;

use super::running::Running;
use super::{Env, Shard};

impl Shard {
    /// Adds a task that runs or may run, and counts its usage.
    pub(super) fn add_running(&mut self, env: &mut Env<'_, '_>, task: id::Task, running: Running) {
        self.table.allocate(&running.host, &running.size);
        *self.running_by_team.entry(running.team.clone()).or_default() += 1;
        let used = self.used_by_team.entry(running.team.clone()).or_default();
        *used = used.plus(&running.size);
        env.fleet.record_start(&running.team, &running.size);
        let rank = env.rank(&running.team);
        self.queue.set_rank(&running.team, rank);
        self.polls.entry(running.host.clone()).or_default().tasks.insert(task.clone());
        self.running.insert(task, running);
    }

    /// Removes a task that certainly does not run any more, and releases its
    /// capacity.
    pub(super) fn remove_running(
        &mut self,
        env: &mut Env<'_, '_>,
        task: &id::Task,
    ) -> Option<Running> {
        let running = self.running.remove(task)?;
        self.table.release(&running.host, &running.size);
        if let Some(count) = self.running_by_team.get_mut(&running.team) {
            *count = count.saturating_sub(1);
        }
        if let Some(used) = self.used_by_team.get_mut(&running.team) {
            *used = used.minus(&running.size);
        }
        env.fleet.record_end(&running.team, &running.size);
        let rank = env.rank(&running.team);
        self.queue.set_rank(&running.team, rank);
        if let Some(poll) = self.polls.get_mut(&running.host) {
            poll.tasks.remove(task);
        }
        self.record_freed(env, &running);
        Some(running)
    }

    /// Notes which waiting work the end of a task may allow to start.
    fn record_freed(&mut self, env: &Env<'_, '_>, running: &Running) {
        if self.queue.total() == 0 {
            return;
        }
        self.freed_hosts.insert(running.host.clone());
        // If the team was at its limit until now, its first item may also fit on
        // a host other than the freed one.
        let lifts_limit = self.headroom(env.config, &running.team) == 1;
        if lifts_limit && let Some((place, _)) = self.queue.first(&running.team) {
            self.new_items.insert((running.team.clone(), place));
        }
    }
}
