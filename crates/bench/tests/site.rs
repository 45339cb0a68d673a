//! The simulated site on small sizes.

use sycamore_bench::site::{KindOutcome, Settings, run};

/// A site that is half used, on a host as fast as this machine.
fn settings() -> Settings {
    Settings {
        seed: 1,
        workers: 60,
        seconds: 15,
        load: 0.5,
        burst_factor: 1.0,
        burst_seconds: 4,
        slow_share: 0.0,
        slow_down: 1.0,
    }
}

fn in_time_share(kind: &KindOutcome) -> f64 {
    kind.in_time as f64 / kind.jobs as f64
}

#[test]
fn a_site_with_room_serves_its_checks_in_time() {
    let outcome = run(settings());

    let checks = outcome.kinds.iter().find(|kind| kind.name == "check").expect("checks");
    assert!(checks.jobs > 50, "{} checks", checks.jobs);
    assert!(in_time_share(checks) > 0.9, "{} of {}", checks.in_time, checks.jobs);
}

#[test]
fn slow_workers_are_simulated() {
    let sound = run(settings());

    let slow = run(Settings { slow_share: 1.0, ..settings() });

    let in_time = |outcome: &sycamore_bench::site::Outcome| -> u64 {
        outcome.kinds.iter().map(|kind| kind.in_time).sum()
    };
    assert!(in_time(&slow) < in_time(&sound) / 2);
}
