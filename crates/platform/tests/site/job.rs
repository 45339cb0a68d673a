//! Parsing of submitted jobs and rendering of responses to callers.

use sycamore_graph::job::State;
use sycamore_platform::site::{parse_job, render_count, render_state};
use yare::parameterized;

#[test]
fn parses_the_documented_submission() {
    let body = br#"{"spec":"(text)","steps":[
      {"count":4,"cpu":500,"mem-mb":256,"est-ms":900,"affinity":"r1-3"},
      {"count":20,"cpu":2000,"mem-mb":1024,"est-ms":7000,"after":[0],"checkpointing":true,
       "gang":true,"same-rack":true,"constraints":"a","max-per-server":2,"unknown":1}]}"#;

    let spec = parse_job(body).unwrap();

    assert_eq!(spec.steps[0].data_rack.as_deref(), Some("r1-3"));
    let second = &spec.steps[1];
    assert_eq!((second.tasks, second.size.memory_mib, second.max_per_host), (20, 1_024, 2));
    assert!(second.is_gang && second.prefers_one_rack && second.is_checkpointing);
    assert_eq!(second.required_label.as_deref(), Some("a"));
    assert_eq!(second.after, [0]);
    assert_eq!(spec.schedule, None);
}

#[test]
fn parses_a_schedule() {
    let body =
        br#"{"spec":"","steps":[{"count":1}],"times":3,"start-at-ms":1000,"interval-ms":50}"#;

    let schedule = parse_job(body).unwrap().schedule.unwrap();

    assert_eq!(
        (schedule.first_unix_ms, schedule.interval_ms, schedule.occurrences),
        (1_000, 50, 3)
    );
}

#[parameterized(
    invalid_json = { r#"{"steps":"#, "malformed" },
    wrong_type = { r#"{"steps":[{"count":"four"}]}"#, "malformed" },
    negative = { r#"{"steps":[{"count":1,"cpu":-1}]}"#, "malformed" },
    no_steps = { r#"{"spec":"x","steps":[]}"#, "steps" },
    no_tasks = { r#"{"steps":[{"count":0}]}"#, "no tasks" },
    later_step = { r#"{"steps":[{"count":1,"after":[1]},{"count":1}]}"#, "earlier" },
    same_step = { r#"{"steps":[{"count":1,"after":[0]}]}"#, "earlier" },
    too_many = { r#"{"steps":[{"count":10001}]}"#, "10000" },
    too_many_services = { r#"{"steps":[{"count":5,"long-running":true}],"times":2001,"interval-ms":1}"#, "10000" },
    no_interval = { r#"{"steps":[{"count":1}],"times":2}"#, "interval" },
)]
fn rejects_invalid_submissions_with_a_reason(body: &str, expected: &str) {
    let error = parse_job(body.as_bytes()).unwrap_err().to_string();

    assert!(error.contains(expected), "{error}");
}

/// The number of times has no limit of its own: occurrences wait as a number.
#[test]
fn accepts_any_number_of_occurrences_that_end() {
    let body = br#"{"steps":[{"count":5}],"times":4294967295,"interval-ms":1}"#;

    assert!(parse_job(body).is_ok());
}

/// Failure: steps beyond the limit were read as well, at a hundred times the memory of their text.
#[test]
fn reads_no_more_steps_than_a_job_may_have() {
    let steps = |count| vec![r#"{"count":1}"#; count].join(",");
    let body = |count, end| format!(r#"{{"steps":[{}{end}"#, steps(count));

    let error = parse_job(body(257, "nonsense").as_bytes()).unwrap_err().to_string();

    assert!(error.contains("between 1 and 256 steps"), "{error}");
    assert!(parse_job(body(256, "]}").as_bytes()).is_ok());
}

#[test]
fn rejects_a_payload_over_the_limit() {
    let body = format!(r#"{{"spec":"{}","steps":[{{"count":1}}]}}"#, "x".repeat(4_001));

    assert!(parse_job(body.as_bytes()).is_err());
}

#[test]
fn renders_states_and_counts() {
    assert_eq!(render_state(State::Complete), r#"{"state":"complete"}"#);
    assert_eq!(render_count(12), r#"{"pending":12}"#);
}
