//! Steps that wait although workers are idle, because other steps come first or keep the room.

use std::sync::Arc;

use sycamore_graph::Event;
use sycamore_graph::catalog::{AdviceCost, Queue};
use sycamore_graph::job::{State, Step};
use sycamore_types::Name;

use crate::fixture::{catalog, host, id, job, queue, step};
use crate::world::World;

/// Time within which accepted work has to start while less than half of the capacity is in use and
/// there is room for it twice over, in milliseconds.
const START_BOUND_MS: u64 = 3_000;

/// Time for which crashed workers are down, in milliseconds.
const CRASH_MS: u64 = 3_000;

/// Time without a disruption before the bound holds, in milliseconds.
const CALM_MS: u64 = 4_000;

const LABEL: &str = "rare";

/// Returns a step whose objective lasts longer than the tests.
fn long(tasks: u32, cpu_millis: u32) -> Step {
    Step { estimate_ms: 60_000, ..step(tasks, cpu_millis) }
}

fn long_gang(tasks: u32, cpu_millis: u32) -> Step {
    Step { is_gang: true, ..long(tasks, cpu_millis) }
}

/// A pass ended after 300 failed searches and the next one began with the same steps, so that accepted
/// steps behind them never started although most workers were idle: rule LOST.
#[test]
fn steps_behind_many_that_find_no_room_start() {
    let mut catalog = catalog(queue());
    catalog.queues.insert("later".into(), Queue { priority: 1, ..queue() });
    let mut world = World::new(8, catalog, 1);
    let mut labelled = host(8);
    labelled.labels = Arc::from([Name::from(LABEL)]);
    world.add_worker(labelled);
    world.run(100);
    world.work_ms = 60_000;
    // All of them want the one worker that has the label.
    for number in 0..320 {
        let bound = Step { required_label: Some(Name::from(LABEL)), ..long(1, 4_000) };
        world.submit(id(100 + number), job(vec![bound]));
    }
    world.run(200);
    world.work_ms = 200;

    world.submit_to("later", id(1), job(vec![long(1, 1_000)]));
    world.run(START_BOUND_MS + 300);

    assert_eq!(world.state(id(1)), Some(State::Complete), "{} steps wait", world.waits().len());
}

/// The same for steps whose start has no value any more: passes ended before they came to them, and
/// the next slice of them began behind those that had not been looked at.
#[test]
fn late_steps_behind_many_that_find_no_room_start() {
    let mut world = World::new(8, catalog(queue()), 1);
    let mut labelled = host(8);
    labelled.labels = Arc::from([Name::from(LABEL)]);
    world.add_worker(labelled);
    world.run(100);
    world.work_ms = 60_000;
    world.submit(id(2), job(vec![long(9, 4_000)]));
    world.run(100);
    // Waits until it has no value any more, after three times 2 x 500 + 1000 ms.
    world.submit(id(1), job(vec![step(1, 1_000)]));
    for number in 0..320 {
        let bound = Step { required_label: Some(Name::from(LABEL)), ..long(1, 4_000) };
        world.submit(id(100 + number), job(vec![bound]));
    }
    world.run(6_100);

    world.work_ms = 200;
    world.cancel(id(2));
    world.run(START_BOUND_MS + 300);

    assert_eq!(world.state(id(1)), Some(State::Complete), "{} steps wait", world.waits().len());
}

/// A pass ended after 300 gangs that waited for a call for advice, so that steps that need none never
/// started although all workers were idle.
#[test]
fn steps_behind_many_gangs_that_wait_for_advice_start() {
    let advice = AdviceCost { base_ms: 540.0, per_host_ms: 7.7, valid_ms: 1_500 };
    let mut catalog = catalog(Queue { advice: Some(advice), ..queue() });
    catalog.queues.insert("plain".into(), Queue { priority: 1, ..queue() });
    let mut world = World::new(8, catalog, 1);
    world.handle(Event::AdviceConcurrency([0; 3]));
    for number in 0..320 {
        world.submit(id(100 + number), job(vec![long_gang(2, 1_000)]));
    }

    world.submit_to("plain", id(1), job(vec![long(1, 1_000)]));
    world.run(START_BOUND_MS + 300);

    assert_eq!(world.state(id(1)), Some(State::Complete), "{} steps wait", world.waits().len());
}

/// The first gang that waited kept all free room, although services took up room that it needed, so
/// that it never started and nothing else did: rule LOST.
#[test]
fn a_gang_that_waits_for_lasting_tasks_does_not_keep_all_room() {
    let mut catalog = catalog(queue());
    catalog.queues.insert("later".into(), Queue { priority: 1, ..queue() });
    let mut world = World::new(12, catalog, 1);
    world.work_ms = 600_000;
    let lasting = Step { is_service: true, max_per_host: 1, ..long(12, 1_000) };
    world.submit(id(1), job(vec![lasting]));
    world.run(100);
    world.work_ms = 200;
    world.submit(id(10), job(vec![long_gang(12, 4_000)]));
    world.run(100);

    world.submit_to("later", id(2), job(vec![step(12, 1_000)]));
    world.run(START_BOUND_MS + 300);

    assert_eq!(world.state(id(2)), Some(State::Complete), "{}", world.describe_waits());
}

/// The first gang that waited kept all free room until long tasks had ended, while a quarter of the
/// capacity was in use: rule LOST.
#[test]
fn a_gang_that_waits_for_long_tasks_does_not_keep_all_room() {
    let mut catalog = catalog(queue());
    catalog.queues.insert("later".into(), Queue { priority: 1, ..queue() });
    let mut world = World::new(12, catalog, 1);
    world.work_ms = 60_000;
    world.submit(id(1), job(vec![Step { max_per_host: 1, ..long(12, 1_000) }]));
    world.run(100);
    world.work_ms = 200;
    world.submit(id(10), job(vec![long_gang(12, 4_000)]));
    world.run(100);

    world.submit_to("later", id(2), job(vec![step(12, 1_000)]));
    world.run(START_BOUND_MS + 300);

    assert_eq!(world.state(id(2)), Some(State::Complete), "{}", world.describe_waits());
}

/// Submits a step that waits for a worker without best-effort tasks behind 100 others, for which no
/// worker can be cleared.
fn assert_searches_take_turns(dispatch_interval_ms: u64) {
    let mut catalog = catalog(queue());
    catalog.queues.insert("later".into(), Queue { priority: 1, ..queue() });
    let mut world = World::new(8, catalog, 1);
    let mut labelled = host(8);
    labelled.labels = Arc::from([Name::from(LABEL)]);
    world.add_worker(labelled);
    world.run(100);
    world.work_ms = 600_000;
    let bound = || Some(Name::from(LABEL));
    let best_effort = |tasks| Step { is_best_effort: true, is_service: true, ..long(tasks, 1_000) };
    // No run of this step may be stopped.
    let fixed = Step { required_label: bound(), max_unavailable: Some(0), ..best_effort(1) };
    world.submit(id(1), job(vec![fixed]));
    world.run(100);
    world.submit(id(2), job(vec![best_effort(32)]));
    world.run(100);
    for number in 0..100 {
        let blocked = Step { required_label: bound(), latency_objective_ms: 50, ..long(1, 1_000) };
        world.submit(id(100 + number), job(vec![blocked]));
    }
    world.dispatch_interval_ms = dispatch_interval_ms;
    world.run(1_000);
    world.work_ms = 200;

    let open = Step { latency_objective_ms: 50, ..long(1, 1_000) };
    world.submit_to("later", id(3), job(vec![open]));
    world.run(START_BOUND_MS + 300);

    assert_eq!(world.state(id(3)), Some(State::Complete), "{} steps wait", world.waits().len());
    assert!(!world.cleared.is_empty());
}

/// Guards against steps of higher rank, for which no worker can be cleared, that use all searches of
/// each pass: the step behind them would wait for as long as the best-effort tasks run.
#[test]
fn a_step_behind_many_that_find_no_host_to_clear_gets_a_search() {
    assert_searches_take_turns(0);
}

/// The same on a large site, where passes follow each other after 100 ms and more: the pauses of the
/// same eight steps were over by then.
#[test]
fn searches_for_hosts_to_clear_take_turns_in_rare_passes() {
    assert_searches_take_turns(120);
}

/// Tasks that had just started on workers that crashed waited for one of the workers that may have
/// isolated runs, one task on each, while an eighth of the capacity was in use: rule LOST.
#[test]
fn innocent_tasks_of_crashed_workers_start_while_most_workers_are_idle() {
    let mut world = World::new(12, catalog(queue()), 1);
    world.work_ms = 2_000;
    for number in 0..12 * 20 {
        world.submit(id(number), job(vec![Step { estimate_ms: 2_000, ..step(1, 200) }]));
    }
    while world.running() < 12 * 20 {
        world.run(5);
    }
    world.run(100);
    (0..6).for_each(|at| world.crash_worker(at, CRASH_MS));

    world.run(CRASH_MS + CALM_MS + START_BOUND_MS);

    let waits = world.waits();
    assert_eq!(waits.len(), 0, "{} tasks run, {:?}", world.running(), waits.first());
}
