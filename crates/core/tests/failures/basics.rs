//! The behaviour without faults, on which the failure tests rely.

use std::time::Duration;

use sycamore_core::caller::{Answer, Progress};

use crate::world::{World, spec};

#[test]
fn every_shard_gets_an_owner_and_a_job_runs() {
    let mut world = World::new(1, 3);
    world.wait_for_owners();
    let shard = world.shards()[0].clone();

    let (token, job) = world.submit(&shard, "a", spec(3, 200));
    world.run(Duration::from_secs(5));

    assert_eq!(world.answers.get(&token), Some(&Answer::Accepted(job.clone())));
    assert_eq!(world.status(&job).map(|status| status.progress), Some(Progress::Done));
    assert_eq!(world.checks.violations, Vec::<String>::new());
}

#[test]
fn a_request_is_dispatched_once_per_key() {
    let mut world = World::new(2, 3);
    world.wait_for_owners();
    // The shards are spread evenly over the members soon after the start.
    world.run(Duration::from_secs(6));
    let shard = world.shards()[0].clone();

    let token = world.request(&shard, "a", Some(7));
    world.run(Duration::from_millis(200));

    assert!(matches!(world.answers.get(&token), Some(Answer::Dispatch { .. })));
    let repeat = world.request(&shard, "a", Some(7));
    world.run(Duration::from_millis(200));
    assert!(matches!(world.answers.get(&repeat), Some(Answer::Failed(_))));
    assert_eq!(world.checks.violations, Vec::<String>::new());
}
