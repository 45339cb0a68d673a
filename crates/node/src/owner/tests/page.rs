//! The format of log pages, which processes of other builds read.

use sycamore_graph::catalog::{AdviceCost, Queue};
use sycamore_graph::job::{Id, Spec, State, Step};
use sycamore_graph::{
    Closed, Ended, QueueDefined, Record, RunEnd, Snapshot, StepId, TaskId, TeamUse,
};
use sycamore_types::Name;
use sycamore_types::resources::Resources;

use super::super::page;

/// [`former_records`] as a page, in hexadecimal digits, written by the build at dfb73f0.
const FORMER_PAGE: &str = "08000706636865636b7306636c65726b73fc40420f0004776f726b0202fbf40140000000fb8403000000000000\
     0000000000000002fbf40140000000fb8403010000000000000000000000000000010700010103070468616c66\
     020706636865636b7306636c65726b7304fc40420f000307686f73742d3031fba00ffba00f0000000407686f73\
     742d30310107000101040507686f73742d3031060706636865636b7306636c65726b73fc40420f0004776f726b\
     0202fbf40140000000fb84030000000000000000000000000002fbf40140000000fb8403010000000000000000\
     00000000000001010700010100020102030468616c6607fc40420f000106636c65726b730000000000002940";

/// [`definition`] as it is stored beside a page.
const DEFINITION: &str = r#"[{"name":"checks","version":9,"queue":{"service":"desk","priority":2,"max_attempts":3,"slack_factor":1.5,"objective_ms":1000,"advice":{"base_ms":2.5,"per_host_ms":0.5,"valid_ms":1500}}}]"#;

fn digits(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn bytes(digits: &str) -> Vec<u8> {
    let at = |at| u8::from_str_radix(&digits[at..at + 2], 16).expect("two digits");
    (0..digits.len()).step_by(2).map(at).collect()
}

fn spec() -> Spec {
    let size = Resources { cpu_millis: 500, memory_mib: 64, ..Resources::default() };
    let step = Step { tasks: 2, size, estimate_ms: 900, ..Step::default() };
    let second = Step { after: vec![0], ..step.clone() };
    Spec { payload: Name::from("work"), steps: vec![step, second], schedule: None }
}

/// One record of each kind that the version before the definitions of queues wrote.
fn former_records() -> Vec<Record> {
    let (job, queue, team) = (Id(7), Name::from("checks"), Name::from("clerks"));
    let (host, at_unix_ms) = (Name::from("host-01"), 1_000_000);
    let step = StepId { job, occurrence: 0, index: 1 };
    let task = TaskId { step, index: 1 };
    let capacity = Resources { cpu_millis: 4_000, memory_mib: 4_000, ..Resources::default() };
    let checkpoint = Name::from("half");
    vec![
        Record::Accepted {
            job,
            queue: queue.clone(),
            team: team.clone(),
            at_unix_ms,
            spec: spec(),
        },
        Record::Ended(Ended { task, attempt: 3, how: RunEnd::Collateral, checkpoint }),
        Record::Closed(Closed {
            job,
            queue: queue.clone(),
            team: team.clone(),
            state: State::Cancelled,
            at_unix_ms,
        }),
        Record::HostUsed { host: host.clone(), capacity },
        Record::HostLeaving { host: host.clone(), runs: vec![(task, 4)] },
        Record::HostReleased { host },
        Record::Snapshot(Snapshot {
            job,
            queue,
            team: team.clone(),
            at_unix_ms,
            spec: spec(),
            has_started: true,
            tasks: vec![(step, 1, false, vec![1, 2], 3, Name::from("half"))],
        }),
        Record::TeamUse(TeamUse { at_unix_ms, teams: vec![(team, 12.5)] }),
    ]
}

/// Failure: a page of a newer build is taken for a shorter one, without the jobs behind the record
/// that can't be read.
#[test]
fn a_page_with_an_unknown_kind_of_record_is_not_read() {
    let after_the_last_kind = bytes("0109");

    assert!(page::decode(&after_the_last_kind).is_err());
}

fn definition() -> QueueDefined {
    let advice = AdviceCost { base_ms: 2.5, per_host_ms: 0.5, valid_ms: 1_500 };
    let queue = Queue {
        service: Name::from("desk"),
        priority: 2,
        max_attempts: 3,
        slack_factor: 1.5,
        objective_ms: 1_000,
        advice: Some(advice),
    };
    QueueDefined { name: Name::from("checks"), version: 9, queue }
}

/// Failure: a new kind of record or field changes how the log of an older build is read.
#[test]
fn a_page_of_the_version_before_is_read() {
    let records = page::decode(&bytes(FORMER_PAGE)).expect("a page");

    assert_eq!(records, former_records());
}

/// Failure: an older build can't read a page with the definition of a queue, and can't own any more.
#[test]
fn definitions_of_queues_leave_the_page_as_older_builds_read_it() {
    let mut records = former_records();
    records.insert(2, Record::QueueDefined(definition()));

    let (definitions, others) = page::split_off_queues(records);

    assert_eq!(digits(&page::encode(&others).expect("a page")), FORMER_PAGE);
    assert_eq!(definitions, [definition()]);
}

/// Failure: an older build takes definitions for a page, or they are read as those of another one.
#[test]
fn the_key_of_definitions_is_no_key_of_a_page() {
    let key = page::queues_key(12);

    assert_eq!((page::number(&key), page::number_of_queues(&key)), (None, Some(12)));
    assert_eq!(page::number_of_queues(&page::key(12)), None);
}

/// Failure: definitions that an earlier build has stored are not read any more.
#[test]
fn stored_definitions_of_queues_keep_their_format() {
    let stored = page::encode_queues(&[definition()]).expect("definitions");

    assert_eq!(String::from_utf8_lossy(&stored), DEFINITION);
    assert_eq!(page::decode_queues(&stored).expect("definitions"), [definition()]);
}
