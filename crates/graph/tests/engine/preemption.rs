//! Short urgent work beside workers that are full of long tasks that save checkpoints.

use sycamore_graph::catalog::{Catalog, Queue};
use sycamore_graph::job::{Id, State, Step};
use sycamore_graph::{HostEntry, PreemptionTiming};

use crate::fixture::{catalog, gang, host, id, job, queue, size, step};
use crate::world::World;

/// Workers of each test: a tenth of their capacity has room for the tasks of several jobs.
const WORKERS: usize = 12;

/// First number of the long jobs.
const LONG: u64 = 10_000;

fn timing() -> PreemptionTiming {
    PreemptionTiming { stop_ms: 200, checkpoint_ms: 500, restore_ms: 250 }
}

/// Short tasks of priority 0, gangs of priority 1 and long tasks of priority 2.
fn queues() -> Catalog {
    let mut catalog = catalog(Queue { slack_factor: 1.5, objective_ms: 250, ..queue() });
    let gangs = Queue { priority: 1, slack_factor: 2.2, objective_ms: 1_000, ..queue() };
    let long = Queue { priority: 2, slack_factor: 4.0, objective_ms: 0, ..queue() };
    catalog.queues.insert("gangs".into(), gangs);
    catalog.queues.insert("long".into(), long);
    catalog
}

fn short_step() -> Step {
    Step { estimate_ms: 1_000, ..step(3, 2_500) }
}

fn long_step() -> Step {
    Step { estimate_ms: 3_400, is_checkpointing: true, ..step(25, 1_700) }
}

fn wide_gang() -> Step {
    Step { estimate_ms: 4_000, ..gang(20, 4_500) }
}

fn large_host(number: usize) -> HostEntry {
    HostEntry { capacity: size(16_000, 32_000), ..host(number) }
}

/// Workers with 16 cores, and the preemption of the first deployment.
fn world(workers: usize, seed: u64) -> World {
    let mut world = World::new(0, queues(), seed);
    (0..workers).for_each(|number| world.add_worker(large_host(number)));
    world.takes_estimate = true;
    world.enable_preemption(timing());
    world
}

/// Fills all workers with long tasks, some of which wait.
fn fill(world: &mut World, jobs: u64) {
    for number in 0..jobs {
        world.submit_to("long", id(LONG + number), job(vec![long_step()]));
    }
    world.run(600);
}

fn run_until_preemption(world: &mut World) {
    for _ in 0..200 {
        if world.preemptions > 0 {
            return;
        }
        world.run(5);
    }
    panic!("no run is stopped: {}", world.describe_waits());
}

/// Fraction of the jobs that were complete within a time after their submission.
fn in_time(world: &World, submitted: &[(Id, u64)], objective_ms: u64) -> f64 {
    let is_in_time = |(id, at): &&(Id, u64)| {
        world.finished_ms.get(id).is_some_and(|done| done - at <= objective_ms)
    };
    submitted.iter().filter(is_in_time).count() as f64 / submitted.len() as f64
}

/// Urgent work waited for long tasks to end, although these can be stopped at little cost.
#[test]
fn a_short_task_takes_the_room_of_long_ones() {
    let mut world = world(WORKERS, 1);
    fill(&mut world, 6);

    world.submit(id(1), job(vec![short_step()]));
    world.run(1_750);

    assert_eq!(world.state(id(1)), Some(State::Complete), "{}", world.describe_waits());
    assert!(world.preemptions > 0);
    assert_eq!(world.unused_reservations, 0);
}

/// Deployment 1 on its heaviest day served 0.611 of the short jobs in time. Waiting long tasks
/// took each hole on a worker before it had grown to the size of a short task.
#[test]
fn short_jobs_are_in_time_beside_long_ones_that_stay_in_time() {
    let mut world = world(WORKERS, 2);
    fill(&mut world, 7);
    let (mut short, mut long) = (Vec::new(), Vec::new());
    for round in 0..40_u64 {
        // With the seven long jobs before, all workers are full of long tasks, and some wait.
        if round % 2 == 0 {
            let number = id(LONG + 100 + round);
            world.submit_to("long", number, job(vec![long_step()]));
            long.push((number, world.now_ms));
        }
        let number = id(1 + round);
        world.submit(number, job(vec![short_step()]));
        short.push((number, world.now_ms));
        world.run(450);
    }
    world.run(20_000);

    assert!(world.preemptions > 0);
    // A tenth of the capacity is being reclaimed at most.
    assert!(world.most_reclaimed_cpu <= WORKERS as u32 * 1_600);
    let (short, long) = (in_time(&world, &short, 1_750), in_time(&world, &long, 13_600));
    assert!(short >= 0.95, "{short} of the short jobs are in time");
    assert!(long >= 0.9, "{long} of the long jobs are in time");
}

/// A preemption that is repeated under a lasting overload would stop the same tasks again and
/// again, and the long work would never end.
#[test]
fn a_lasting_overload_does_not_stop_long_tasks_again_and_again() {
    let mut world = world(4, 3);
    let mut long = Vec::new();
    for round in 0..60_u64 {
        if round % 4 == 0 {
            let number = id(LONG + round);
            world.submit_to("long", number, job(vec![long_step()]));
            long.push(number);
        }
        (0..3).for_each(|n| {
            world.submit(id(1 + round * 3 + n), job(vec![short_step()]));
        });
        world.run(250);
    }
    world.run(120_000);

    for number in long {
        assert_eq!(world.state(number), Some(State::Complete), "{}", world.describe_waits());
    }
    // 15 long jobs of 25 tasks, each of which yields at most twice.
    assert!(world.preemptions <= 15 * 25 * 2);
}

/// Preemption is off where the settings do not name its cost.
#[test]
fn nothing_is_stopped_without_the_settings() {
    let mut world = World::new(0, queues(), 1);
    (0..WORKERS).for_each(|number| world.add_worker(large_host(number)));
    world.takes_estimate = true;
    fill(&mut world, 6);

    world.submit(id(1), job(vec![short_step()]));
    world.run(2_000);

    assert_eq!(world.preemptions, 0);
}

/// Stopping costs more than it gains where a task takes long to resume or to stop.
#[test]
fn nothing_is_stopped_where_it_is_expensive() {
    for dear in [
        PreemptionTiming { restore_ms: 600, ..timing() },
        PreemptionTiming { stop_ms: 400, ..timing() },
    ] {
        let mut world = world(WORKERS, 1);
        world.enable_preemption(dear);
        fill(&mut world, 6);

        world.submit(id(1), job(vec![short_step()]));
        world.run(2_000);

        assert_eq!(world.preemptions, 0);
    }
}

/// Services, steps with a disruption budget, gangs, best-effort tasks and tasks that would lose
/// more than a checkpoint interval must not be stopped for others.
#[test]
fn protected_runs_do_not_yield() {
    let protected = [
        Step { is_service: true, ..long_step() },
        Step { max_unavailable: Some(1), ..long_step() },
        Step { is_gang: true, ..long_step() },
        Step { is_checkpointing: false, estimate_ms: 6_000, ..long_step() },
    ];
    for step in protected {
        let mut world = world(WORKERS, 1);
        let tasks = (WORKERS * 9) as u32;
        world.submit_to("long", id(LONG), job(vec![Step { tasks, ..step }]));
        world.run(900);

        world.submit(id(1), job(vec![short_step()]));
        world.run(2_000);

        assert_eq!(world.preemptions, 0);
    }
}

/// A victim that began anew would lose far more than the work since its checkpoint.
#[test]
fn victims_resume_from_their_checkpoint() {
    let mut world = world(WORKERS, 1);
    fill(&mut world, 6);
    world.run(1_700);
    world.submit(id(1), job(vec![short_step()]));
    run_until_preemption(&mut world);

    let is_resumed = |world: &World| {
        let mut runs = world.workers.iter().flat_map(|worker| worker.runs.values());
        runs.any(|run| run.resumed_ms >= 1_500)
    };
    let mut has_resumed = false;
    for _ in 0..60 {
        world.run(50);
        has_resumed |= is_resumed(&world);
    }

    assert!(has_resumed);
    world.run(10_000);
    for number in 0..6 {
        assert_eq!(world.state(id(LONG + number)), Some(State::Complete));
    }
}

/// A new owner knows nothing of reservations: stops in flight end, and the next pass decides
/// anew.
#[test]
fn the_step_starts_although_the_owner_dies_between_stop_and_start() {
    let mut world = world(WORKERS, 1);
    fill(&mut world, 6);
    world.submit(id(1), job(vec![short_step()]));
    run_until_preemption(&mut world);

    world.run(50);
    world.take_over();
    world.run(4_000);

    assert_eq!(world.state(id(1)), Some(State::Complete), "{}", world.describe_waits());
}

/// A stop whose reply is lost is repeated. The victim must yield once, and the step must start.
#[test]
fn a_stop_without_a_reply_gives_room_all_the_same() {
    let mut world = world(WORKERS, 1);
    fill(&mut world, 6);
    world.workers.iter_mut().for_each(|worker| worker.loses_stop_replies = true);

    world.submit(id(1), job(vec![short_step()]));
    world.run(4_000);

    assert_eq!(world.state(id(1)), Some(State::Complete), "{}", world.describe_waits());
    // Two long tasks for each of the three short ones.
    assert!(world.preemptions <= 6, "{} preemptions", world.preemptions);
}

/// A victim may be done before the stop reaches it.
#[test]
fn a_victim_that_ends_by_itself_counts_as_done() {
    let mut world = world(WORKERS, 1);
    fill(&mut world, 6);
    world.submit(id(1), job(vec![short_step()]));
    run_until_preemption(&mut world);

    let now_ms = world.now_ms;
    for worker in &mut world.workers {
        worker.runs.values_mut().for_each(|run| run.until_ms = now_ms);
    }
    world.run(4_000);

    assert_eq!(world.state(id(1)), Some(State::Complete));
    for number in 0..6 {
        assert_eq!(world.state(id(LONG + number)), Some(State::Complete));
    }
}

/// The room that was reserved on a lost worker never comes. The step must look for other room.
#[test]
fn a_step_finds_other_room_when_the_worker_of_its_reservation_is_lost() {
    let mut world = world(WORKERS, 1);
    fill(&mut world, 6);
    world.submit(id(1), job(vec![Step { tasks: 1, ..short_step() }]));
    run_until_preemption(&mut world);
    world.run(10);

    let is_stopping =
        |worker: &crate::worker::Worker| worker.runs.values().any(|run| run.stop_ms.is_some());
    let at = world.workers.iter().position(is_stopping).expect("a victim is being stopped");
    world.lose_worker(at);
    world.run(3_000);

    assert_eq!(world.state(id(1)), Some(State::Complete), "{}", world.describe_waits());
}

/// Gangs of deployment 1 were in time in 0.413 of the cases: 20 holes of 4.5 cores never came at
/// the same time.
#[test]
fn a_gang_takes_the_room_of_long_tasks() {
    let mut world = world(90, 1);
    fill(&mut world, 34);

    world.submit_to("gangs", id(1), job(vec![wide_gang()]));
    world.run(9_800);

    assert_eq!(world.state(id(1)), Some(State::Complete), "{}", world.describe_waits());
    assert_eq!(world.gang_timeouts, 0);
    assert!(world.preemptions > 0);
}

/// Serves gangs of 20 beside long tasks that fill the workers. Returns the fraction of each that is
/// in time.
fn serve_gangs(workers: usize, seed: u64) -> (f64, f64) {
    let mut world = world(workers, seed);
    fill(&mut world, workers as u64 / 2);
    let (mut gangs, mut long) = (Vec::new(), Vec::new());
    for round in 0..16_u64 {
        // Long jobs take 0.84 of the capacity, gangs 0.15.
        for n in 0..workers as u64 / 20 {
            let number = id(LONG + 1_000 + round * 100 + n);
            world.submit_to("long", number, job(vec![long_step()]));
            long.push((number, world.now_ms));
        }
        if round % 4 == 0 {
            let number = id(1 + round);
            world.submit_to("gangs", number, job(vec![wide_gang()]));
            gangs.push((number, world.now_ms));
        }
        world.run(500);
    }
    world.run(14_000);
    assert_eq!(world.gang_timeouts, 0);
    (in_time(&world, &gangs, 9_800), in_time(&world, &long, 13_600))
}

/// Deployment 1 on its heaviest day served 0.413 of the gangs in time.
#[test]
fn gangs_are_in_time_beside_long_ones_that_stay_in_time() {
    let (gangs, long) = serve_gangs(90, 4);

    assert!(gangs >= 0.95, "{gangs} of the gangs are in time");
    assert!(long >= 0.9, "{long} of the long jobs are in time");
}

/// Room for a part of a gang is of no use, and the long tasks would have been stopped in vain.
#[test]
fn no_run_is_stopped_for_a_gang_that_would_not_get_room_for_all() {
    let mut world = world(30, 1);
    fill(&mut world, 12);

    world.submit_to("gangs", id(1), job(vec![wide_gang()]));
    world.run(1_500);

    // 20 members need 90 cores; a tenth of the capacity is 48.
    assert_eq!(world.preemptions, 0);
}
