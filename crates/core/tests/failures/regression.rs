//! Failures that fuzzing or the benchmark found, one test each.

use std::time::Duration;

use sycamore_core::Event;
use sycamore_core::caller::{Answer, Progress};
use sycamore_types::job::{Kind, Spec};
use sycamore_types::outcome::Reason;

use crate::world::{StoreFault, World, config, spec};

/// A service whose tasks end at once, and so are restarted all the time, starved
/// the batch jobs of its own team when the team's limit left few tokens.
#[test]
fn a_service_whose_tasks_end_at_once_does_not_starve_batch_jobs() {
    let mut world = World::new(11, 4);
    world.wait_for_owners();
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
        let status = world.status(&job).expect("the owner knows the job");
        assert_eq!(status.progress, Progress::Done, "{status:?}");
    }
}

/// Found by fuzzing, seed 3: the quorum of promises was one too small, so a
/// process with two peers that could not reach the store kept starting work
/// without any promise. A request with an idempotency key ran there, and its
/// repeat ran at the next owner.
#[test]
fn a_process_without_a_promise_quorum_starts_no_request() {
    let mut world = World::new(11, 4);
    world.wait_for_owners();
    let shards = world.shards();
    world.deliver(1, Event::Stop);
    world.run(Duration::from_millis(1_395));
    world.processes[0].is_partitioned_from_store = true;
    world.run(Duration::from_millis(2_633));
    world.request(&shards[1], "a", Some(5));
    world.run(Duration::from_millis(1_919));
    world.request(&shards[1], "a", Some(5));
    world.run(Duration::from_millis(500));
    world.heal();
    world.wait_for_owners();
    world.run(Duration::from_secs(20));

    assert_eq!(world.checks.violations, Vec::<String>::new());
}

/// Found by fuzzing, seed 7: a shard was handed over before the idempotency keys
/// that it had accepted during a store outage were durable.
#[test]
fn unlogged_keys_are_durable_before_a_handover() {
    let mut world = World::new(11, 4);
    world.wait_for_owners();
    let shard = world.shards()[0].clone();
    world.run(Duration::from_millis(898));
    world.store_fault = StoreFault { is_down: true, ..StoreFault::default() };
    world.run(Duration::from_millis(2_537));
    let owner = world.owner(&shard).expect("the owner keeps the shard during the outage");
    world.request(&shard, "a", Some(4));
    world.run(Duration::from_millis(5));
    world.deliver(owner, Event::Stop);
    world.run(Duration::from_millis(10));
    world.store_fault = StoreFault::default();
    world.run(Duration::from_millis(1_551));
    world.request(&shard, "a", Some(4));
    world.run(Duration::from_secs(2));

    assert_eq!(world.checks.violations, Vec::<String>::new());
}

/// Found by fuzzing, seed 24: a released idempotency key was used again during a
/// store outage, when keys can't be logged, and the next owner treated it as
/// unused.
#[test]
fn a_released_key_is_in_doubt_after_a_log_gap() {
    let mut world = World::new(11, 4);
    world.wait_for_owners();
    let shard = world.shards()[1].clone();
    world.run(Duration::from_secs(1));
    let first = world.owner(&shard).expect("the shard has an owner");
    // The request waits, since a team that is not configured gets no tokens.
    // When the owner stops, it fails the request and releases its key.
    world.request(&shard, "ghost", Some(3));
    world.run(Duration::from_millis(100));
    world.deliver(first, Event::Stop);
    world.run(Duration::from_millis(2_500));
    world.store_fault = StoreFault { is_down: true, ..StoreFault::default() };
    world.run(Duration::from_millis(2_800));
    let second = world.owner(&shard).expect("the owner keeps the shard during the outage");
    world.request(&shard, "a", Some(3));
    world.run(Duration::from_millis(5));
    world.store_fault = StoreFault::default();
    world.restart(second);
    world.run(Duration::from_secs(5));
    world.request(&shard, "a", Some(3));
    world.run(Duration::from_secs(1));

    assert_eq!(world.checks.violations, Vec::<String>::new());
}

/// Found by the policy benchmark: once a shard had as many unfinished jobs as it
/// accepts, it rejected urgent jobs like the others.
#[test]
fn urgent_jobs_are_accepted_beyond_the_job_limit() {
    let mut world = World::new(11, 2);
    world.wait_for_owners();
    world.run(Duration::from_secs(6));
    let shard = world.shards()[0].clone();
    for _ in 0..5_100 {
        world.submit(&shard, "b", spec(1, 60_000));
    }
    world.run(Duration::from_millis(10));
    let urgent = Spec { urgent: true, ..spec(1, 100) };
    let urgent = world.submit(&shard, "a", urgent).0;
    world.run(Duration::from_secs(8));

    let is_full = |answer: &&Answer| matches!(answer, Answer::Failed(failure) if failure.reason == Reason::QueueFull);
    let rejected = world.answers.values().filter(is_full).count();
    let answer = world.answers.get(&urgent);
    assert_eq!(rejected, 100);
    assert!(matches!(answer, Some(Answer::Accepted(_))), "{answer:?}");
}
