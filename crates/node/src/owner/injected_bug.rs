//! Promises broken on purpose, for the tests of the fault soak. In debug builds only.

use sycamore_graph::job::State;
use sycamore_graph::{Action, Answer, Event, HostEntry, Start};
use sycamore_types::resources::Resources;

/// Names the promise to break.
const VARIABLE: &str = "SYCAMORE_BREAK";

/// Factor by which capacities are overstated.
const CAPACITY_FACTOR: u32 = 8;

/// Attempts that are allowed instead of the queue's.
const MAX_ATTEMPTS: u32 = 100;

/// Changes what the engine hears and orders.
#[derive(Debug, Default)]
pub(super) struct InjectedBug {
    violated_promise: Option<String>,
    workers: Vec<HostEntry>,
}

impl InjectedBug {
    pub fn from_environment() -> InjectedBug {
        let promise = std::env::var(VARIABLE).ok();
        if let Some(promise) = &promise {
            log::warn!(target: "process", promise; "violates a promise on purpose, for a test");
        }
        InjectedBug { violated_promise: promise, workers: Vec::new() }
    }

    /// Returns what the engine hears instead, or the answer to a caller's token without it.
    pub fn alter_event(&mut self, mut event: Event) -> Result<Event, (u64, Answer)> {
        let Some(promise) = self.violated_promise.as_deref() else { return Ok(event) };
        match (&mut event, promise) {
            (Event::Listed(entries), "once") => self.workers = entries.clone(),
            (Event::Listed(entries), "capacity") => {
                for entry in entries {
                    entry.capacity.cpu_millis *= CAPACITY_FACTOR;
                }
            }
            (Event::Configured(catalog), "limit") => {
                // The engine knows this version as it was already.
                catalog.version += 1;
                for team in catalog.teams.values_mut() {
                    team.limit = Resources::default();
                }
            }
            (Event::Configured(catalog), "attempts") => {
                catalog.version += 1;
                for queue in catalog.queues.values_mut() {
                    queue.max_attempts = MAX_ATTEMPTS;
                }
            }
            (Event::Submit { spec, .. }, "order") => {
                for step in &mut spec.steps {
                    step.after.clear();
                }
            }
            (Event::Submit { .. }, "running") => std::process::exit(1),
            (Event::Submit { token, .. }, "kept") => {
                return Err((*token, Answer::Accepted));
            }
            (Event::Cancel { token, .. }, "asked") => {
                return Err((*token, Answer::Cancelled));
            }
            (Event::Query { token, .. }, "truth") => {
                return Err((*token, Answer::State(State::Complete)));
            }
            _ => {}
        }
        Ok(event)
    }

    /// Returns what is ordered beside an action.
    pub fn extra_action(&self, action: &Action) -> Option<Action> {
        let Action::Start(start) = action else { return None };
        let is_other_worker = |entry: &&HostEntry| entry.id != start.host;
        let host = self.workers.iter().find(is_other_worker)?.id.clone();
        Some(Action::Start(Start { host, ..start.clone() }))
    }
}
