//! Parsing of the workers' entries, with the example of the platform's documentation.

use sycamore_platform::site::{WorkerEntry, parse_report, parse_worker_entry};
use yare::parameterized;

const ENTRY: &str = r#"{"service":"desk","addr":"10.128.0.9:8080","zone":"a","version":"v1","slots":8,"state":"ready","cold-left-ms":0,"capacity":{"cpu":16000,"mem-mb":32768,"gpu":1},"labels":["a","r1-3"],"clock-ms":482113,"seq":4,"born":17}"#;

#[test]
fn parses_the_documented_entry() {
    let WorkerEntry { host: entry, address, .. } =
        parse_worker_entry("i-7f", ENTRY.as_bytes()).unwrap();

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

    assert!(parse_worker_entry("i", text.as_bytes()).unwrap().host.is_draining);
}

/// Failure: a crash of a draining worker is taken for its planned end, as the time that it has
/// announced is not read.
#[parameterized(
    draining = { "draining", ",\"remaining-ms\":1812.5", 1_812 },
    draining_without_a_time = { "draining", "", 0 },
    ready = { "ready", ",\"remaining-ms\":1812", 0 },
)]
fn reads_the_time_left_of_a_draining_worker(state: &str, field: &str, expected_ms: u64) {
    let text = ENTRY.replace("\"ready\"", &format!("\"{state}\"{field}"));

    let entry = parse_worker_entry("i", text.as_bytes()).unwrap();

    assert_eq!(entry.remaining_ms, expected_ms);
}

#[parameterized(
    unknown_state = { "\"ready\"", "\"odd\"" },
    no_address = { "10.128.0.9:8080", "" },
    wrong_type = { "16000", "\"many\"" },
    no_capacity = { "\"capacity\"", "\"other\"" },
)]
fn ignores_an_unusable_entry(from: &str, to: &str) {
    assert!(parse_worker_entry("i", ENTRY.replace(from, to).as_bytes()).is_err());
}

#[test]
fn ignores_bytes_that_are_not_json() {
    assert!(parse_worker_entry("i", b"\xff\x00").is_err());
}

/// Levels of a value that overflows the stack of a parser that recurses.
const MANY_LEVELS: usize = 200_000;

fn brackets() -> String {
    "[".repeat(MANY_LEVELS) + &"]".repeat(MANY_LEVELS)
}

/// Failure: an entry of another writer named a worker, which was then called, or counted as the
/// successor of the worker at its address.
#[parameterized(
    no_port = { "10.128.0.9:8080", "10.128.0.9" },
    port_zero = { "10.128.0.9:8080", "10.128.0.9:0" },
    port_too_large = { "10.128.0.9:8080", "10.128.0.9:70000" },
    port_negative = { "10.128.0.9:8080", "10.128.0.9:-1" },
    port_overflows = { "10.128.0.9:8080", "10.128.0.9:18446744073709551616" },
    no_host = { "10.128.0.9:8080", "0.0.0.0:8080" },
    host_name = { "10.128.0.9:8080", "elsewhere:8080" },
    address_of_another_type = { "\"10.128.0.9:8080\"", "8080" },
    cpu_too_large = { "16000", "18446744073709551616" },
    cpu_over_32_bits = { "16000", "4294967296" },
    cpu_out_of_range = { "16000", "1e400" },
    cpu_negative = { "16000", "-16000" },
    cpu_fraction = { "16000", "16000.5" },
    memory_too_large = { "32768", "18446744073709551616" },
    memory_out_of_range = { "32768", "1e400" },
    memory_negative = { "32768", "-1" },
    gpu_too_large = { "\"gpu\":1", "\"gpu\":4294967296" },
    gpu_fraction = { "\"gpu\":1", "\"gpu\":0.5" },
    capacity_of_another_type = { "{\"cpu\":16000,\"mem-mb\":32768,\"gpu\":1}", "[1,2]" },
    born_too_large = { "\"born\":17", "\"born\":18446744073709551616" },
    born_out_of_range = { "\"born\":17", "\"born\":1e400" },
    born_in_the_far_future = { "\"born\":17", "\"born\":18446744073709551615" },
    born_negative = { "\"born\":17", "\"born\":-17" },
    born_fraction = { "\"born\":17", "\"born\":17.5" },
    seq_of_another_type = { "\"seq\":4", "\"seq\":[]" },
    seq_too_large = { "\"seq\":4", "\"seq\":18446744073709551616" },
    seq_out_of_range = { "\"seq\":4", "\"seq\":1e400" },
    seq_negative = { "\"seq\":4", "\"seq\":-4" },
    slots_too_large = { "\"slots\":8", "\"slots\":1e300" },
    slots_of_another_type = { "\"slots\":8", "\"slots\":\"8\"" },
    cold_too_large = { "\"cold-left-ms\":0", "\"cold-left-ms\":1e400" },
    cold_negative = { "\"cold-left-ms\":0", "\"cold-left-ms\":-1" },
    remaining_too_large = { "\"slots\":8", "\"remaining-ms\":18446744073709551616" },
    remaining_of_another_type = { "\"slots\":8", "\"remaining-ms\":{}" },
    clock_too_large = { "482113", "18446744073709551616" },
    version_of_another_type = { "\"v1\"", "1" },
    zone_of_another_type = { "\"zone\":\"a\"", "\"zone\":[\"a\"]" },
    state_of_another_type = { "\"ready\"", "true" },
    service_of_another_type = { "\"desk\"", "7" },
    no_service = { "\"desk\"", "\"\"" },
    labels_of_another_type = { "[\"a\",\"r1-3\"]", "\"a\"" },
    label_of_another_type = { "[\"a\",\"r1-3\"]", "[\"a\",13]" },
    odd_escape = { "r1-3", "\\ud800" },
    twice = { "\"slots\":8", "\"state\":\"ready\"" },
    cut_off = { ",\"born\":17}", "" },
)]
fn an_entry_of_another_writer_names_no_worker(from: &str, to: &str) {
    let text = ENTRY.replacen(from, to, 1);
    assert_ne!(text, ENTRY);

    assert!(parse_worker_entry("i", text.as_bytes()).is_err());
}

/// Failure: an entry whose nesting the parser can't hold on its stack ended the process.
#[parameterized(
    entry = { ENTRY },
    service = { "\"desk\"" },
    address = { "\"10.128.0.9:8080\"" },
    label = { "\"r1-3\"" },
    labels = { "[\"a\",\"r1-3\"]" },
    capacity = { "{\"cpu\":16000,\"mem-mb\":32768,\"gpu\":1}" },
    cpu = { "16000" },
    born = { "17" },
    seq = { "4" },
    version = { "\"v1\"" },
)]
fn a_deeply_nested_entry_names_no_worker(from: &str) {
    let objects = "{\"a\":".repeat(MANY_LEVELS) + "1" + &"}".repeat(MANY_LEVELS);
    for value in [brackets(), objects, "[".repeat(MANY_LEVELS)] {
        let text = ENTRY.replacen(from, &value, 1);

        assert!(parse_worker_entry("i", text.as_bytes()).is_err());
    }
}

/// Failure: a worker with a field that this system doesn't know was not used, or ended the process.
#[parameterized(
    nested = { &brackets() },
    number = { "1e400" },
    negative = { "-18446744073709551616" },
    null = { "null" },
)]
fn an_unknown_field_is_ignored_whatever_it_holds(value: &str) {
    let text = ENTRY.replacen("{", &format!("{{\"a-new-field\":{value},"), 1);

    assert!(parse_worker_entry("i", text.as_bytes()).is_ok());
}

/// Failure: a worker was not used because it left out a field that is 0, false or empty, or wrote a
/// whole number of another size.
#[parameterized(
    without_gpu = { ",\"gpu\":1", "" },
    without_counts = { "\"slots\":8,\"state\":\"ready\",\"cold-left-ms\":0", "\"state\":\"ready\"" },
    cold = { "\"cold-left-ms\":0", "\"cold-left-ms\":812.5" },
    draining = { "\"slots\":8", "\"remaining-ms\":4000" },
    largest_capacity = { "16000", "4294967295" },
    no_labels = { "[\"a\",\"r1-3\"]", "[]" },
)]
fn a_usual_entry_names_a_worker(from: &str, to: &str) {
    let text = ENTRY.replacen(from, to, 1);
    assert_ne!(text, ENTRY);

    assert!(parse_worker_entry("i", text.as_bytes()).is_ok());
}

/// Failure: a worker was listed whose id no call can carry, and it was polled in vain for good.
#[parameterized(
    empty = { "" },
    line_break = { "i-7\r\nf" },
    control = { "i-7\u{0}" },
    delete = { "i-7\u{7f}" },
    too_long = { &"i".repeat(201) },
)]
fn an_id_that_no_call_can_carry_names_no_worker(id: &str) {
    assert!(parse_worker_entry(id, ENTRY.as_bytes()).is_err());
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
