use super::*;

#[test]
fn retries_are_a_part_of_new_calls() {
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
