//! Size of orders and results, and that each kind survives its encoding.

use std::net::SocketAddr;

use sycamore_graph::job::Id;
use sycamore_graph::{Report, RunEnd, StartOutcome, StepId, TaskId};
use sycamore_platform::site::CallOutcome;
use sycamore_types::Name;
use sycamore_wire::encode_frame;

use super::super::order::{Order, OrderBatch, OrderResult, ResultBatch, WorkerCall, WorkerOutcome};

fn task(index: u32) -> TaskId {
    TaskId { step: StepId { job: Id(u64::MAX), occurrence: 0, index: 1 }, index }
}

fn poll() -> Order {
    Order {
        id: 1_000_000,
        host: Name::from("worker-0001"),
        address: SocketAddr::from(([10, 1, 2, 3], 8_080)),
        call: WorkerCall::Poll { ack: 1_000, deadline_ms: Some(1_000_000_000), wait_ms: 1_000 },
    }
}

/// A worker's report with four runs and one end.
fn report() -> OrderResult {
    let running = (0..4).map(|index| (task(index), 1, Name::from("4500"), 50)).collect();
    let ended = vec![(1_001, task(4), 1, RunEnd::Done, Name::from(""))];
    let report = Report {
        incarnation: 1_796_404_255_825,
        clock_ms: 1_000_000_000,
        running,
        ended,
        is_truncated: false,
    };
    OrderResult { id: 1_000_000, outcome: WorkerOutcome::Polled(report) }
}

fn encoded_len(orders: Vec<Order>) -> usize {
    let batch = OrderBatch { epoch: 5, number: 1_000_000, wants_receipt: true, orders };
    encode_frame(&batch).expect("a valid batch").len()
}

/// The design note counts with these sizes at 3,000 workers.
#[test]
fn polls_and_reports_are_small() {
    let results = ResultBatch { results: vec![report()], ..ResultBatch::default() };

    let sizes = (
        encoded_len(vec![poll()]) - encoded_len(Vec::new()),
        encode_frame(&results).expect("a valid batch").len(),
    );

    assert!(sizes.0 <= 48, "{sizes:?}");
    assert!(sizes.1 <= 160, "{sizes:?}");
}

/// The engine's types are encoded field by field; a field or variant that is left out or moved
/// would give the engine another outcome.
#[test]
fn outcomes_survive_their_encoding() {
    let outcomes = [
        StartOutcome::Started,
        StartOutcome::Rejected,
        StartOutcome::Fenced,
        StartOutcome::NoRoom,
        StartOutcome::BadTicket,
        StartOutcome::Gone,
        StartOutcome::Unknown,
    ]
    .map(|outcome| WorkerOutcome::Started { outcome, clock_ms: 7 });
    let failures = [
        CallOutcome::Taken,
        CallOutcome::Gone,
        CallOutcome::Fenced,
        CallOutcome::Refused,
        CallOutcome::Unknown,
    ];
    let mut all: Vec<WorkerOutcome> = outcomes.into();
    all.extend(failures.map(WorkerOutcome::Stopped));
    all.extend(failures.map(WorkerOutcome::PollFailed));
    all.push(report().outcome);
    let results = all.into_iter().map(|outcome| OrderResult { id: 1, outcome }).collect();
    let batch = ResultBatch { receipt: Some(3), is_leaving: true, newer_owner: None, results };

    let config = bincode::config::standard();
    let bytes = bincode::serde::encode_to_vec(&batch, config).expect("a valid batch");
    let (decoded, _): (ResultBatch, usize) =
        bincode::serde::decode_from_slice(&bytes, config).expect("a valid encoding");

    assert_eq!(format!("{decoded:?}"), format!("{batch:?}"));
}
