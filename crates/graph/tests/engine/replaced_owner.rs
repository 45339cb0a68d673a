//! Owners that were replaced and go on, because they hear neither the store nor their successor. Some
//! workers reach only them.

use sycamore_graph::job::State;

use crate::fixture::{catalog, id, job, queue, step};
use crate::world::World;

/// A world of four workers with tasks of this duration, of which the first can't be reached by the next
/// owner, only by the present one.
fn world_with_cut_off_worker(work_ms: u64) -> World {
    let mut world = World::new(4, catalog(queue()), 1);
    world.work_ms = work_ms;
    world.submit(id(1), job(vec![step(8, 1_000)]));
    world.run(300);
    world.workers[0].is_unreachable = true;
    world.workers[0].hears_former = true;
    world
}

/// A replaced owner went on renewing a lease that its successor took for expired, and the tasks ran on
/// two workers. Users saw TWICE (issue 44).
#[test]
fn a_replaced_owner_renews_no_lease_that_its_successor_takes_for_expired() {
    let mut world = world_with_cut_off_worker(20_000);

    world.take_over_beside_former();
    world.run(30_000);

    // The oracle checks that no task runs twice.
    assert!(world.has_former());
    assert_eq!(world.state(id(1)), Some(State::Complete));
}
