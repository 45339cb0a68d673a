//! Parsing of the workers' entries, with the example of the platform's documentation.

use sycamore_platform::site::{parse_report, parse_worker_entry};
use yare::parameterized;

const ENTRY: &str = r#"{"service":"desk","addr":"10.128.0.9:8080","zone":"a","version":"v1","slots":8,"state":"ready","cold-left-ms":0,"capacity":{"cpu":16000,"mem-mb":32768,"gpu":1},"labels":["a","r1-3"],"clock-ms":482113,"seq":4,"born":17}"#;

#[test]
fn parses_the_documented_entry() {
    let (entry, address) = parse_worker_entry("i-7f", ENTRY.as_bytes()).unwrap();

    assert_eq!(&*entry.id, "i-7f");
    assert_eq!((entry.incarnation, &*entry.rack, entry.is_draining), (17, "r1-3", false));
    assert_eq!(&*entry.failure_domain, "a");
    assert_eq!((entry.capacity.cpu_millis, entry.capacity.accelerators), (16_000, 1));
    assert_eq!(address.to_string(), "10.128.0.9:8080");
    assert_eq!(entry.address, Some(address));
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

/// Levels of a value that overflows the stack of a parser that recurses.
const MANY_LEVELS: usize = 200_000;

fn brackets() -> String {
    "[".repeat(MANY_LEVELS) + &"]".repeat(MANY_LEVELS)
}

const RUNNING: &str = r#"["5c0e7a21d94b36f8.0.1.17",2,"",41]"#;
const ENDED: &str = r#"[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]"#;

fn report(running: &str, finished: &str) -> String {
    format!(r#"{{"clock-ms":482113,"born":17,"running":[{running}],"finished":[{finished}]}}"#)
}

#[test]
fn parses_a_report() {
    let report = parse_report(report(RUNNING, ENDED).as_bytes()).unwrap();

    assert_eq!((report.running.len(), report.ended.len()), (1, 1));
    assert!(!report.is_truncated);
}

/// A malformed row made the whole report unusable, so that the worker counted as silent, its
/// lease ran out and its tasks were started elsewhere.
#[parameterized(
    no_row = { "7" },
    empty = { "[]" },
    wrong_type = { r#"["5c0e7a21d94b36f8.0.1.18","two","",41]"# },
    odd_task = { r#"["odd",2,"",41]"# },
    attempt_too_large = { r#"["5c0e7a21d94b36f8.0.1.18",18446744073709551616,"",41]"# },
    attempt_out_of_range = { r#"["5c0e7a21d94b36f8.0.1.18",1e400,"",41]"# },
    percent_out_of_range = { r#"["5c0e7a21d94b36f8.0.1.18",2,"",1e400]"# },
    task_overflows = { r#"["5c0e7a21d94b36f8.0.1.18446744073709551616",2,"",41]"# },
    odd_escape = { r#"["\ud800",2,"",41]"# },
    nested = { &brackets() },
    nested_checkpoint = { &format!(r#"["5c0e7a21d94b36f8.0.1.18",2,{},41]"#, brackets()) },
)]
fn a_malformed_run_costs_that_row_only(row: &str) {
    let running = format!("{row},{RUNNING}");

    let report = parse_report(report(&running, ENDED).as_bytes()).unwrap();

    assert_eq!((report.running.len(), report.ended.len()), (1, 1));
    // The run of the malformed row must not count as ended.
    assert!(report.is_truncated);
}

/// The owner acknowledges all ends up to the last one that it has read, and the worker forgets
/// them.
#[parameterized(
    no_row = { "7" },
    wrong_type = { r#"[59,"5c0e7a21d94b36f8.0.1.10","one","done",""]"# },
    odd_outcome = { r#"[59,"5c0e7a21d94b36f8.0.1.10",1,"odd",""]"# },
    number_too_large = { r#"[18446744073709551616,"5c0e7a21d94b36f8.0.1.10",1,"done",""]"# },
    number_out_of_range = { r#"[1e400,"5c0e7a21d94b36f8.0.1.10",1,"done",""]"# },
    attempt_negative = { r#"[59,"5c0e7a21d94b36f8.0.1.10",-1,"done",""]"# },
    nested = { &brackets() },
    nested_checkpoint = { &format!(r#"[59,"5c0e7a21d94b36f8.0.1.10",1,"done",{}]"#, brackets()) },
)]
fn ends_behind_a_malformed_one_are_left_for_later(row: &str) {
    let finished = format!(r#"{ENDED},{row},[60,"5c0e7a21d94b36f8.0.1.11",1,"done",""]"#);

    let report = parse_report(report(RUNNING, &finished).as_bytes()).unwrap();

    let numbers: Vec<u64> = report.ended.iter().map(|(number, ..)| *number).collect();
    assert_eq!(numbers, [58]);
    assert!(report.is_truncated);
}

/// Failure: bytes in one row that are not UTF-8 made the whole report unusable.
#[test]
fn a_run_with_bytes_that_are_no_text_costs_that_row_only() {
    let running = format!(r#"["?",2,"",41],{RUNNING}"#);
    let mut bytes = report(&running, ENDED).into_bytes();
    bytes.iter_mut().filter(|byte| **byte == b'?').for_each(|byte| *byte = 0xff);

    let report = parse_report(&bytes).unwrap();

    assert_eq!((report.running.len(), report.ended.len()), (1, 1));
    assert!(report.is_truncated);
}

/// Failure: a load that no number can hold, or a further element, made the run's row malformed, so
/// that no run of the worker counted as ended.
#[parameterized(out_of_range = { "1e400" }, null = { "null" }, nested = { &brackets() })]
fn further_elements_of_a_run_are_ignored(element: &str) {
    let running = RUNNING.replace("41]", &format!("41,{element}]"));

    let report = parse_report(report(&running, ENDED).as_bytes()).unwrap();

    assert_eq!((report.running.len(), report.is_truncated), (1, false));
}

/// Failure: a clock that no difference of times can hold ended the owner, or placed all deadlines
/// at zero.
#[parameterized(
    too_large = { "18446744073709551616" },
    over_63_bits = { "18446744073709551615" },
    out_of_range = { "1e400" },
    negative = { "-1" },
)]
fn a_report_with_an_impossible_clock_is_unusable(clock: &str) {
    let text = report(RUNNING, ENDED).replace("482113", clock);

    assert!(parse_report(text.as_bytes()).is_none());
}

#[test]
fn a_report_without_a_clock_is_unusable() {
    assert!(parse_report(br#"{"running":[],"finished":[]}"#).is_none());
}
