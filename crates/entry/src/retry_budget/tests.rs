//! Ratio of retries to new requests once the initial balance is used up.

use super::*;

#[test]
fn one_retry_is_allowed_for_five_new_requests() {
    let budget = RetryBudget::default();
    while budget.withdraw() {}
    for _ in 0..100 {
        budget.deposit();
    }
    let mut retries = 0;
    while budget.withdraw() {
        retries += 1;
    }
    assert_eq!(retries, 20);
}
