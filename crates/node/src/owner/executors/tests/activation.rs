//! When executors are used.

use super::super::activation::{Activation, MIN_WORKERS};

/// Sites of up to 600 workers must be served as before.
#[test]
fn few_workers_need_no_executors() {
    let mut activation = Activation::new(MIN_WORKERS);

    assert_eq!(activation.update(600), None);
    assert!(!activation.is_active());
}

/// Workers that come and go around the threshold must not move all connections each time.
#[test]
fn executors_stay_in_use_until_clearly_fewer_workers_are_listed() {
    let mut activation = Activation::new(100);

    let changes: Vec<_> =
        [99, 100, 99, 90, 89, 99, 100].map(|workers| activation.update(workers)).into();

    assert_eq!(changes, [None, Some(true), None, None, Some(false), None, Some(true)]);
}
