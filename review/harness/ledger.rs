//! What runs where, over all workers, as these see it themselves.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard};

#[derive(Default)]
struct Runs {
    /// Current runs by task: worker and attempt.
    current: BTreeMap<String, Vec<(String, u64)>>,
    /// Tasks with a run that has ended `done` whose end was taken note of.
    done: BTreeSet<String>,
    starts: u64,
    breaches: Vec<String>,
}

#[derive(Clone, Default)]
pub struct Ledger(Arc<Mutex<Runs>>);

impl Ledger {
    fn runs(&self) -> MutexGuard<'_, Runs> {
        self.0.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Returns what is wrong with the start: another run of the task at this time, or a start after
    /// a noted `done`.
    pub fn on_start(&self, worker: &str, task: &str, attempt: u64) -> Option<String> {
        let mut runs = self.runs();
        runs.starts += 1;
        let others = runs.current.entry(task.to_string()).or_default();
        let shown = |(worker, attempt): &(String, u64)| format!("attempt {attempt} on {worker}");
        let mut breach = (!others.is_empty()).then(|| {
            let others: Vec<String> = others.iter().map(shown).collect();
            format!("{task} attempt {attempt} on {worker} beside {}", others.join(", "))
        });
        others.push((worker.to_string(), attempt));
        if runs.done.contains(task) {
            breach = Some(format!("{task} attempt {attempt} on {worker} after a noted done"));
        }
        runs.breaches.extend(breach.clone());
        breach
    }

    pub fn on_end(&self, worker: &str, task: &str, attempt: u64) {
        if let Some(current) = self.runs().current.get_mut(task) {
            current.retain(|(name, number)| name != worker || *number != attempt);
        }
    }

    pub fn on_noted_done(&self, task: &str) {
        self.runs().done.insert(task.to_string());
    }

    pub fn on_crash(&self, worker: &str) {
        self.runs().current.values_mut().for_each(|all| all.retain(|(name, _)| name != worker));
    }

    pub fn starts(&self) -> u64 {
        self.runs().starts
    }

    /// Returns the starts by which a task ran twice.
    pub fn breaches(&self) -> Vec<String> {
        self.runs().breaches.clone()
    }
}
