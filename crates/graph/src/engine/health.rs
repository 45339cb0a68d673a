//! Judges workers by the progress of what they run.
//!
//! A worker may answer looks and run nothing: its tasks stand still. One task alone may
//! be waiting for something; when nothing on the worker moves, it is the worker.

use sycamore_types::Name;

use super::Engine;
use crate::Task;
use crate::host::Host;

/// Time without progress after which a run is taken for stalled, in milliseconds. Looks
/// are up to a second apart, and resuming from a checkpoint takes 0.6 s by the platform's
/// documentation.
const STALL_MS: u64 = 1_800;

/// Part of a run's declared time without progress that is no stall, in thousandths:
/// progress comes in whole percents.
const STEP_PER_MILLE: u64 = 30;

/// Time without new work for a worker on which nothing moves, in milliseconds.
const SUSPECT_MS: u64 = 3_000;

impl Engine {
    /// Moves work away from workers on which nothing moves.
    pub(super) fn judge_hosts(&mut self) {
        let hung: Vec<Name> = self
            .hosts
            .values()
            .filter(|host| is_hung(host))
            .map(|host| host.entry.id.clone())
            .collect();
        for name in hung {
            self.abandon(&name);
        }
    }

    fn abandon(&mut self, name: &Name) {
        let until_ms = self.now.steady_ms + SUSPECT_MS;
        let Some(host) = self.hosts.get_mut(name) else { return };
        host.quarantined_until_ms = host.quarantined_until_ms.max(until_ms);
        let runs: Vec<(Task, u32)> = host.runs.keys().copied().collect();
        for (task, attempt) in runs {
            self.stop(name, task, attempt);
        }
    }
}

fn is_hung(host: &Host) -> bool {
    let mut judged = host.runs.values().filter(|run| run.shows_progress()).peekable();
    host.is_held
        && host.missed == 0
        && judged.peek().is_some()
        && judged.all(|run| {
            let patience_ms = STALL_MS.max(run.estimate_ms * STEP_PER_MILLE / 1_000);
            host.answered_ms >= run.progress_ms + patience_ms
        })
}
