//! The tasks of a step.
//!
//! Only tasks that have been started and are not done take memory for their progress, so that a
//! backlog of very many tasks is cheap.

use std::collections::BTreeMap;
use std::ops::{Index, IndexMut};

use super::TaskProgress;

/// Number of tasks per word of a bit set.
const WORD_BITS: u32 = u64::BITS;

/// The progress of a task that is done and has no runs.
static DONE: TaskProgress = TaskProgress::new(true);

/// The tasks of a step, in order.
#[derive(Clone, Debug)]
pub(crate) struct Tasks {
    len: u32,
    /// Tasks that differ from `untouched` and [`DONE`].
    touched: BTreeMap<u32, TaskProgress>,
    /// Tasks that are done, one bit each. Empty until the first one is.
    done: Vec<u64>,
    /// The progress of all others.
    untouched: TaskProgress,
}

impl Tasks {
    /// Creates tasks that have not been started.
    pub fn new(len: u32) -> Tasks {
        let untouched = TaskProgress::new(false);
        Tasks { len, touched: BTreeMap::new(), done: Vec::new(), untouched }
    }

    pub fn len(&self) -> usize {
        self.len as usize
    }

    pub fn get(&self, index: usize) -> Option<&TaskProgress> {
        let index = u32::try_from(index).ok().filter(|index| *index < self.len)?;
        Some(match self.touched.get(&index) {
            Some(task) => task,
            None if self.is_done(index) => &DONE,
            None => &self.untouched,
        })
    }

    pub fn get_mut(&mut self, index: usize) -> Option<&mut TaskProgress> {
        let index = u32::try_from(index).ok().filter(|index| *index < self.len)?;
        let initial = if self.is_done(index) { &DONE } else { &self.untouched };
        Some(self.touched.entry(index).or_insert_with(|| initial.clone()))
    }

    /// Returns all tasks in order.
    pub fn iter(&self) -> impl Iterator<Item = &TaskProgress> {
        (0..self.len()).filter_map(|index| self.get(index))
    }

    /// Returns the tasks that have runs or failures, and some others, in order.
    pub fn touched(&self) -> impl Iterator<Item = (u32, &TaskProgress)> {
        self.touched.iter().map(|(index, task)| (*index, task))
    }

    /// Returns the last attempt of the tasks that take no memory and are not done.
    pub fn untouched_attempt(&self) -> u32 {
        self.untouched.attempt
    }

    /// Returns whether a task takes no memory and is not done.
    pub fn is_untouched(&self, index: usize) -> bool {
        u32::try_from(index)
            .is_ok_and(|index| !self.touched.contains_key(&index) && !self.is_done(index))
    }

    /// Returns the highest attempt number of a task that is not done.
    pub fn last_attempt(&self) -> u32 {
        let touched = self.touched.values().map(|task| task.attempt).max();
        touched.unwrap_or(0).max(self.untouched.attempt)
    }

    /// Skips attempt numbers of all tasks that are not done.
    pub fn skip_attempts(&mut self, gap: u32) {
        self.touched.values_mut().for_each(|task| task.attempt += gap);
        self.untouched.attempt += gap;
    }

    /// Sets the last attempt of all tasks that have not been touched.
    pub fn set_untouched_attempt(&mut self, attempt: u32) {
        self.untouched.attempt = attempt;
    }

    /// Marks a task as done. Returns `true` if it was not done before.
    pub fn mark_done(&mut self, index: u32) -> bool {
        if index >= self.len || self.is_done(index) {
            return false;
        }
        if self.done.is_empty() {
            self.done = vec![0; self.len.div_ceil(WORD_BITS) as usize];
        }
        self.done[(index / WORD_BITS) as usize] |= 1 << (index % WORD_BITS);
        if let Some(task) = self.touched.get_mut(&index) {
            task.is_done = true;
        }
        self.release(index);
        true
    }

    /// Drops the progress of a task that is done and has no runs.
    pub fn release(&mut self, index: u32) {
        let is_over = |task: &TaskProgress| task.is_done && task.runs.is_empty();
        if self.touched.get(&index).is_some_and(is_over) {
            self.touched.remove(&index);
        }
    }

    fn is_done(&self, index: u32) -> bool {
        let word = self.done.get((index / WORD_BITS) as usize);
        word.is_some_and(|word| word & (1 << (index % WORD_BITS)) != 0)
    }
}

impl Index<usize> for Tasks {
    type Output = TaskProgress;

    fn index(&self, index: usize) -> &TaskProgress {
        self.get(index).expect("a task of the step")
    }
}

impl IndexMut<usize> for Tasks {
    fn index_mut(&mut self, index: usize) -> &mut TaskProgress {
        self.get_mut(index).expect("a task of the step")
    }
}
