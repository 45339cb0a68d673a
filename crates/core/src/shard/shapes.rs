use rustc_hash::{FxHashMap, FxHashSet};
use sycamore_types::resources::Resources;
use sycamore_types::selector::Selector;

use crate::placement::{Mode, Query};

/// What matters of a piece of work for where it fits.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct Shape {
    pub(crate) size: Resources,
    pub(crate) selector: Selector,
    pub(crate) is_spread: bool,
    pub(crate) run_ms: u64,
}

impl Shape {
    pub(crate) fn query(&self) -> Query<'_> {
        let mode = if self.is_spread { Mode::Spread } else { Mode::Dense };
        Query {
            size: &self.size,
            selector: &self.selector,
            mode,
            run_ms: self.run_ms,
            avoid: None,
            holds_reservation: false,
        }
    }
}

/// Shapes of work, with a note of those that found no host.
///
/// Within one look at all hosts, work of a shape that is noted as unfit is
/// passed over without a search.
#[derive(Debug, Default)]
pub(crate) struct Shapes {
    shapes: Vec<Entry>,
    by_shape: FxHashMap<Shape, usize>,
    free_indexes: Vec<usize>,
    unfit: FxHashSet<usize>,
}

#[derive(Debug)]
struct Entry {
    shape: Shape,
    references: usize,
}

impl Shapes {
    /// Returns the number of a shape, and counts one more user of it.
    pub(crate) fn intern(&mut self, shape: Shape) -> usize {
        if let Some(index) = self.by_shape.get(&shape) {
            self.shapes[*index].references += 1;
            return *index;
        }
        let entry = Entry { shape: shape.clone(), references: 1 };
        let index = match self.free_indexes.pop() {
            Some(index) => {
                self.shapes[index] = entry;
                index
            }
            None => {
                self.shapes.push(entry);
                self.shapes.len() - 1
            }
        };
        self.by_shape.insert(shape, index);
        index
    }

    /// Counts one user less, and forgets the shape with the last one.
    pub(crate) fn release(&mut self, index: usize) {
        let entry = &mut self.shapes[index];
        entry.references = entry.references.saturating_sub(1);
        if entry.references == 0 {
            self.by_shape.remove(&entry.shape);
            self.unfit.remove(&index);
            self.free_indexes.push(index);
        }
    }

    pub(crate) fn get(&self, index: usize) -> &Shape {
        &self.shapes[index].shape
    }

    pub(crate) fn is_unfit(&self, index: usize) -> bool {
        self.unfit.contains(&index)
    }

    pub(crate) fn mark_unfit(&mut self, index: usize) {
        self.unfit.insert(index);
    }

    /// Clears every note.
    pub(crate) fn clear_unfit(&mut self) {
        self.unfit.clear();
    }
}
