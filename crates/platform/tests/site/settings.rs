//! Parsing of the settings file, with the example of the platform's documentation.

use sycamore_platform::site::Settings;
use yare::parameterized;

const FILE: &str = r#"
node = "edge-a-1"
role = "node"
ip = "10.1.0.17"
zone = "a"
internal-ports = [7420, 7435]
seeds = ["10.1.0.17:8180", "10.2.0.15:8180"]
hint = "10.200.1.9:8182"
heartbeat-ms = 1200
a-new-field = { of = "another kind" }
[listen]
front = "10.1.0.17:8183"
ready = "10.1.0.17:8184"
[bounds]
hold-max-ms = 6000
stability-ms = 4000
gang-ms = 3000
grace-s = 6
status_s = 120
cross-rack-factor = 1.5
[platform]
addr = "10.200.1.7:8182"
"#;

#[test]
fn parses_the_documented_file() {
    let settings = Settings::parse(FILE).unwrap();

    assert_eq!(&*settings.host, "edge-a-1");
    assert_eq!(settings.peers.to_string(), "10.1.0.17:7420");
    assert_eq!(settings.seeds[1].to_string(), "10.2.0.15:7420");
    assert_eq!(settings.lease_ms, 6_000);
    assert_eq!(settings.stability_ms, 4_000);
    assert_eq!(settings.heartbeat_ms, 1_200);
    assert_eq!(settings.grace_ms, 6_000);
    assert_eq!(settings.max_value_bytes, 1 << 20);
}

/// Without its default, a platform that leaves the interval out would let no process start.
#[test]
fn a_missing_heartbeat_interval_has_the_documented_default() {
    let settings = Settings::parse(&FILE.replace("heartbeat-ms = 1200", "")).unwrap();

    assert_eq!(settings.heartbeat_ms, 1_500);
}

/// Failure: evacuations are followed on deployments that don't use them, or not on one that does.
#[test]
fn evacuations_are_in_use_only_with_their_bound() {
    let with_bound = FILE.replace("gang-ms = 3000", "gang-ms = 3000\nevac-ms = 5000");

    assert_eq!(Settings::parse(FILE).unwrap().evacuation_ms, None);
    assert_eq!(Settings::parse(&with_bound).unwrap().evacuation_ms, Some(5_000));
}

/// Preemption must stay off where the platform does not name its cost.
#[test]
fn the_cost_of_a_preemption_has_no_default() {
    let settings = Settings::parse(FILE).unwrap();

    assert_eq!((settings.stop_ms, settings.checkpoint_ms, settings.restore_ms), (None, None, None));
}

/// The interval of checkpoints is in seconds, the other times are in milliseconds.
#[test]
fn parses_the_cost_of_a_preemption() {
    let bounds = "[bounds]\nstop-ms = 200\ncheckpoint-s = 0.5\nrestore-ms = 250";

    let settings = Settings::parse(&FILE.replace("[bounds]", bounds)).unwrap();

    let cost = (settings.stop_ms, settings.checkpoint_ms, settings.restore_ms);
    assert_eq!(cost, (Some(200), Some(500), Some(250)));
}

#[test]
fn treats_an_empty_hint_as_no_advice_service() {
    let settings = Settings::parse(&FILE.replace("10.200.1.9:8182", "")).unwrap();

    assert_eq!(settings.advice, None);
}

#[test]
fn parses_the_limits_of_the_process() {
    let limits = "[limits]\nmemory-mb = 120\nmax-fds = 3075\n[bounds]";

    let settings = Settings::parse(&FILE.replace("[bounds]", limits)).unwrap();

    assert_eq!((settings.memory_bytes, settings.max_descriptors), (120 << 20, 3_075));
}

/// Without defaults, a file that leaves the limits out would let callers take all that there is.
#[test]
fn limits_that_are_not_named_have_defaults() {
    let settings = Settings::parse(FILE).unwrap();

    assert_eq!((settings.memory_bytes, settings.max_descriptors), (256 << 20, 1_024));
}

#[parameterized(
    no_memory = { "memory-mb = 0" },
    negative_memory = { "memory-mb = -5" },
    endless_memory = { "memory-mb = inf" },
    memory_that_is_no_number = { "memory-mb = nan" },
    no_descriptors = { "max-fds = 0" },
)]
fn names_the_limit_that_is_out_of_range(limit: &str) {
    let text = FILE.replace("[bounds]", &format!("[limits]\n{limit}\n[bounds]"));

    let error = Settings::parse(&text).unwrap_err().to_string();

    let (name, _) = limit.split_once(" = ").unwrap();
    assert!(error.contains(&format!("limits.{name}")), "{error}");
}

#[parameterized(
    invalid_toml = { "node = ", "malformed" },
    no_ports = { "internal-ports = []", "internal-ports" },
    bad_address = { "[platform]\naddr = \"nowhere\"", "platform.addr" },
)]
fn names_the_invalid_setting_in_the_error(change: &str, expected: &str) {
    let text = match change.split_once(" = ") {
        Some(("internal-ports", _)) => FILE.replace("internal-ports = [7420, 7435]", change),
        Some(("[platform]\naddr", _)) => FILE.replace("10.200.1.7:8182", "nowhere"),
        _ => change.to_string(),
    };

    let error = Settings::parse(&text).unwrap_err().to_string();

    assert!(error.contains(expected), "{error}");
}
