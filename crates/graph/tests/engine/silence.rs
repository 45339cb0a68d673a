//! Workers that are only silent, slow to report or missing from the list for a while. Their
//! running tasks go on, and the ends of these count.

use sycamore_graph::job::State;
use sycamore_graph::{Event, Report};
use sycamore_types::Name;

use crate::fixture::{catalog, id, job, queue, step};
use crate::world::World;

/// A world of two workers that run eight tasks of 2 s each.
fn busy_world() -> World {
    let mut world = World::new(2, catalog(queue()), 1);
    world.work_ms = 2_000;
    world.submit(id(1), job(vec![step(8, 1_000)]));
    world.run(300);
    assert_eq!(world.running(), 8);
    world
}

fn assert_ran_once(world: &mut World) {
    assert_eq!(world.state(id(1)), Some(State::Complete));
    assert_eq!(world.oracle.starts, 8);
}

#[test]
fn an_empty_list_of_workers_ends_no_run() {
    let mut world = busy_world();

    world.handle(Event::Listed(Vec::new()));
    world.run(1_000);
    world.list_hosts();
    world.run(2_000);

    assert_ran_once(&mut world);
}

#[test]
fn a_list_without_one_worker_ends_none_of_its_runs() {
    let mut world = busy_world();
    let entry = world.workers[1].entry.clone();

    world.handle(Event::Listed(vec![entry]));
    world.run(4_000);

    assert_ran_once(&mut world);
}

#[test]
fn a_worker_that_is_silent_for_less_than_its_lease_keeps_its_runs() {
    let mut world = busy_world();

    world.workers[0].is_unreachable = true;
    world.run(4_500);
    world.workers[0].is_unreachable = false;
    world.run(1_500);

    assert_ran_once(&mut world);
}

#[test]
fn a_report_of_an_older_incarnation_is_ignored() {
    let mut world = busy_world();
    world.workers[0].entry.incarnation = 5;
    world.workers[0].runs.clear();
    world.list_hosts();
    world.run(300);
    let running = world.running();

    let old = Report { incarnation: 1, clock_ms: world.now_ms, ..Report::default() };
    world.handle(Event::Polled { host: Name::from("host-00"), poll: 1, report: old });
    world.run(100);

    assert_eq!(world.running(), running);
    world.run(4_000);
    assert_eq!(world.state(id(1)), Some(State::Complete));
}

#[test]
fn a_report_that_arrives_late_ends_no_newer_run() {
    let mut world = busy_world();

    // A reply to the first poll of all, which was sent before any task.
    let late = Report { incarnation: 1, clock_ms: 10, ..Report::default() };
    world.handle(Event::Polled { host: Name::from("host-00"), poll: 1, report: late });
    world.run(3_000);

    assert_ran_once(&mut world);
}
