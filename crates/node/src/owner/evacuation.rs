//! Passes the evacuated failure domains to the engine, and logs the begin and the end of each
//! evacuation.

use std::collections::BTreeMap;
use std::sync::Arc;

use sycamore_graph::{DomainLoad, Engine};
use sycamore_types::Name;
use tokio::sync::watch;

use super::Handle;
use crate::config::Evacuated;
use crate::node::Node;

/// Sends the set that is known now to the engine. Returns a receiver of later sets.
pub(super) fn begin(node: &Arc<Node>, handle: &Handle) -> watch::Receiver<Evacuated> {
    let evacuations = &node.configs.evacuations;
    let mut changes = evacuations.subscribe();
    let known = changes.borrow_and_update().clone();
    if evacuations.is_in_use() {
        handle.evacuate(known);
    }
    changes
}

/// Passes each later set to the engine. Returns when the process ends.
pub(super) async fn forward(mut changes: watch::Receiver<Evacuated>, handle: &Handle) {
    while changes.changed().await.is_ok() {
        handle.evacuate(changes.borrow_and_update().clone());
    }
}

/// Evacuations that the control thread knows of and those that it has logged.
#[derive(Debug, Default)]
pub(super) struct EvacuationLog {
    known: Evacuated,
    /// Failure domains whose begin is logged, each with the revision of its key.
    logged: BTreeMap<Name, u64>,
    /// The engine has a list of workers. Before, it can't tell those of a domain.
    is_listed: bool,
}

impl EvacuationLog {
    pub fn set_known(&mut self, evacuated: Evacuated) {
        self.known = evacuated;
    }

    pub fn set_listed(&mut self) {
        self.is_listed = true;
    }

    /// Logs the evacuations that have begun or ended since the last call.
    pub fn log_changes(&mut self, engine: &Engine) {
        if !self.is_listed || self.logged == self.known.domains {
            return;
        }
        for (domain, revision) in &self.known.domains {
            if self.logged.get(domain) != Some(revision) {
                log(engine, domain, *revision, "evacuation begun");
            }
        }
        for domain in self.logged.keys() {
            if !self.known.domains.contains_key(domain) {
                log(engine, domain, self.known.revision, "evacuation ended");
            }
        }
        self.logged = self.known.domains.clone();
    }
}

fn log(engine: &Engine, domain: &str, revision: u64, message: &str) {
    let DomainLoad { hosts: workers, runs } = engine.domain_load(domain);
    log::info!(target: "evacuation", domain, revision, workers, runs; "{message}");
}
