//! Accepted work after the store was away. A platform takes a job for lost that has nothing running for
//! 3 s although there is room, so that neither the dates of capacities, nor the confirmation of the
//! owner, nor calls for advice may hold it back once the store replies.

use sycamore_graph::Event;
use sycamore_graph::catalog::{AdviceCost, Queue};
use sycamore_graph::job::State;

use crate::fixture::{catalog, gang, id, job, queue, step};
use crate::world::World;

/// Absence of the store that outlasts the dates of capacities and all leases, in milliseconds.
const ABSENCE_MS: u64 = 12_000;

/// Time without any running task after which an accepted job counts as lost, in milliseconds.
const LOST_MS: u64 = 3_000;

fn be_away(world: &mut World, ms: u64) {
    world.is_store_away = true;
    world.is_unconfirmed = true;
    world.run(ms);
    world.is_store_away = false;
    world.is_unconfirmed = false;
}

/// Guards against capacities that stay unused after an absence of the store, on some workers or on all.
#[test]
fn work_starts_on_every_worker_once_the_store_is_back() {
    let mut world = World::new(12, catalog(queue()), 1);
    world.work_ms = 60_000;
    world.submit(id(1), job(vec![step(1, 1_000)]));
    world.run(500);
    world.is_store_away = true;
    // The capacities are too old by now.
    world.run(6_000);
    world.submit(id(2), job(vec![step(48, 1_000)]));

    be_away(&mut world, ABSENCE_MS);
    world.run(LOST_MS);

    assert_eq!(world.running(), 48, "{}", world.describe_waits());
    assert!(world.workers.iter().all(|worker| !worker.runs.is_empty()));
}

/// Guards against jobs of the owner before that wait under one that takes over when the store is back.
#[test]
fn work_starts_under_an_owner_that_takes_over_after_the_absence() {
    let mut world = World::new(12, catalog(queue()), 1);
    world.work_ms = 60_000;
    world.submit(id(1), job(vec![gang(4, 1_000), step(40, 1_000)]));
    world.run(100);

    be_away(&mut world, ABSENCE_MS);
    world.take_over();
    world.run(LOST_MS);

    assert_eq!(world.running(), 44, "{}", world.describe_waits());
}

/// Gangs that were accepted before the store was silent had no call for advice for 71 s, the last 22 s of
/// them after its return, as other steps took the calls. Rule LOST was broken on the first Sialkot site
/// (66 s of traffic, store silent for 2.6 s, seed 11).
#[test]
fn late_gangs_get_calls_once_the_store_is_back() {
    let advice = AdviceCost { base_ms: 700.0, per_host_ms: 1.0, valid_ms: 1_500 };
    let mut world = World::new(24, catalog(Queue { advice: Some(advice), ..queue() }), 1);
    world.work_ms = 100;
    world.handle(Event::AdviceConcurrency([0; 3]));
    let late = || (0..12).map(id);
    for job_id in late() {
        world.submit(job_id, job(vec![gang(2, 1_000)]));
    }
    world.run(100);

    be_away(&mut world, ABSENCE_MS);
    world.handle(Event::AdviceConcurrency([4; 3]));
    // Ten steps a second, where five calls a second can be made. One call of four is left to the gangs:
    // 12 calls of 750 ms take 9 s, after the first entries of the workers within 1.5 s.
    for number in 0..145 {
        world.submit(id(1_000 + number), job(vec![step(1, 1_000)]));
        world.run(100);
    }

    let complete = late().filter(|job_id| world.state(*job_id) == Some(State::Complete)).count();
    assert_eq!(complete, 12, "{}", world.describe_waits());
}
