//! Whose turn it is to call for advice while calls are scarce.

use sycamore_graph::Event;
use sycamore_graph::catalog::{AdviceCost, Catalog, Queue};
use sycamore_graph::job::{Id, State, Step};

use crate::fixture::{QUEUE, catalog, gang, id, job, queue, step};
use crate::world::World;

/// Time until the jobs of these tests are so late that completing them has no value any more, three
/// times their objective of 2 x 500 + 1000 ms, and until that they had to wait for calls before is of
/// no account any more.
const HOPELESS_MS: u64 = 8_100;

/// Calls for advice of 700 ms and more.
fn long_calls() -> Queue {
    let advice = AdviceCost { base_ms: 700.0, per_host_ms: 1.0, valid_ms: 1_500 };
    Queue { advice: Some(advice), ..queue() }
}

/// A world with enough room for all jobs, in which no call may be made yet.
fn world_without_calls(catalog: Catalog) -> World {
    let mut world = World::new(24, catalog, 1);
    world.work_ms = 100;
    world.handle(Event::AdviceConcurrency([0; 3]));
    world
}

fn complete(world: &mut World, jobs: impl Iterator<Item = Id>) -> usize {
    jobs.filter(|job| world.state(*job) == Some(State::Complete)).count()
}

/// Accepted gangs that were too late to have value waited for a call although hosts that can make one were idle: two
/// calls in flight were left to other steps, of which there were none. Rule LOST was broken on the
/// first Sialkot site (waiting-gangs.toml, 66 s of traffic, seed 11).
#[test]
fn hopeless_steps_use_all_callers_while_no_other_step_calls() {
    let mut world = world_without_calls(catalog(long_calls()));
    for number in 0..40 {
        world.submit(id(number), job(vec![gang(2, 1_000)]));
    }
    world.run(HOPELESS_MS);

    // Three hosts, and one call that waits for the first free one.
    world.handle(Event::AdviceConcurrency([4; 3]));
    world.run(100);

    assert!(world.call_load().in_flight[2] >= 3, "{:?}", world.call_load());
}

/// Accepted steps that were too late to have value had no call for 60 s, as other steps took all calls as
/// soon as they were free. Rule LOST was broken on the first Sialkot site (waiting-gangs.toml, 66 s of
/// traffic, seed 11).
#[test]
fn hopeless_steps_get_calls_beside_a_stream_of_others() {
    let mut world = world_without_calls(catalog(long_calls()));
    let hopeless = || (0..12).map(id);
    for job_id in hopeless() {
        world.submit(job_id, job(vec![gang(2, 1_000)]));
    }
    world.run(HOPELESS_MS);

    world.handle(Event::AdviceConcurrency([4; 3]));
    // Ten steps a second, where five calls a second can be made.
    for number in 0..130 {
        world.submit(id(1_000 + number), job(vec![step(1, 1_000)]));
        world.run(100);
    }

    // One call of four is theirs: 12 calls of 750 ms, one after the other, take 9 s.
    assert_eq!(complete(&mut world, hopeless()), 12, "{}", world.describe_waits());
}

/// A hopeless step got no further call as long as other hopeless steps had a higher rank, by the priority of
/// their queue or the past use of their team. Rule LOST was broken on the first Sialkot site
/// (waiting-gangs.toml, 66 s of traffic, seed 11): the gang that had waited for 70 s had had its last
/// call 28 s before.
#[test]
fn hopeless_steps_take_turns_whatever_their_rank() {
    let mut catalog = catalog(long_calls());
    catalog.queues.insert("later".into(), Queue { priority: 1, ..long_calls() });
    let mut world = world_without_calls(catalog);
    world.submit_to("later", id(1), job(vec![gang(2, 1_000)]));
    world.run(100);
    for number in 0..60 {
        world.submit_to(QUEUE, id(100 + number), job(vec![gang(2, 1_000)]));
    }
    world.run(HOPELESS_MS);

    world.handle(Event::AdviceConcurrency([4; 3]));
    world.run(2_000);

    assert_eq!(world.state(id(1)), Some(State::Complete), "{}", world.describe_waits());
    // The record tells why it went before steps of a higher rank.
    assert!(world.turn_waits_ms[&id(1)] >= HOPELESS_MS, "{:?}", world.turn_waits_ms);
}

/// A step in its turn keeps its place until its tickets have expired, so that the room that it asked
/// about is not kept for the steps whose turn is next.
#[test]
fn a_hopeless_gang_starts_with_the_answer_to_its_call() {
    let mut world = world_without_calls(catalog(long_calls()));
    for number in 0..8 {
        // Each needs two thirds of the workers, for 100 ms.
        world.submit(id(number), job(vec![gang(16, 4_000)]));
    }
    world.run(HOPELESS_MS);

    world.handle(Event::AdviceConcurrency([2; 3]));
    world.run(8 * 850);

    // One call at a time, and each is followed by a start.
    assert_eq!(complete(&mut world, (0..8).map(id)), 8, "{}", world.describe_waits());
    assert!(world.advice_calls <= 9, "{} calls", world.advice_calls);
}

/// Failure: the steps that have waited longest can use no call, as no worker may run them, and those
/// behind them get none.
#[test]
fn hopeless_steps_behind_many_without_a_worker_get_calls() {
    let mut world = world_without_calls(catalog(long_calls()));
    for number in 0..300 {
        let without_worker = Step { required_label: Some("none".into()), ..gang(2, 1_000) };
        world.submit(id(1_000 + number), job(vec![without_worker]));
    }
    world.run(100);
    world.submit(id(1), job(vec![gang(2, 1_000)]));
    world.run(HOPELESS_MS);

    // These take all calls that are free at first.
    (0..10).for_each(|number| _ = world.submit(id(3_000 + number), job(vec![step(1, 1_000)])));
    world.handle(Event::AdviceConcurrency([4; 3]));
    // Ten steps a second, where five calls a second can be made.
    for number in 0..50 {
        world.submit(id(2_000 + number), job(vec![step(1, 1_000)]));
        world.run(100);
    }

    assert_eq!(world.state(id(1)), Some(State::Complete), "{:?}", world.call_load());
}

/// Failure: hopeless steps that can't use a call, as no worker has room for them, take up all turns, so that
/// the others get none.
#[test]
fn hopeless_steps_without_room_leave_their_turns_to_others() {
    let mut catalog = catalog(long_calls());
    catalog.queues.insert("plain".into(), queue());
    let mut world = world_without_calls(catalog);
    // One run on each worker, which leaves 1.5 of its 4 cores free.
    world.work_ms = 60_000;
    world.submit_to("plain", id(5_000), job(vec![step(24, 2_500)]));
    world.run(1_000);
    assert_eq!(world.running(), 24);
    world.work_ms = 100;
    for number in 0..100 {
        world.submit(id(2_000 + number), job(vec![step(1, 2_000)]));
    }
    world.run(100);
    let hopeless = || (0..12).map(id);
    for job_id in hopeless() {
        world.submit(job_id, job(vec![gang(2, 1_000)]));
    }
    world.run(HOPELESS_MS);

    world.handle(Event::AdviceConcurrency([4; 3]));
    for number in 0..130 {
        world.submit(id(10_000 + number), job(vec![step(1, 1_000)]));
        world.run(100);
    }

    // As without the steps that no worker has room for.
    assert_eq!(complete(&mut world, hopeless()), 12, "{}", world.describe_waits());
}

/// Failure: no call is left to a hopeless step that needs a long call if its queue has short calls, too, as
/// a free short call hides that it has to wait.
#[test]
fn hopeless_steps_get_long_calls_while_short_calls_are_free() {
    // The calls of each name all workers and take 490 ms. The second queue has short calls, too.
    for (base_ms, per_host_ms) in [(490.0, 0.0), (10.0, 20.0)] {
        let advice = AdviceCost { base_ms, per_host_ms, valid_ms: 1_500 };
        let mut catalog = catalog(Queue { advice: Some(advice), ..queue() });
        catalog.queues.insert("long".into(), long_calls());
        let mut world = world_without_calls(catalog);
        let hopeless = || (0..8).map(id);
        for job_id in hopeless() {
            world.submit(job_id, job(vec![gang(6, 4_000)]));
        }
        world.run(HOPELESS_MS);

        world.handle(Event::AdviceConcurrency([4; 3]));
        // None of these is late before the end.
        for number in 0..50 {
            world.submit_to("long", id(1_000 + number), job(vec![step(1, 1_000)]));
            world.run(100);
        }

        let context = format!("{per_host_ms} ms: {}", world.describe_waits());
        assert_eq!(complete(&mut world, hopeless()), 8, "{context}");
    }
}

/// Failure: no call is left to hopeless steps if passes are 100 ms apart, as they are when one takes 25 ms
/// (control.rs pauses for three times as long).
#[test]
fn hopeless_steps_get_calls_beside_a_stream_of_others_in_slow_passes() {
    let mut world = world_without_calls(catalog(long_calls()));
    let hopeless = || (0..12).map(id);
    for job_id in hopeless() {
        world.submit(job_id, job(vec![gang(2, 1_000)]));
    }
    world.run(HOPELESS_MS);

    world.dispatch_interval_ms = 120;
    world.handle(Event::AdviceConcurrency([4; 3]));
    for number in 0..150 {
        world.submit(id(1_000 + number), job(vec![step(1, 1_000)]));
        world.run(100);
    }

    // 12 calls of 750 ms and up to two passes each, one after the other, take 12 s.
    assert_eq!(complete(&mut world, hopeless()), 12, "{}", world.describe_waits());
}

/// Failure: a step that has missed its objective, but whose completion has value still, gets no call as
/// long as others that are in time take all.
#[test]
fn steps_that_are_late_and_have_value_get_calls_beside_a_stream_of_others() {
    let queue = Queue { objective_ms: 20_000, ..long_calls() };
    let mut world = world_without_calls(catalog(queue));
    let hopeless = || (0..12).map(id);
    for job_id in hopeless() {
        world.submit(job_id, job(vec![gang(2, 1_000)]));
    }
    world.run(23_000);

    world.handle(Event::AdviceConcurrency([4; 3]));
    for number in 0..130 {
        world.submit(id(1_000 + number), job(vec![step(1, 1_000)]));
        world.run(100);
    }

    assert_eq!(complete(&mut world, hopeless()), 12, "{}", world.describe_waits());
}

/// Failure: a pass ends before the hopeless steps, after 300 gangs that wait for a call.
#[test]
fn hopeless_steps_get_calls_beside_hundreds_of_gangs_that_wait() {
    let mut world = world_without_calls(catalog(long_calls()));
    let hopeless = || (0..12).map(id);
    for job_id in hopeless() {
        world.submit(job_id, job(vec![gang(2, 1_000)]));
    }
    world.run(HOPELESS_MS);

    world.handle(Event::AdviceConcurrency([4; 3]));
    for number in 0..130 {
        for part in 0..8 {
            world.submit(id(1_000 + 8 * number + part), job(vec![gang(2, 1_000)]));
        }
        world.run(100);
    }

    assert_eq!(complete(&mut world, hopeless()), 12, "{}", world.describe_waits());
}

/// Failure: a new owner gives the first turns to the lowest job ids, not to the longest waits.
#[test]
fn hopeless_steps_take_turns_by_their_wait_after_a_takeover() {
    let mut catalog = catalog(long_calls());
    catalog.queues.insert("later".into(), Queue { priority: 1, ..long_calls() });
    let mut world = world_without_calls(catalog);
    world.submit_to("later", id(1_000), job(vec![gang(2, 1_000)]));
    world.run(100);
    for number in 0..40 {
        world.submit_to(QUEUE, id(100 + number), job(vec![gang(2, 1_000)]));
    }
    world.run(HOPELESS_MS);

    world.take_over();
    world.handle(Event::AdviceConcurrency([4; 3]));
    world.run(5_000);

    assert_eq!(world.state(id(1_000)), Some(State::Complete), "{}", world.describe_waits());
}
