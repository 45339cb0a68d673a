//! Runs the checker on short histories, valid ones and some that violate an invariant.

use sycamore_soak::{Entry, Event, Invariant, Job, Probe, ReportedState, Step, check};
use sycamore_standin::fenced::Observation;

const ID: u64 = 0xa1;

fn job() -> Job {
    let step = |is_after| Step { tasks: 1, cpu_millis: 5_000, is_after };
    Job {
        id: ID,
        team: 0,
        steps: vec![step(false), step(true)],
        work_ms: 100,
        failing: 0,
        is_deadly: false,
        at_ms: 0,
        cancel_after_ms: None,
    }
}

fn task(step: u32) -> String {
    format!("{ID:016x}.0.{step}.0")
}

fn started(step: u32, attempt: u64) -> Event {
    let observation = Observation::Started { task: task(step), attempt, payload: job().payload() };
    Event::Worker("one".to_string(), observation)
}

fn ended(step: u32, attempt: u64, how: &'static str) -> Event {
    Event::Worker("one".to_string(), Observation::Ended { task: task(step), attempt, how })
}

fn acknowledged(step: u32, attempt: u64, how: &'static str) -> Event {
    Event::Worker("one".to_string(), Observation::Noted { task: task(step), attempt, how })
}

/// Returns the violated invariants of a history whose events are one second apart.
fn violated_invariants(events: Vec<Event>) -> Vec<Invariant> {
    let entry = |(at, event): (usize, Event)| Entry { at_ms: 1_000 * at as u64, event };
    let entries: Vec<Entry> = events.into_iter().enumerate().map(entry).collect();
    check(&[job()], &entries).into_iter().map(|violation| violation.invariant).collect()
}

fn accepted() -> Vec<Event> {
    vec![Event::Sent(ID), Event::Answered(ID, Some(200))]
}

fn violated_after_acceptance(events: Vec<Event>) -> Vec<Invariant> {
    violated_invariants(accepted().into_iter().chain(events).collect())
}

#[test]
fn a_job_that_runs_normally_violates_nothing() {
    let events = vec![
        started(0, 1),
        ended(0, 1, "done"),
        acknowledged(0, 1, "done"),
        started(1, 1),
        ended(1, 1, "done"),
        Event::Shown(ID, ReportedState::Complete),
    ];
    assert_eq!(violated_after_acceptance(events), []);
}

#[test]
fn a_second_run_at_the_same_time_is_a_violation() {
    assert!(
        violated_after_acceptance(vec![started(0, 1), started(0, 2)]).contains(&Invariant::Once)
    );
}

#[test]
fn a_run_after_an_acknowledged_end_is_a_violation_in_either_order() {
    let before =
        vec![started(0, 1), ended(0, 1, "done"), acknowledged(0, 1, "done"), started(0, 2)];
    let after = vec![started(0, 1), ended(0, 1, "done"), started(0, 2), acknowledged(0, 1, "done")];
    assert!(violated_after_acceptance(before).contains(&Invariant::Once));
    assert!(violated_after_acceptance(after).contains(&Invariant::Once));
}

#[test]
fn a_run_after_an_unacknowledged_end_does_not_violate_once() {
    // A worker that loses power forgets the ends of its runs, so the task has to run again.
    let again = [ended(0, 2, "done"), acknowledged(0, 2, "done")];
    let events =
        [started(0, 1), ended(0, 1, "done"), started(0, 2)].into_iter().chain(again).collect();
    assert_eq!(violated_after_acceptance(events), [Invariant::Kept]);
}

/// The worker of the first run lost power before its end was acknowledged, so that the next
/// owner numbers the run anew. Found in round 754.
#[test]
fn an_attempt_that_is_numbered_anew_on_another_worker_does_not_violate_once() {
    let on_other_worker = |event| match event {
        Event::Worker(_, observation) => Event::Worker("two".to_string(), observation),
        event => event,
    };
    let again = [started(0, 1), ended(0, 1, "done"), acknowledged(0, 1, "done")];
    let events = [started(0, 1), ended(0, 1, "done")]
        .into_iter()
        .chain(again.into_iter().map(on_other_worker))
        .collect();
    assert_eq!(violated_after_acceptance(events), [Invariant::Kept]);
}

#[test]
fn a_step_before_the_one_it_depends_on_is_a_violation() {
    assert!(violated_after_acceptance(vec![started(1, 1)]).contains(&Invariant::Order));
}

#[test]
fn exceeding_the_capacity_of_a_worker_is_a_violation() {
    let events = vec![started(0, 1), ended(0, 1, "done"), started(0, 2), started(1, 1)];
    assert!(violated_after_acceptance(events).contains(&Invariant::Capacity));
}

#[test]
fn a_refused_job_that_runs_is_a_violation() {
    let events = vec![Event::Sent(ID), Event::Answered(ID, Some(503)), started(0, 1)];
    assert!(violated_invariants(events).contains(&Invariant::Refused));
}

#[test]
fn a_job_that_was_not_submitted_is_a_violation() {
    assert!(violated_invariants(vec![started(0, 1)]).contains(&Invariant::Asked));
}

#[test]
fn a_start_long_after_a_cancel_is_a_violation() {
    let mut events = vec![Event::CancelSent(ID), Event::Cancelled(ID)];
    events.extend((0..3).map(|_| Event::Shown(ID, ReportedState::Cancelled)));
    events.push(started(0, 1));
    assert_eq!(violated_after_acceptance(events), [Invariant::Asked]);
}

#[test]
fn a_job_without_an_end_is_a_violation() {
    assert_eq!(
        violated_after_acceptance(vec![Event::Shown(ID, ReportedState::Open)]),
        [Invariant::Kept]
    );
}

#[test]
fn an_accepted_job_that_is_unknown_is_a_violation() {
    let events = (0..4).map(|_| Event::Shown(ID, ReportedState::Unknown)).collect();
    assert!(violated_after_acceptance(events).contains(&Invariant::Kept));
}

#[test]
fn a_false_state_is_a_violation() {
    assert!(
        violated_after_acceptance(vec![Event::Shown(ID, ReportedState::Complete)])
            .contains(&Invariant::Truth)
    );
    assert!(
        violated_after_acceptance(vec![Event::Shown(ID, ReportedState::Failed)])
            .contains(&Invariant::Truth)
    );
    assert!(
        violated_after_acceptance(vec![Event::Shown(ID, ReportedState::Cancelled)])
            .contains(&Invariant::Truth)
    );
}

/// A process was asked for a version at a time.
fn probed(version: u64, sent_ms: u64, is_known: bool) -> Event {
    Event::Probed(Probe { process: 0, version, sent_ms, is_known })
}

/// A version was written that has to be in force after 3 s.
fn written(version: u64) -> Event {
    Event::ConfigWritten(version, 3_000)
}

#[test]
fn a_version_that_is_not_in_force_in_time_is_a_violation() {
    let late = |sent_ms| vec![written(2), probed(2, sent_ms, false)];

    // Without faults a version has 4 s from the start of the round, and 3 s more.
    assert_eq!(violated_invariants(late(7_000)), []);
    assert_eq!(violated_invariants(late(7_001)), [Invariant::Fresh]);
}

#[test]
fn a_version_may_be_late_during_a_fault_and_soon_after_it() {
    let during = vec![written(2), Event::FaultBegan, probed(2, 60_000, false)];
    let faults = [written(2), Event::FaultBegan, Event::FaultEnded];
    let after = |sent_ms| [&faults[..], &[probed(2, sent_ms, false)]].concat();

    assert_eq!(violated_invariants(during), []);
    assert_eq!(violated_invariants(after(9_000)), []);
    assert_eq!(violated_invariants(after(9_001)), [Invariant::Fresh]);
}

#[test]
fn a_version_that_comes_back_older_is_a_violation() {
    let back = [written(2), probed(2, 1_000, true), probed(2, 2_000, false)];
    let restarted = [Event::Started(0), probed(2, 1_000, true), Event::Started(0)];

    assert_eq!(violated_invariants(back.to_vec()), [Invariant::Forward]);
    assert_eq!(violated_invariants([&restarted[..], &back[2..]].concat()), []);
}
