//! A budget for retries.

use std::sync::{Mutex, PoisonError};

/// Retries that each new call earns, in hundredths.
const EARNED: u32 = 20;

/// Cost of one retry, in hundredths.
const COST: u32 = 100;

/// Most that can be saved up, in hundredths.
const MOST: u32 = 5_000;

/// Limits retries to a part of the new calls, so that a fault that makes
/// every call fail does not multiply the load.
#[derive(Debug)]
pub(crate) struct Budget {
    saved: Mutex<u32>,
}

impl Default for Budget {
    fn default() -> Budget {
        Budget { saved: Mutex::new(MOST) }
    }
}

impl Budget {
    /// Notes a new call.
    pub(crate) fn earn(&self) {
        let mut saved = self.saved.lock().unwrap_or_else(PoisonError::into_inner);
        *saved = (*saved + EARNED).min(MOST);
    }

    /// Spends one retry. Returns whether there was one left.
    pub(crate) fn spend(&self) -> bool {
        let mut saved = self.saved.lock().unwrap_or_else(PoisonError::into_inner);
        if *saved < COST {
            return false;
        }
        *saved -= COST;
        true
    }
}

#[cfg(test)]
mod tests;
