//! A budget for retries.

use std::sync::{Mutex, PoisonError};

/// Retries that each new call earns, in hundredths.
const DEPOSIT_HUNDREDTHS: u32 = 20;

/// Cost of one retry, in hundredths.
const RETRY_COST_HUNDREDTHS: u32 = 100;

/// Most that can be saved up, in hundredths.
const MAX_BALANCE_HUNDREDTHS: u32 = 5_000;

/// Limits retries to a part of the new calls, so that a fault that makes
/// every call fail does not multiply the load.
#[derive(Debug)]
pub(crate) struct RetryBudget {
    balance: Mutex<u32>,
}

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget { balance: Mutex::new(MAX_BALANCE_HUNDREDTHS) }
    }
}

impl RetryBudget {
    /// Notes a new call.
    pub(crate) fn deposit(&self) {
        let mut balance = self.balance.lock().unwrap_or_else(PoisonError::into_inner);
        *balance = (*balance + DEPOSIT_HUNDREDTHS).min(MAX_BALANCE_HUNDREDTHS);
    }

    /// Spends one retry. Returns whether there was one left.
    pub(crate) fn withdraw(&self) -> bool {
        let mut balance = self.balance.lock().unwrap_or_else(PoisonError::into_inner);
        if *balance < RETRY_COST_HUNDREDTHS {
            return false;
        }
        *balance -= RETRY_COST_HUNDREDTHS;
        true
    }
}

#[cfg(test)]
mod tests;
