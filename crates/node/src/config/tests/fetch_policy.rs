//! When a process that lags behind asks a peer, without any network.

use std::time::{Duration, Instant};

use super::super::fetch_policy::{FetchPolicy, StoreState};

/// Reports of a peer, five a second as its pings make, and the times at which one began a
/// transfer, in milliseconds. `store` tells the state of the store at a time.
fn begun(policy: &mut FetchPolicy, for_ms: u64, store: impl Fn(u64) -> Store) -> Vec<u64> {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let begins = |ms: &u64| {
        let Store { is_answering, last_data_ms } = store(*ms);
        let last_data = last_data_ms.map(at);
        policy.begins(at(*ms), true, StoreState { is_answering, last_data })
    };
    (0..for_ms).step_by(200).filter(begins).collect()
}

struct Store {
    is_answering: bool,
    last_data_ms: Option<u64>,
}

/// Incident inc1: 982 transfers were begun in a day, five a second at each lagging host.
#[test]
fn reports_during_a_transfer_begin_no_further_one() {
    let mut policy = FetchPolicy::default();

    let begun = begun(&mut policy, 5_000, |_| Store { is_answering: false, last_data_ms: None });

    assert_eq!(begun, [0]);
}

/// Incident inc1: copies of a peer took half of the link from the store's copy.
#[test]
fn no_transfer_begins_while_data_of_the_store_arrives() {
    let mut policy = FetchPolicy::default();
    let until_2_s = |ms: u64| Store { is_answering: true, last_data_ms: Some(ms.min(2_000)) };

    let begun = begun(&mut policy, 5_000, until_2_s);

    assert_eq!(begun, [2_400]);
}

#[test]
fn a_store_that_is_silent_is_waited_for_briefly() {
    let mut policy = FetchPolicy::default();

    let begun = begun(&mut policy, 5_000, |_| Store { is_answering: true, last_data_ms: None });

    assert_eq!(begun, [400]);
}

#[test]
fn a_failed_transfer_is_repeated_after_a_pause() {
    let mut policy = FetchPolicy::default();
    let start = Instant::now();
    let store = StoreState::default();
    assert!(policy.begins(start, true, store));

    policy.on_ended(start, false);

    assert!(!policy.begins(start + Duration::from_millis(200), true, store));
    assert!(policy.begins(start + Duration::from_millis(400), true, store));
}

#[test]
fn a_process_that_has_caught_up_waits_for_the_store_anew() {
    let mut policy = FetchPolicy::default();
    let start = Instant::now();
    let store = StoreState { is_answering: true, last_data: None };
    assert!(!policy.begins(start, true, store));

    assert!(!policy.begins(start + Duration::from_secs(1), false, store));

    assert!(!policy.begins(start + Duration::from_secs(2), true, store));
    assert!(policy.begins(start + Duration::from_millis(2_400), true, store));
}
