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
fn collected() -> (Vec<Record>, BTreeMap<id::Shard, Heads>) {
    let mut chain = Chain::default();
    let records: Vec<Record> = (1..=5).map(|at| chain.append(decision(at), 1_000 + at)).collect();
    let mut heads = BTreeMap::new();
    for (shard, (epoch, head)) in chain.heads() {
        let mut of_shard = Heads::default();
        of_shard.set(epoch, head);
        heads.insert(shard, of_shard);
    }
    (records, heads)
}

fn check(records: &[Record], heads: &BTreeMap<id::Shard, Heads>) -> Vec<Finding> {
    let lines: Vec<String> =
        records.iter().map(|record| serde_json::to_string(record).unwrap()).collect();
    verify(lines.iter().map(String::as_str), heads)
}

#[allow(clippy::ptr_arg)]
fn change(records: &mut Vec<Record>) {
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
fn reorder(records: &mut Vec<Record>) {
    records.swap(1, 2);
}

fn invent(records: &mut Vec<Record>) {
    let mut chain = Chain::default();
    let mut decision = decision(1);
    decision.epoch = 0;
    records.push(chain.append(decision, 5));
}

fn rewrite(records: &mut Vec<Record>) {
    let mut chain = Chain::default();
    *records = (1..=5).map(|at| chain.append(decision(at), 2_000 + at)).collect();
}

#[parameterized(
    changed = { change },
    dropped = { drop_one },
    cut = { drop_last },
    lost = { drop_all },
    reordered = { reorder },
    invented = { invent },
    rewritten = { rewrite },
)]
fn tampering_is_found(tamper: fn(&mut Vec<Record>)) {
    let (mut records, heads) = collected();
    assert_eq!(check(&records, &heads), Vec::new());
    tamper(&mut records);
    assert_ne!(check(&records, &heads), Vec::new());
}

#[test]
fn a_decision_is_explained() {
    let (records, _) = collected();
    let lines: Vec<String> =
        records.iter().map(|record| serde_json::to_string(record).unwrap()).collect();
    let subject = records[3].decision.subject.clone();
    let told = explain(lines.iter().map(String::as_str), &subject);
    assert_eq!(told.len(), 1);
    assert!(told[0].contains("of team a ended well"), "{}", told[0]);
}

/// Guards against false findings: when some shares lost precision in JSON, 963 of 16,941
/// unaltered records of a simulated day were reported as changed.
#[test]
fn fractions_survive_the_way_through_json() {
    let mut chain = Chain::default();
    let placed = |at: u64| {
        let grounds = Grounds {
            place: 1,
            waiting: 2,
            priority: 0,
            slack_ms: -5,
            waited_ms: 7,
            share: at as f64 * 0.010_817_057_291_666_667,
            is_over_share: false,
            is_hopeless: false,
            free_cpu_millis: 9_600,
            report_age_ms: 20,
            ticket_left_ms: None,
        };
        let verdict = Verdict::Placed { host: "h".into(), attempt: 1, grounds };
        Decision { verdict, ..decision(at) }
    };

    let records: Vec<Record> = (1..=2_000).map(|at| chain.append(placed(at), at)).collect();

    assert_eq!(check(&records, &BTreeMap::new()), []);
}
