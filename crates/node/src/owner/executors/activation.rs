//! Decides whether the owner uses executors.

/// Listed workers from which the owner uses executors. An owner with half a core was measured to
/// serve 1,000 workers well by itself and 3,000 not at all; sites of up to 600 stay as they were.
pub(crate) const MIN_WORKERS: usize = 800;

/// Fraction of the threshold below which the owner ends to use executors, so that single workers
/// that come and go don't move all connections.
const END_FRACTION: f64 = 0.9;

/// Tells from the number of workers whether executors are in use.
#[derive(Debug)]
pub(crate) struct Activation {
    min_workers: usize,
    is_active: bool,
}

impl Activation {
    pub fn new(min_workers: usize) -> Activation {
        Activation { min_workers, is_active: false }
    }

    pub fn is_active(&self) -> bool {
        self.is_active
    }

    /// Takes the number of listed workers. Returns the new state if it has changed.
    pub fn update(&mut self, workers: usize) -> Option<bool> {
        let end_below = (self.min_workers as f64 * END_FRACTION).ceil() as usize;
        let is_active = workers >= if self.is_active { end_below } else { self.min_workers };
        let has_changed = is_active != self.is_active;
        self.is_active = is_active;
        has_changed.then_some(is_active)
    }
}
