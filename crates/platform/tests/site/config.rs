//! Parsing of the operators' configuration, with the example of the platform's documentation.

use sycamore_platform::site::Config;

const DOCUMENT: &str = r#"{"version":7,"routes":[
  {"name":"r-a","host":"one.example","prefix":"/a/","kind":"mutating","timeout-ms":3000,"slo-ms":1000,"priority":1,"service":"desk","attempts":4,"slack-factor":2.2,"hint":{"decide-ms":570.0,"per-item-ms":8.1,"valid-ms":1500},"public":false},
  {"name":"r-b","host":"one.example","prefix":"/a/b/","service":"desk","public":true}],
 "services":[{"name":"desk","admission-control":false,"standby":false}],
 "limits":{"max-header-bytes":16384,"max-body-bytes":262144,"header-timeout-ms":3000,"idle-timeout-ms":15000},
 "tenants":[{"name":"kaje","keys":["k1","k2"],"weight":38,"cap":{"cpu":1691871,"mem-mb":4166841,"gpu":0}}],
 "a-new-field":[1]}"#;

#[test]
fn parses_the_documented_configuration() {
    let config = Config::parse(DOCUMENT.as_bytes()).unwrap();

    let queue = &config.catalog.queues["r-a"];
    assert_eq!((queue.priority, queue.max_attempts, queue.objective_ms), (1, 4, 1_000));
    assert_eq!(queue.advice.unwrap().valid_ms, 1_500);
    assert_eq!(config.catalog.teams["kaje"].limit.cpu_millis, 1_691_871);
    assert_eq!(&*config.keys["k2"], "kaje");
    assert_eq!(config.limits.max_body_bytes, 262_144);
}

#[test]
fn sorts_routes_by_longest_prefix_first() {
    let config = Config::parse(DOCUMENT.as_bytes()).unwrap();

    assert_eq!(&*config.routes[0].prefix, "/a/b/");
    assert!(config.routes[0].is_open);
}

#[test]
fn rejects_malformed_configurations() {
    assert!(Config::parse(b"{\"version\":\"seven\"}").is_err());
    assert!(Config::parse(b"\xff").is_err());
}
