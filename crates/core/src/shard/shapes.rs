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
    pub(crate) fn fit(&self) -> Query<'_> {
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
    shapes: Vec<Interned>,
    by_shape: FxHashMap<Shape, usize>,
    vacant: Vec<usize>,
    unfit: FxHashSet<usize>,
}

#[derive(Debug)]
struct Interned {
    shape: Shape,
    users: usize,
}

impl Shapes {
    /// Returns the number of a shape, and counts one more user of it.
    pub(crate) fn intern(&mut self, shape: Shape) -> usize {
        if let Some(at) = self.by_shape.get(&shape) {
            self.shapes[*at].users += 1;
            return *at;
        }
        let interned = Interned { shape: shape.clone(), users: 1 };
        let at = match self.vacant.pop() {
            Some(at) => {
                self.shapes[at] = interned;
                at
            }
            None => {
                self.shapes.push(interned);
                self.shapes.len() - 1
            }
        };
        self.by_shape.insert(shape, at);
        at
    }

    /// Counts one user less, and forgets the shape with the last one.
    pub(crate) fn release(&mut self, at: usize) {
        let interned = &mut self.shapes[at];
        interned.users = interned.users.saturating_sub(1);
        if interned.users == 0 {
            self.by_shape.remove(&interned.shape);
            self.unfit.remove(&at);
            self.vacant.push(at);
        }
    }

    pub(crate) fn get(&self, at: usize) -> &Shape {
        &self.shapes[at].shape
    }

    pub(crate) fn is_unfit(&self, at: usize) -> bool {
        self.unfit.contains(&at)
    }

    pub(crate) fn note_unfit(&mut self, at: usize) {
        self.unfit.insert(at);
    }

    /// Clears every note.
    pub(crate) fn clear_notes(&mut self) {
        self.unfit.clear();
    }
}
