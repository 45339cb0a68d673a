//! Room that is kept for gangs, and other steps that use it until the gang can start.

use sycamore_graph::catalog::{Catalog, Queue};
use sycamore_graph::job::{Id, State, Step};

use crate::fixture::{catalog, gang, id, job, queue, step};
use crate::worker::Worker;
use crate::world::World;

/// Number of workers, of four cores each.
const HOSTS: usize = 8;

/// Time within which accepted work has to start while less than half of the capacity is in use and
/// there is room for it twice over, in milliseconds.
const START_BOUND_MS: u64 = 3_000;

/// Most time that a gang waits once only runs on its room are in its way, in milliseconds: 3 s, and some
/// for stops, reports and passes.
const RECALL_BOUND_MS: u64 = 3_500;

/// Wait after which a gang goes before others, in milliseconds.
const CLAIM_BOUND_MS: u64 = 15_000;

const LONG: Id = Id(1);
const GANG: Id = Id(2);

/// Declared duration of the gang, in milliseconds: it goes first for longer than the bounds above.
const GANG_ESTIMATE_MS: u64 = 10_000;

/// Time that the long tasks take, in milliseconds.
const LONG_MS: u64 = 12_000;

fn two_queues() -> Catalog {
    let mut catalog = catalog(queue());
    catalog.queues.insert("later".into(), Queue { priority: 1, ..queue() });
    catalog
}

fn lasting(estimate_ms: u64, step: Step) -> Step {
    Step { estimate_ms, ..step }
}

/// Returns a world in which a gang of three quarters of the capacity waits for long tasks, which use
/// three of eight workers and are declared to take `declared_ms`.
fn world_with_waiting_gang(declared_ms: u64) -> World {
    let mut world = World::new(HOSTS, two_queues(), 1);
    world.work_ms = LONG_MS;
    world.submit(LONG, job(vec![lasting(declared_ms, step(3, 4_000))]));
    world.run(200);
    world.work_ms = 1_000;
    world.submit(GANG, job(vec![lasting(GANG_ESTIMATE_MS, gang(6, 4_000))]));
    world.run(300);
    assert_eq!(world.running(), 3);
    world
}

fn has_run(world: &World, job: Id) -> bool {
    let of_job = |worker: &Worker| {
        worker.runs.keys().any(|(task, _)| task.step.job == job)
            || worker.closed.keys().any(|task| task.step.job == job)
    };
    world.workers.iter().any(of_job)
}

/// Runs until a job has started, and returns the time that takes.
fn start_after(world: &mut World, job: Id, mut submit: impl FnMut(&mut World)) -> u64 {
    let since_ms = world.now_ms;
    for _ in 0..2_000 {
        if has_run(world, job) {
            break;
        }
        submit(world);
        world.run(20);
    }
    world.now_ms - since_ms
}

/// The first gang that waited kept all free room until long tasks had ended: rule LOST (review/9).
#[test]
fn short_tasks_run_beside_a_gang_that_waits_for_long_ones() {
    let mut world = world_with_waiting_gang(LONG_MS);

    for number in 0..10 {
        world.submit_to("later", id(100 + number), job(vec![lasting(1_000, step(1, 1_000))]));
    }
    world.run(START_BOUND_MS);

    for number in 0..10 {
        assert!(has_run(&world, id(100 + number)), "{}", world.describe_waits());
    }
}

/// The same with tasks that last longer than the wait of the gang, behind two gangs.
#[test]
fn long_tasks_start_beside_gangs_that_wait_while_most_of_the_capacity_is_idle() {
    let mut world = world_with_waiting_gang(LONG_MS);
    world.submit(id(3), job(vec![lasting(GANG_ESTIMATE_MS, gang(6, 4_000))]));
    world.run(100);
    world.work_ms = 60_000;

    world.submit_to("later", id(100), job(vec![lasting(60_000, step(1, 2_000))]));
    world.run(START_BOUND_MS);

    assert!(has_run(&world, id(100)), "{}", world.describe_waits());
}

/// The same if the long tasks take far longer than declared, so that the gang seems to start soon.
#[test]
fn tasks_run_beside_a_gang_that_waits_for_tasks_of_unknown_length() {
    for declared_ms in [0, 500] {
        let mut world = world_with_waiting_gang(declared_ms);

        world.submit_to("later", id(100), job(vec![lasting(1_000, step(1, 1_000))]));
        world.run(START_BOUND_MS);

        assert!(has_run(&world, id(100)), "{declared_ms}: {}", world.describe_waits());
    }
}

/// Guards against short tasks that come without end and keep a gang from its room: while it is late, they
/// have the higher rank. Both their estimate and that of the tasks that the gang waits for may be wrong.
#[test]
fn a_gang_starts_beside_a_stream_of_short_tasks() {
    for (declared_ms, short_ms) in [(LONG_MS, 1_000), (LONG_MS, 100), (LONG_MS, 5_000), (500, 0)] {
        let mut world = world_with_waiting_gang(declared_ms);
        let mut number = 100;
        let short = |world: &mut World| {
            number += 1;
            if number % 4 == 0 {
                let short = lasting(short_ms, step(1, 1_000));
                world.submit_to("later", id(number), job(vec![short]));
            }
        };

        let waited_ms = start_after(&mut world, GANG, short);

        assert!(
            waited_ms <= CLAIM_BOUND_MS + 1_000 + RECALL_BOUND_MS,
            "{waited_ms} ms with estimates of {declared_ms} and {short_ms} ms"
        );
    }
}

/// Guards against a gang that waits for as long as other tasks last that began after it.
#[test]
fn runs_on_the_room_of_a_gang_are_stopped_once_only_they_are_in_its_way() {
    let mut world = world_with_waiting_gang(LONG_MS);
    world.work_ms = 60_000;
    // One on each worker that is idle.
    let long = Step { max_per_host: 1, ..lasting(60_000, step(5, 1_000)) };
    world.submit_to("later", id(100), job(vec![long]));
    world.run(START_BOUND_MS);
    assert!(has_run(&world, id(100)), "{}", world.describe_waits());
    world.work_ms = 1_000;

    start_after(&mut world, GANG, |_| {});
    let (started_ms, recalls) = (world.now_ms, world.recalls);
    world.run(60_000);

    assert!(started_ms <= LONG_MS + 50 + RECALL_BOUND_MS, "{started_ms} ms");
    assert!((1..=5).contains(&recalls), "{recalls} runs were stopped");
    assert_eq!(world.state(GANG), Some(State::Complete));
    assert_eq!(world.state(id(100)), Some(State::Complete));
}

/// Guards against a task that is stopped for one gang after the other and never ends.
#[test]
fn a_task_yields_to_gangs_only_so_often() {
    let mut world = world_with_waiting_gang(LONG_MS);
    world.takes_estimate = true;
    world.submit_to("later", id(100), job(vec![lasting(30_000, step(1, 1_000))]));
    world.run(START_BOUND_MS);

    for number in 0..12 {
        let whole = lasting(1_000, gang(HOSTS as u32, 4_000));
        world.submit(id(1_000 + number), job(vec![whole]));
        world.run(3_000);
    }
    while world.now_ms < 120_000 && !world.finished_ms.contains_key(&id(100)) {
        world.run(1_000);
    }

    // The oracle checks how often a task is stopped for others.
    assert!(world.recalls >= 1);
    assert!(world.finished_ms.contains_key(&id(100)), "{}", world.describe_waits());
}
