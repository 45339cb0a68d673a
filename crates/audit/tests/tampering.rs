//! The audit detects each way of tampering with a collected stream, and accepts a stream that
//! nobody altered.

use std::collections::BTreeMap;

use sycamore_audit::{Chain, Finding, Heads, Record, explain, verify};
use sycamore_core::record::{Decision, Grounds, Verdict};
use sycamore_types::id;
use yare::parameterized;

fn decision(sequence: u64) -> Decision {
    Decision {
        shard: shard(),
        epoch: 1,
        sequence,
        config: 3,
        subject: format!("d-0.{sequence:032x}"),
        team: "a".into(),
        verdict: Verdict::Ended { is_success: true },
    }
}

fn shard() -> id::Shard {
    id::Shard::new("d", 0)
}

/// Returns five records of one chain and the head that the store holds for it.
fn collected_stream() -> (Vec<Record>, BTreeMap<id::Shard, Heads>) {
    let mut chain = Chain::default();
    let records: Vec<Record> = (1..=5).map(|n| chain.append(decision(n), 1_000 + n)).collect();
    let mut heads = BTreeMap::new();
    for (shard, (epoch, head)) in chain.heads() {
        let mut shard_heads = Heads::default();
        shard_heads.set(epoch, head);
        heads.insert(shard, shard_heads);
    }
    (records, heads)
}

fn findings(records: &[Record], heads: &BTreeMap<id::Shard, Heads>) -> Vec<Finding> {
    let lines: Vec<String> =
        records.iter().map(|record| serde_json::to_string(record).unwrap()).collect();
    verify(lines.iter().map(String::as_str), heads)
}

#[allow(clippy::ptr_arg)]
fn change_one(records: &mut Vec<Record>) {
    records[2].decision.team = "b".into();
}

fn drop_one(records: &mut Vec<Record>) {
    records.remove(2);
}

fn drop_last(records: &mut Vec<Record>) {
    records.pop();
}

fn drop_all(records: &mut Vec<Record>) {
    records.clear();
}

#[allow(clippy::ptr_arg)]
fn swap_two(records: &mut Vec<Record>) {
    records.swap(1, 2);
}

fn add_unknown_epoch(records: &mut Vec<Record>) {
    let mut chain = Chain::default();
    let mut decision = decision(1);
    decision.epoch = 0;
    records.push(chain.append(decision, 5));
}

fn rewrite_all(records: &mut Vec<Record>) {
    let mut chain = Chain::default();
    *records = (1..=5).map(|n| chain.append(decision(n), 2_000 + n)).collect();
}

#[parameterized(
    changed = { change_one },
    dropped = { drop_one },
    cut = { drop_last },
    lost = { drop_all },
    reordered = { swap_two },
    invented = { add_unknown_epoch },
    rewritten = { rewrite_all },
)]
fn tampering_is_detected(tamper: fn(&mut Vec<Record>)) {
    let (mut records, heads) = collected_stream();
    assert_eq!(findings(&records, &heads), Vec::new());
    tamper(&mut records);
    assert_ne!(findings(&records, &heads), Vec::new());
}

#[test]
fn a_decision_is_explained() {
    let (records, _) = collected_stream();
    let lines: Vec<String> =
        records.iter().map(|record| serde_json::to_string(record).unwrap()).collect();
    let subject = records[3].decision.subject.clone();
    let explanation = explain(lines.iter().map(String::as_str), &subject);
    assert_eq!(explanation.len(), 1);
    assert!(explanation[0].contains("of team a ended well"), "{}", explanation[0]);
}

#[test]
fn the_reason_for_which_a_job_was_given_up_is_explained() {
    let given_up = Decision { verdict: Verdict::GivenUp { crashes: 2 }, ..decision(1) };
    let subject = given_up.subject.clone();
    let line = serde_json::to_string(&Chain::default().append(given_up, 1_000)).unwrap();

    let explanation = explain([line.as_str()].into_iter(), &subject);

    assert!(explanation[0].contains("given up: 2 workers crashed or were lost"));
}

/// Guards against a preemption that the audit can't explain.
#[test]
fn the_beneficiary_and_the_cost_of_a_preemption_are_explained() {
    let verdict = Verdict::PreemptedFor {
        host: "h".into(),
        attempt: 2,
        beneficiary: "7.0.0".to_string(),
        cost_core_ms: 850,
    };
    let preempted = Decision { verdict, ..decision(1) };
    let subject = preempted.subject.clone();
    let line = serde_json::to_string(&Chain::default().append(preempted, 1_000)).unwrap();

    let explanation = explain([line.as_str()].into_iter(), &subject);

    let expected = "attempt 2 stopped on h to make room for 7.0.0, at a cost of 850";
    assert!(explanation[0].contains(expected), "{}", explanation[0]);
}

/// Guards against false findings: when some shares lost precision in JSON, 963 of 16,941
/// unaltered records of a simulated day were reported as changed.
#[test]
fn fractions_survive_a_json_round_trip() {
    let mut chain = Chain::default();
    let placed = |sequence: u64| {
        let grounds = Grounds {
            place: 1,
            waiting: 2,
            priority: 0,
            slack_ms: -5,
            waited_ms: 7,
            share: sequence as f64 * 0.010_817_057_291_666_667,
            is_over_share: false,
            is_hopeless: false,
            free_cpu_millis: 9_600,
            report_age_ms: 20,
            ticket_left_ms: None,
            usage_factor: Some(sequence as f64 / 4_001.0),
            turn_wait_ms: None,
        };
        let verdict = Verdict::Placed { host: "h".into(), attempt: 1, grounds };
        Decision { verdict, ..decision(sequence) }
    };

    let records: Vec<Record> = (1..=2_000).map(|n| chain.append(placed(n), n)).collect();

    assert_eq!(findings(&records, &BTreeMap::new()), []);
}
