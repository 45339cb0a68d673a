//! Failures that were found once, each by its name.

use std::time::Duration;

use sycamore_core::Event;
use sycamore_core::caller::Progress;
use sycamore_types::job::Kind;

use crate::world::{World, config, spec};

/// A service whose instances end at once must not starve the batch work of its
/// own team when the limit leaves few tokens.
#[test]
fn batch_work_is_not_forgotten_beside_a_flapping_service() {
    let mut world = World::new(11, 4);
    world.settle();
    let shard = world.shards()[0].clone();
    let mut service = spec(2, 50);
    service.kind = Kind::Service;
    world.submit(&shard, "b", service);
    world.set_config(config(&[("a", 4), ("b", 4)]));
    let first = world.submit(&shard, "b", spec(1, 50)).1;
    world.run(Duration::from_millis(1_897));
    let second = world.submit(&shard, "b", spec(1, 50)).1;
    world.run(Duration::from_secs(60));

    for job in [first, second] {
        let status = world.status(&job).expect("the job is on record");
        assert_eq!(status.progress, Progress::Done, "{status:?}");
    }
}

/// Found by fuzzing, seed 3: the quorum of promises was counted one too small,
/// so a process with two peers went on without any promise, and a request with
/// an idempotency key ran there and, repeated, at its successor.
#[test]
fn a_process_without_promises_takes_no_key_off_the_record() {
    let mut world = World::new(11, 4);
    world.settle();
    let shards = world.shards();
    world.deliver(1, Event::Stop);
    world.run(Duration::from_millis(1_395));
    world.processes[0].is_cut_from_store = true;
    world.run(Duration::from_millis(2_633));
    world.request(&shards[1], "a", Some(5));
    world.run(Duration::from_millis(1_919));
    world.request(&shards[1], "a", Some(5));
    world.run(Duration::from_millis(500));
    world.heal();
    world.settle();
    world.run(Duration::from_secs(20));

    assert_eq!(world.checks.violations, Vec::<String>::new());
}
