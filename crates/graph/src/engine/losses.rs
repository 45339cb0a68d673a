//! Ends the runs of hosts that are lost.

use sycamore_types::Name;

use super::Engine;
use crate::host::{Host, RunEnd};
use crate::{Action, HostLoss, LossCause};

impl Engine {
    /// Ends all runs of a host whose incarnation has ended.
    pub(super) fn lose_incarnation(&mut self, name: &Name) {
        let is_draining = self.hosts.get(name).is_some_and(|host| host.entry.is_draining);
        let cause = if is_draining { LossCause::Drained } else { LossCause::Crashed };
        self.lose_runs(name, cause);
    }

    /// Ends all runs of a host.
    pub(super) fn lose_runs(&mut self, name: &Name, cause: LossCause) {
        let Some(host) = self.hosts.get(name) else { return };
        let runs: Vec<_> = host.runs.keys().copied().collect();
        if let Some(loss) = describe_loss(host, cause, self.now.monotonic_ms) {
            self.actions.push(Action::ReportLoss(loss));
        }
        for (task, attempt) in runs {
            self.end_run(name, task, attempt, RunEnd::LeaseExpired, None);
        }
    }
}

/// Returns the loss of a host with its runs. `None` if it has none.
fn describe_loss(host: &Host, cause: LossCause, now_ms: u64) -> Option<HostLoss> {
    let lost_ms = host.unreachable_since_ms.unwrap_or(now_ms);
    let (youngest, run) = host.runs.iter().max_by_key(|(_, run)| run.requested_ms)?;
    Some(HostLoss {
        host: host.entry.id.clone(),
        cause,
        runs: host.runs.len(),
        youngest: *youngest,
        youngest_age_ms: lost_ms.saturating_sub(run.requested_ms),
        silent_ms: now_ms.saturating_sub(lost_ms),
    })
}
