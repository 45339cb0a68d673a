//! Workers whose capacity changes while they run.

use crate::fixture::{catalog, id, job, queue, step};
use crate::world::World;

/// Time after which a smaller capacity counts: `stability-ms` and one report of the worker, as on
/// the smallest documented site, in milliseconds.
const GRACE_MS: u64 = 4_500;

/// A poll showed a new incarnation of a worker before the list did, and the capacity of the former
/// one was used for it. The benchmark reports LIMIT.
#[test]
fn the_capacity_of_a_former_incarnation_is_not_used() {
    let mut world = World::new(1, catalog(queue()), 1);
    world.workers[0].is_alive = false;
    world.run(1_200);
    world.workers[0].restart();
    world.workers[0].entry.capacity.cpu_millis = 1_000;

    world.submit(id(1), job(vec![step(4, 1_000)]));
    world.run(2_000);

    assert!(world.running() <= 1);
}

/// While the store was away the owner started tasks by an old capacity, however long ago it had
/// been read. The benchmark reports LIMIT.
#[test]
fn an_old_capacity_is_not_used_while_the_store_is_away() {
    let mut world = World::new(1, catalog(queue()), 1);
    world.work_ms = 1_000;
    world.submit(id(1), job(vec![step(60, 1_000)]));
    world.run(200);

    world.is_store_away = true;
    world.workers[0].resize(1_000, world.now_ms, GRACE_MS);
    world.run(12_000);

    assert!(world.running() <= 1);
}
