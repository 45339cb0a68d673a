//! Interning of the properties that decide where a task fits.
//!
//! Many waiting items have the same shape. Once one of them has found no host, the
//! others are skipped, which keeps a pass over a long queue cheap.

use rustc_hash::{FxHashMap, FxHashSet};
use sycamore_types::resources::Resources;
use sycamore_types::selector::Selector;

use crate::placement::{Mode, Query};

/// Properties of a task that decide which hosts it fits on.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct Shape {
    pub(crate) size: Resources,
    pub(crate) selector: Selector,
    pub(crate) is_spread: bool,
    /// Declared run time in milliseconds, zero if unknown.
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

/// Interned shapes of waiting tasks, some of them marked as unfit.
///
/// A shape is marked once a search has found no host for it. Tasks of that shape
/// are then skipped without another search until the marks are cleared.
#[derive(Debug, Default)]
pub(crate) struct Shapes {
    shapes: Vec<Entry>,
    by_shape: FxHashMap<Shape, usize>,
    /// Indexes of entries that can be reused.
    free_indexes: Vec<usize>,
    unfit: FxHashSet<usize>,
}

#[derive(Debug)]
struct Entry {
    shape: Shape,
    /// Number of jobs and requests that have this shape.
    references: usize,
}

impl Shapes {
    /// Returns the index of a shape, and adds a reference to it.
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

    /// Removes a reference to a shape, and the shape with the last reference.
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

    /// Clears all marks.
    pub(crate) fn clear_unfit(&mut self) {
        self.unfit.clear();
    }
}
