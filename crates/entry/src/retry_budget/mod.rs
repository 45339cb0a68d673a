//! Retry budget: limits retries to a fraction of the new requests.
//!
//! Without it a fault that makes every request fail would multiply the load.

use std::sync::{Mutex, PoisonError};

/// Part of a retry that each new request adds to the budget, in hundredths of a retry.
const DEPOSIT_HUNDREDTHS: u32 = 20;

/// Cost of one retry, in hundredths of a retry.
const RETRY_COST_HUNDREDTHS: u32 = 100;

/// Largest balance of the budget, in hundredths of a retry.
const MAX_BALANCE_HUNDREDTHS: u32 = 5_000;

/// Balance from which retries are paid. It starts full.
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
    /// Adds the share of one new request.
    pub(crate) fn deposit(&self) {
        let mut balance = self.balance.lock().unwrap_or_else(PoisonError::into_inner);
        *balance = (*balance + DEPOSIT_HUNDREDTHS).min(MAX_BALANCE_HUNDREDTHS);
    }

    /// Pays for one retry. Returns `false` if the balance is too low.
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
