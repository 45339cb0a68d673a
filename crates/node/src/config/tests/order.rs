//! The version in force never decreases.

use super::super::Configs;
use crate::metrics::Meters;

/// Found by reading: a copy that was checked before a newer one came into force replaced it.
#[test]
fn copies_that_arrive_at_the_same_time_never_bring_an_older_version_back() {
    let configs = Configs::new(Meters::new());
    let apply = |first: u64| {
        for version in (first..20_000).step_by(2) {
            let source = format!("{{\"version\":{version}}}").into_bytes();
            configs.apply_if_newer(source, "test");
            let now = configs.version();
            assert!(now >= version, "version {now} in force after {version}");
        }
    };

    std::thread::scope(|scope| {
        scope.spawn(|| apply(1));
        scope.spawn(|| apply(2));
    });

    assert_eq!(configs.version(), 19_999);
}
