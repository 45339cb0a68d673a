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

/// Failure: workers of a service without a queue, or of a queue whose service is not listed, were
/// not used, or those of a service that no configuration names were.
#[test]
fn workers_belong_to_a_service_that_is_listed_or_has_a_queue() {
    let text = DOCUMENT.replace("{\"name\":\"desk\"", "{\"name\":\"spare\"");
    let without_list = DOCUMENT.replace("\"services\"", "\"other\"");
    let (config, open) =
        [text, without_list].map(|text| Config::parse(text.as_bytes()).unwrap()).into();

    assert!(config.has_service("spare") && config.has_service("desk"));
    assert!(!config.has_service("odd"));
    assert!(open.has_service("odd"));
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

/// Failure: an unknown field whose nesting the parser can't hold on its stack, or whose number is
/// out of range, ended the process or made the configuration unusable.
#[test]
fn an_unknown_field_is_ignored_whatever_it_holds() {
    let nested = "[".repeat(200_000) + &"]".repeat(200_000);
    for value in [&*nested, "1e400", "-18446744073709551616"] {
        let text = DOCUMENT.replace("\"a-new-field\":[1]", &format!("\"a-new-field\":{value}"));

        assert_eq!(Config::parse(text.as_bytes()).unwrap().catalog.version, 7);
    }
}

/// Failure: a known field whose nesting the parser can't hold on its stack ended the process.
#[test]
fn rejects_a_deeply_nested_configuration() {
    let nested = "[".repeat(200_000);
    for field in ["7,", "\"desk\"", "[\"k1\",\"k2\"]", "3000"] {
        assert!(Config::parse(DOCUMENT.replacen(field, &nested, 1).as_bytes()).is_err());
    }
    assert!(Config::parse(nested.as_bytes()).is_err());
}
