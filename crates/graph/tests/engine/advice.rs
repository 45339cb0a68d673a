//! The advice service is slow: the engine asks about as few workers as it can, and only
//! when the answer can be used.

use sycamore_graph::Event;
use sycamore_graph::catalog::{AdviceCost, Queue};
use sycamore_graph::job::State;

use crate::fixture::{advised_queue, catalog, host, id, job, queue, step};
use crate::world::World;

#[test]
fn a_small_step_asks_about_few_workers() {
    let mut world = World::new(40, catalog(advised_queue()), 1);

    world.submit(id(1), job(vec![step(2, 1_000)]));
    world.run(2_000);

    assert_eq!(world.state(id(1)), Some(State::Complete));
    assert!(world.advised_hosts <= 8, "asked about {}", world.advised_hosts);
}

#[test]
fn no_advice_is_requested_while_no_worker_has_capacity() {
    let mut world = World::new(2, catalog(advised_queue()), 1);
    world.work_ms = 5_000;
    world.submit(id(1), job(vec![step(8, 1_000)]));
    world.run(500);
    let calls = world.advice_calls;

    for number in 2..30 {
        world.submit(id(number), job(vec![step(4, 1_000)]));
    }
    world.run(3_000);

    assert_eq!(world.advice_calls, calls);
}

#[test]
fn denied_workers_are_not_asked_about_again() {
    let mut world = World::new(12, catalog(advised_queue()), 1);
    world.allowed_share = 0.25;

    world.submit(id(1), job(vec![step(30, 1_000)]));
    world.run(20_000);

    assert_eq!(world.state(id(1)), Some(State::Complete));
    assert!(world.advised_hosts < 12 + 60, "asked about {}", world.advised_hosts);
}

/// Failure: the service rejects each call that names a worker that it does not know, the call is
/// repeated with the same workers, and the step never starts.
#[test]
fn a_worker_for_which_calls_are_rejected_keeps_no_step_waiting() {
    for rejected in 0..6 {
        let mut world = World::new(6, catalog(advised_queue()), 1);
        world.rejected_hosts = vec![host(rejected).id];

        world.submit(id(1), job(vec![step(1, 1_000)]));
        world.run(2_000);

        assert_eq!(world.state(id(1)), Some(State::Complete), "{}", world.describe_waits());
    }
}

/// Failure: nothing tells whether a step waits for a call or after one that failed.
#[test]
fn a_waiting_step_shows_how_its_last_call_ended() {
    let mut world = World::new(3, catalog(advised_queue()), 1);
    world.rejected_hosts = (0..3).map(|number| host(number).id).collect();
    world.submit(id(1), job(vec![step(1, 1_000)]));

    world.run(1_000);

    let last_call = world.last_calls()[0].expect("a call that has ended");
    assert!(!last_call.is_answered);
    assert!(last_call.age_ms <= 200, "{last_call:?}");
}

/// Failure: nothing tells how many steps wait for a free call, and for how long.
#[test]
fn steps_that_wait_for_a_free_call_are_counted_with_their_wait() {
    let advice = AdviceCost { base_ms: 700.0, per_host_ms: 8.0, valid_ms: 1_500 };
    let mut world = World::new(8, catalog(Queue { advice: Some(advice), ..queue() }), 1);
    world.handle(Event::AdviceConcurrency([1, 1, 1]));
    world.submit(id(1), job(vec![step(1, 1_000)]));
    world.run(100);

    world.submit(id(2), job(vec![step(1, 1_000)]));
    world.run(500);

    let load = world.call_load();
    assert_eq!((load.in_flight, load.limits, load.waiting_steps), ([0, 0, 1], [1; 3], 1));
    assert!((450..=550).contains(&load.longest_wait_ms), "{load:?}");
}
