//! An owner that was replaced and goes on, because it hears neither the store nor its successor.

use std::mem;

use sycamore_graph::{Engine, Event};

use super::World;

/// A replaced owner.
#[derive(Debug)]
pub(super) struct Former {
    epoch: u64,
    engine: Engine,
}

impl World {
    /// Replaces the owner, which goes on and reaches only the workers that their `hears_former` names.
    pub fn take_over_beside_former(&mut self) {
        let epoch = self.epoch;
        let former = self.replace_engine();
        self.former = Some(Former { epoch, engine: former });
        self.list_hosts();
    }

    /// Ends a replaced owner that still goes on.
    pub fn end_former(&mut self) {
        self.former = None;
    }

    /// Returns whether a replaced owner goes on.
    pub fn has_former(&self) -> bool {
        self.former.is_some()
    }

    pub(super) fn is_former(&self, epoch: u64) -> bool {
        self.former.as_ref().is_some_and(|former| former.epoch == epoch)
    }

    /// Passes an event to the replaced owner.
    pub(super) fn handle_as_former(&mut self, event: Event) {
        let Some(former) = self.former.take() else { return };
        let epoch = mem::replace(&mut self.epoch, former.epoch);
        let engine = mem::replace(&mut self.engine, former.engine);
        self.is_former_acting = true;
        self.handle(event);
        self.is_former_acting = false;
        let former_epoch = mem::replace(&mut self.epoch, epoch);
        let engine = mem::replace(&mut self.engine, engine);
        self.former = Some(Former { epoch: former_epoch, engine });
    }
}
