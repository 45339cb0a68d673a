//! The memory of the jobs that the owner knows.

use sycamore_graph::Answer;
use sycamore_graph::job::{Id, Spec};

use crate::fixture::{QUEUE, catalog, id, job, queue, step};
use crate::world::World;

/// A job of very many tasks, none of which fits on any host.
fn large_job() -> Spec {
    job(vec![step(10_000, 9_000)])
}

/// Submits large jobs until one is refused. Returns the number of those that are accepted.
fn fill(world: &mut World) -> u64 {
    (0..10_000).find(|number| !is_accepted(world, id(*number))).expect("a job is refused")
}

fn is_accepted(world: &mut World, job: Id) -> bool {
    let token = world.submit(job, large_job());
    world.run(20);
    match world.answers.get(&token) {
        Some(Answer::Accepted) => true,
        Some(Answer::NoMemory) => false,
        other => panic!("{job}: {other:?}"),
    }
}

/// Failure: nothing bounded the accepted jobs, and the owner ran out of memory.
#[test]
fn a_job_for_which_there_is_no_memory_is_refused() {
    let mut world = World::new(1, catalog(queue()), 1);

    let accepted = fill(&mut world);

    assert!(accepted > 100, "{accepted} jobs");
    assert!(world.job_bytes() <= world.timing.max_job_bytes);
}

/// Failure: a team that submits without end left no room to the others.
#[test]
fn other_teams_find_room_beside_one_that_submits_without_end() {
    let mut world = World::new(1, catalog(queue()), 1);
    fill(&mut world);

    let token = world.submit_as("guests", QUEUE, id(20_000), large_job());
    world.run(20);

    assert_eq!(world.answers.get(&token), Some(&Answer::Accepted));
}

/// Failure: the repeat of an accepted submission was told that it never runs.
#[test]
fn a_repeat_of_an_accepted_job_is_accepted_without_memory_for_another_one() {
    let mut world = World::new(1, catalog(queue()), 1);
    fill(&mut world);

    assert!(is_accepted(&mut world, id(0)));
}

/// A successor must count the accepted jobs as the owner before, and both must stop counting the tasks
/// of a job that is closed.
#[test]
fn memory_is_counted_by_a_successor_and_until_a_job_is_closed() {
    let mut world = World::new(1, catalog(queue()), 1);
    let accepted = fill(&mut world);
    let counted = world.job_bytes();

    world.compact();
    world.take_over();
    world.run(2_000);
    assert_eq!(world.job_bytes(), counted);
    assert!(!is_accepted(&mut world, id(accepted)));

    world.cancel(id(0));
    world.run(100);
    assert!(is_accepted(&mut world, id(accepted)));
    assert!(world.job_bytes() <= world.timing.max_job_bytes);
}

#[test]
fn a_job_that_is_forgotten_takes_no_memory() {
    let mut world = World::new(1, catalog(queue()), 1);
    world.submit(id(1), job(vec![step(2, 500)]));
    world.run(5_000);
    assert!(world.job_bytes() > 0);

    world.run(world.timing.status_retention_ms + 1_000);

    assert_eq!(world.job_bytes(), 0);
}
