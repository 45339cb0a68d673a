//! Bugs injected on purpose, with which tests check that the fault soak detects each
//! violated invariant. In debug builds only.
//!
//! An invariant is a property of the cluster that the soak checks, such as `once`: no task
//! runs twice at a time. The names are those that the soak's tests set.

use sycamore_graph::job::State;
use sycamore_graph::{Action, Answer, Event, HostEntry, Start};
use sycamore_types::resources::Resources;

/// Environment variable that names the invariant to violate.
const VARIABLE: &str = "SYCAMORE_BREAK";

/// Factor by which the CPU capacity of workers is overstated.
const CAPACITY_FACTOR: u32 = 8;

/// Replaces each queue's limit of attempts.
const MAX_ATTEMPTS: u32 = 100;

/// Alters the engine's events and adds to its actions, so that one invariant is violated.
#[derive(Debug, Default)]
pub(super) struct InjectedBug {
    violated_invariant: Option<String>,
    /// Workers for second starts of a task. Empty unless the invariant is `once`.
    workers: Vec<HostEntry>,
}

impl InjectedBug {
    pub fn from_environment() -> InjectedBug {
        let invariant = std::env::var(VARIABLE).ok();
        if let Some(invariant) = &invariant {
            log::warn!(target: "process", promise = invariant; "violates an invariant on purpose, for a test");
        }
        InjectedBug { violated_invariant: invariant, workers: Vec::new() }
    }

    /// Returns the event to handle instead of `event`.
    ///
    /// # Errors
    ///
    /// Returns a caller's token and a false answer when the engine must not see the event.
    pub fn alter_event(&mut self, mut event: Event) -> Result<Event, (u64, Answer)> {
        let Some(invariant) = self.violated_invariant.as_deref() else { return Ok(event) };
        match (&mut event, invariant) {
            (Event::Listed(entries), "once") => self.workers = entries.clone(),
            (Event::Listed(entries), "capacity") => {
                for entry in entries {
                    entry.capacity.cpu_millis *= CAPACITY_FACTOR;
                }
            }
            (Event::Configured(catalog), "limit") => {
                // The engine already has this version, and ignores what is not newer.
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

    /// Returns a second start of the same task on another worker, to violate `once`.
    pub fn extra_action(&self, action: &Action) -> Option<Action> {
        let Action::Start(start) = action else { return None };
        let is_other_worker = |entry: &&HostEntry| entry.id != start.host;
        let host = self.workers.iter().find(is_other_worker)?.id.clone();
        Some(Action::Start(Start { host, ..start.clone() }))
    }
}
