//! Tasks that crash the workers that start them, and the innocent tasks beside them.

use sycamore_graph::job::{Id, State, Step};
use sycamore_graph::{StepId, TaskId};

use crate::fixture::{catalog, gang, id, job, queue, step};
use crate::world::World;

/// Returns the key of a task of the first step of a job.
fn task(job: Id, index: u32) -> TaskId {
    TaskId { step: StepId { job, occurrence: 0, index: 0 }, index }
}

/// A world in which one task of job 1 is deadly.
fn world_with_deadly_task(hosts: usize) -> World {
    let mut world = World::new(hosts, catalog(queue()), 1);
    world.deadly.insert(task(id(1), 0));
    world
}

/// Submits jobs of two tasks, one each 100 ms.
fn submit_innocent_jobs(world: &mut World, numbers: std::ops::Range<u64>) {
    for number in numbers {
        world.submit(id(number), job(vec![step(2, 500)]));
        world.run(100);
    }
}

/// A task that crashes each worker was started again without a bound, since a crashed worker
/// counted like one whose lease had run out. The benchmark reported BUDGET.
#[test]
fn a_task_that_crashes_its_workers_is_given_up() {
    let mut world = world_with_deadly_task(6);
    world.work_ms = 800;
    world.submit(id(1), job(vec![step(3, 1_000)]));

    submit_innocent_jobs(&mut world, 2..60);
    world.run(30_000);

    assert_eq!(world.state(id(1)), Some(State::Failed));
    assert_eq!(world.oracle.crashes_under(task(id(1), 0)), 2);
    for number in 2..60 {
        assert_eq!(world.state(id(number)), Some(State::Complete), "job {number}");
    }
}

/// Members of a gang and long-running tasks are started again without a limit on failures, and
/// crashed their workers without one as well.
#[test]
fn a_gang_or_service_that_crashes_its_workers_is_given_up() {
    let service = Step { is_service: true, ..step(2, 1_000) };
    for spec in [job(vec![gang(6, 1_000)]), job(vec![service])] {
        let mut world = world_with_deadly_task(6);

        world.submit(id(1), spec);
        world.run(40_000);

        assert_eq!(world.state(id(1)), Some(State::Failed));
    }
}
