//! Parsing of the workers' entries, with the example of the platform's documentation.

use sycamore_platform::site::parse_worker_entry;
use yare::parameterized;

const ENTRY: &str = r#"{"service":"desk","addr":"10.128.0.9:8080","zone":"a","version":"v1","slots":8,"state":"ready","cold-left-ms":0,"capacity":{"cpu":16000,"mem-mb":32768,"gpu":1},"labels":["a","r1-3"],"clock-ms":482113,"seq":4,"born":17}"#;

#[test]
fn parses_the_documented_entry() {
    let (entry, address) = parse_worker_entry("i-7f", ENTRY.as_bytes()).unwrap();

    assert_eq!(&*entry.id, "i-7f");
    assert_eq!((entry.incarnation, &*entry.rack, entry.is_draining), (17, "r1-3", false));
    assert_eq!((entry.capacity.cpu_millis, entry.capacity.accelerators), (16_000, 1));
    assert_eq!(address.to_string(), "10.128.0.9:8080");
}

#[test]
fn recognizes_a_draining_worker() {
    let text = ENTRY.replace("\"ready\"", "\"draining\"");

    assert!(parse_worker_entry("i", text.as_bytes()).unwrap().0.is_draining);
}

#[parameterized(
    unknown_state = { "\"ready\"", "\"odd\"" },
    no_address = { "10.128.0.9:8080", "" },
    wrong_type = { "16000", "\"many\"" },
    no_capacity = { "\"capacity\"", "\"other\"" },
)]
fn ignores_an_unusable_entry(from: &str, to: &str) {
    assert!(parse_worker_entry("i", ENTRY.replace(from, to).as_bytes()).is_none());
}

#[test]
fn ignores_bytes_that_are_not_json() {
    assert!(parse_worker_entry("i", b"\xff\x00").is_none());
}
