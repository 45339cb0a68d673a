use super::*;

#[test]
fn retries_are_a_part_of_new_calls() {
    let budget = Budget::default();
    while budget.spend() {}
    for _ in 0..100 {
        budget.earn();
    }
    let mut retries = 0;
    while budget.spend() {
        retries += 1;
    }
    assert_eq!(retries, 20);
}
