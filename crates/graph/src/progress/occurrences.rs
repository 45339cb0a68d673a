//! The occurrences of a job that have begun.
//!
//! Only those that are not over take memory, so that a job may have any number of them.

use std::collections::BTreeMap;

use super::StepProgress;
use crate::job::Step;

/// The occurrences of a job that have begun, in order from 0.
#[derive(Debug, Default)]
pub(crate) struct Occurrences {
    /// Number of occurrences that have begun.
    begun: u32,
    /// The steps of those that are not over.
    open: BTreeMap<u32, Vec<StepProgress>>,
}

impl Occurrences {
    /// Returns the number of occurrences that have begun.
    pub fn begun(&self) -> u32 {
        self.begun
    }

    /// Returns the number of occurrences that have begun and are not over.
    pub fn open(&self) -> usize {
        self.open.len()
    }

    /// Begins the next occurrence. Returns its index.
    pub fn begin(&mut self, steps: &[Step]) -> u32 {
        let index = self.begun;
        self.begun += 1;
        self.open.insert(index, new_progress(steps));
        index
    }

    /// Begins the next occurrences up to an index, all of which are over.
    pub fn begin_over(&mut self, index: u32) {
        self.begun = self.begun.max(index.saturating_add(1));
    }

    /// Makes an occurrence that has begun count as not over.
    pub fn reopen(&mut self, index: u32, steps: &[Step]) {
        if index < self.begun {
            self.open.entry(index).or_insert_with(|| new_progress(steps));
        }
    }

    /// Returns the steps of an occurrence that has begun and is not over.
    pub fn get(&self, index: u32) -> Option<&Vec<StepProgress>> {
        self.open.get(&index)
    }

    /// Returns the steps of an occurrence that has begun and is not over.
    pub fn get_mut(&mut self, index: u32) -> Option<&mut Vec<StepProgress>> {
        self.open.get_mut(&index)
    }

    /// Returns the occurrences that are not over, in order.
    pub fn iter(&self) -> impl Iterator<Item = (u32, &Vec<StepProgress>)> {
        self.open.iter().map(|(index, steps)| (*index, steps))
    }

    /// Returns the occurrences that are not over, in order.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (u32, &mut Vec<StepProgress>)> {
        self.open.iter_mut().map(|(index, steps)| (*index, steps))
    }

    /// Returns the occurrences that are over, in order.
    pub fn over(&self) -> impl Iterator<Item = u32> {
        (0..self.begun).filter(|index| !self.open.contains_key(index))
    }

    /// Returns whether the tasks of all occurrences that have begun are done.
    pub fn are_done(&self) -> bool {
        self.open.values().flatten().all(StepProgress::is_done)
    }

    /// Forgets the steps of an occurrence if its tasks are done and no run of them is left. Returns
    /// whether it did.
    pub fn forget_if_over(&mut self, index: u32) -> bool {
        let is_over = |step: &StepProgress| {
            step.is_done() && step.tasks.touched().all(|(_, task)| task.runs.is_empty())
        };
        let is_over = self.open.get(&index).is_some_and(|steps| steps.iter().all(is_over));
        is_over && self.open.remove(&index).is_some()
    }
}

fn new_progress(steps: &[Step]) -> Vec<StepProgress> {
    steps.iter().map(|step| StepProgress::new(step.tasks)).collect()
}
