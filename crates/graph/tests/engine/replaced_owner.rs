//! Owners that were replaced and go on, because they hear neither the store nor their successor. Some
//! workers reach only them.

use sycamore_graph::WaitReason;
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

/// Without a limit, a replaced owner would go on starting tasks on workers that only it reaches, while
/// its successor starts them elsewhere (issue 44, TWICE).
#[test]
fn a_replaced_owner_starts_no_task_that_its_successor_may_have_started() {
    let mut world = World::new(4, catalog(queue()), 1);
    // The first tasks end shortly before the successor starts others.
    world.work_ms = 5_000;
    // So that the age of the capacities does not end the starts.
    world.timing.capacity_max_age_ms = 60_000;
    world.take_over();
    world.submit(id(1), job(vec![step(32, 1_000)]));
    world.run(300);
    world.workers[0].is_unreachable = true;
    world.workers[0].hears_former = true;

    world.take_over_beside_former();
    world.run(60_000);

    assert!(world.has_former());
    assert_eq!(world.state(id(1)), Some(State::Complete));
}

/// An owner that waited for the lease of a worker was replaced meanwhile. Its successor renewed that
/// lease, and the replaced owner took it for expired. Found by fuzzing (TWICE).
#[test]
fn a_replaced_owner_takes_no_lease_for_expired_that_its_successor_renews() {
    let mut world = World::new(3, catalog(queue()), 1);
    world.work_ms = 20_000;
    // So that the age of the capacities does not end the starts.
    world.timing.capacity_max_age_ms = 60_000;
    world.take_over();
    world.submit(id(1), job(vec![step(8, 1_000)]));
    world.run(300);
    world.workers[1].is_unreachable = true;
    world.take_over();
    world.run(3_000);
    world.workers[1].is_unreachable = false;
    for at in [0, 2] {
        world.workers[at].is_unreachable = true;
        world.workers[at].hears_former = true;
    }

    world.take_over_beside_former();
    world.run(40_000);

    assert_eq!(world.state(id(1)), Some(State::Complete));
}

/// The end of the lease of every worker that has runs is bounded by the last confirmation, not by the
/// time of the poll or start request that granted it.
#[test]
fn no_lease_ends_later_than_the_longest_one_after_the_last_confirmation() {
    let mut world = World::new(2, catalog(queue()), 1);
    world.work_ms = 60_000;
    world.submit(id(1), job(vec![step(8, 1_000)]));
    world.run(300);
    let confirmed_ms = world.now_ms;
    world.is_unconfirmed = true;

    let mut latest_ms = 0;
    for _ in 0..1_400 {
        world.run(5);
        let leases = world.workers.iter().map(|worker| worker.lease_until_ms);
        latest_ms = leases.max().map_or(latest_ms, |ms| ms.max(latest_ms));
    }

    assert!(latest_ms <= confirmed_ms + world.timing.lease_ms, "{latest_ms} after {confirmed_ms}");
    assert_eq!(world.running(), 0);
}

/// Guards against an owner that ends its work for good when the store was away for all for longer than
/// a lease lasts.
#[test]
fn an_owner_that_is_confirmed_again_goes_on() {
    let mut world = World::new(2, catalog(queue()), 1);
    world.work_ms = 2_000;
    world.submit(id(1), job(vec![step(64, 1_000)]));
    world.run(300);

    world.is_unconfirmed = true;
    world.run(8_000);
    let reasons = world.wait_reasons();
    world.is_unconfirmed = false;
    world.run(20_000);

    assert_eq!(reasons, [WaitReason::Unconfirmed]);
    assert_eq!(world.state(id(1)), Some(State::Complete));
}

/// Guards against an end of all work while the store is away, which the other processes make up for.
#[test]
fn work_goes_on_while_the_store_is_away_and_the_ownership_is_confirmed() {
    let mut world = World::new(2, catalog(queue()), 1);
    world.work_ms = 15_000;
    world.submit(id(1), job(vec![step(8, 1_000)]));
    world.run(300);

    world.is_store_away = true;
    world.run(16_000);
    world.is_store_away = false;
    world.run(2_000);

    assert_eq!(world.state(id(1)), Some(State::Complete));
    assert_eq!(world.oracle.starts, 8);
}
