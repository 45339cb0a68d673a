//! Takeovers: a new owner rebuilds its state from the log and from the reports of the workers.

use sycamore_graph::job::{State, Step};

use crate::fixture::{catalog, gang, id, job, limited, queue, size, step};
use crate::world::World;

#[test]
fn accepted_jobs_survive_and_running_tasks_continue() {
    let mut world = World::new(2, catalog(queue()), 1);
    world.work_ms = 1_000;
    world.submit(id(1), job(vec![step(4, 1_000)]));
    world.run(300);

    world.take_over();
    world.run(2_000);

    assert_eq!(world.state(id(1)), Some(State::Complete));
    assert_eq!(world.oracle.starts, 4);
}

#[test]
fn reported_states_survive_log_compaction() {
    let mut world = World::new(2, catalog(queue()), 1);
    world.submit(id(1), job(vec![step(2, 1_000)]));
    world.run(1_000);
    assert_eq!(world.state(id(1)), Some(State::Complete));
    world.submit(id(2), job(vec![step(2, 1_000)]));
    world.run(100);

    world.compact();
    world.take_over();

    assert_eq!(world.state(id(1)), Some(State::Complete));
    world.run(2_000);
    assert_eq!(world.state(id(2)), Some(State::Complete));
}

#[test]
fn an_unreachable_worker_is_waited_for_until_its_lease_expires() {
    let mut world = World::new(2, catalog(queue()), 1);
    world.work_ms = 60_000;
    world.submit(id(1), job(vec![step(8, 1_000)]));
    world.run(300);
    assert_eq!(world.oracle.starts, 8);

    world.workers[0].is_unreachable = true;
    world.take_over();
    world.run(5_000);
    let early = world.oracle.starts;
    world.run(6_000);

    assert_eq!(early, 8);
    assert!(world.workers[0].runs.is_empty());
}

#[test]
fn a_limit_holds_while_workers_of_the_previous_owner_are_unreachable() {
    let limit = size(6_000, 0);
    let mut world = World::new(4, limited(catalog(queue()), limit), 1);
    world.work_ms = 60_000;
    world.submit(id(1), job(vec![step(6, 1_000)]));
    world.run(300);
    world.workers[0].is_unreachable = true;

    world.take_over();
    world.submit(id(2), job(vec![step(6, 1_000)]));
    world.run(12_000);

    assert!(world.running() <= 6);
}

#[test]
fn a_partially_started_gang_is_restarted() {
    let mut world = World::new(4, catalog(queue()), 1);
    world.work_ms = 500;
    world.submit(id(1), job(vec![gang(16, 1_000)]));
    // The start requests to half of the workers never arrive.
    world.workers[2].is_unreachable = true;
    world.workers[3].is_unreachable = true;
    world.run(30);
    let started = world.running();
    assert!((1..16).contains(&started), "{started} members");
    world.take_over_unlisted();
    world.workers[2].is_unreachable = false;
    world.workers[3].is_unreachable = false;
    world.list_hosts();
    // Less than the 2 s after which the engine stops any gang without progress, so that only
    // the takeover can have restarted this one.
    world.run(1_500);

    assert_eq!(world.state(id(1)), Some(State::Complete));
}

/// Polls of workers whose address was not known yet failed and were repeated after a pause,
/// which delayed each takeover by 0.36 s.
#[test]
fn no_poll_goes_to_a_worker_that_was_not_listed_yet() {
    let mut world = World::new(2, catalog(queue()), 1);
    world.submit(id(1), job(vec![step(2, 1_000)]));
    world.run(100);

    world.take_over_unlisted();
    let before = world.polls;
    world.run(200);

    assert_eq!(world.polls, before);
}

/// A worker that had been silent before the owner was lost held up all older jobs until its
/// lease had expired: 10.5 s on the Rolamento Vivo site (incident 0b8e).
#[test]
fn a_silent_worker_is_waited_for_by_its_own_tasks_only() {
    let mut world = World::new(4, catalog(queue()), 1);
    world.work_ms = 800;
    world.submit(id(1), job(vec![step(16, 1_000)]));
    world.run(200);
    world.workers[0].is_unreachable = true;
    let second = Step { after: vec![0], ..step(2, 1_000) };
    world.submit(id(2), job(vec![step(2, 1_000), second]));
    world.run(1_200);

    world.take_over();
    world.run(2_000);

    assert_eq!(world.state(id(2)), Some(State::Complete));
    assert_eq!(world.state(id(1)), Some(State::Running));
    world.run(8_000);
    assert_eq!(world.state(id(1)), Some(State::Complete));
}
