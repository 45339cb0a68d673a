//! Detects stalled hosts by the progress of their runs.
//!
//! A host may answer polls while its runs make no progress. A single stalled run may be
//! waiting for something of its own; if no run on the host progresses, the host is at
//! fault.

use sycamore_types::Name;

use super::Engine;
use crate::TaskId;
use crate::host::Host;

/// Time without progress after which a run counts as stalled, in milliseconds. Polls are up
/// to a second apart, and resuming from a checkpoint takes 0.6 s by the platform's
/// documentation.
const STALL_MS: u64 = 1_800;

/// Fraction of a run's declared run time that it may go without progress, in thousandths.
/// Progress is reported in whole percents, so that a healthy run shows none in between.
const STALL_SHARE_PER_MILLE: u64 = 30;

/// Time for which a host under suspicion gets no new work, in milliseconds.
const SUSPECT_QUARANTINE_MS: u64 = 3_000;

/// Time within which a gang has to show progress, in milliseconds. The platform ends
/// members that wait longer than its own limit, 3 s on the documented sites, and reports
/// them as `alone`.
const GANG_START_TIMEOUT_MS: u64 = 2_000;

/// Declared run time from which a gang may show no progress within
/// [`GANG_START_TIMEOUT_MS`] although it runs, in milliseconds: one percent of it may take
/// longer on a slow host.
const LONG_TASK_MS: u64 = 30_000;

impl Engine {
    /// Stops gangs that made no progress although their hosts accepted all start requests.
    pub(super) fn stop_unstarted_gangs(&mut self) {
        let mut idle = Vec::new();
        for host in self.hosts.values().filter(|host| host.missed_polls == 0) {
            for ((task, attempt), run) in &host.runs {
                let has_waited = host.reported_ms >= run.last_progress_ms + GANG_START_TIMEOUT_MS;
                let is_idle = run.should_progress() && run.percent == 0 && has_waited;
                if is_idle && run.estimate_ms < LONG_TASK_MS && self.is_gang(task.step) {
                    idle.push((host.entry.id.clone(), *task, *attempt));
                }
            }
        }
        for (name, task, attempt) in idle {
            // The next attempt should use other hosts.
            if let Some(host) = self.hosts.get_mut(&name) {
                let until_ms = self.now.monotonic_ms + SUSPECT_QUARANTINE_MS;
                host.quarantined_until_ms = host.quarantined_until_ms.max(until_ms);
            }
            self.stop_run(&name, task, attempt);
            self.stop_gang(task, attempt);
        }
    }

    /// Stops the runs of hosts on which none progresses, so that their tasks are placed
    /// elsewhere.
    pub(super) fn evacuate_stalled_hosts(&mut self) {
        let stalled: Vec<Name> = self
            .hosts
            .values()
            .filter(|host| is_stalled(host))
            .map(|host| host.entry.id.clone())
            .collect();
        for name in stalled {
            self.evacuate(&name);
        }
    }

    fn evacuate(&mut self, name: &Name) {
        let until_ms = self.now.monotonic_ms + SUSPECT_QUARANTINE_MS;
        let Some(host) = self.hosts.get_mut(name) else { return };
        host.quarantined_until_ms = host.quarantined_until_ms.max(until_ms);
        // Services report no progress and may be healthy beside a stalled task.
        let moved = host.runs.iter().filter(|(_, run)| !run.is_service);
        let runs: Vec<(TaskId, u32)> = moved.map(|(key, _)| *key).collect();
        for (task, attempt) in runs {
            self.stop_run(name, task, attempt);
        }
    }
}

fn is_stalled(host: &Host) -> bool {
    let mut runs = host.runs.values().filter(|run| run.should_progress()).peekable();
    host.has_reported
        && host.missed_polls == 0
        && runs.peek().is_some()
        && runs.all(|run| {
            let timeout_ms = STALL_MS.max(run.estimate_ms * STALL_SHARE_PER_MILLE / 1_000);
            host.reported_ms >= run.last_progress_ms + timeout_ms
        })
}
