//! Tasks with a latency objective beside workers that are full of best-effort tasks, which never
//! share a worker with them.

use std::collections::BTreeSet;

use sycamore_graph::job::{Id, State, Step};
use sycamore_graph::{HostEntry, PreemptionTiming};
use sycamore_types::Name;

use crate::fixture::{catalog, host, id, job, queue, size, step};
use crate::world::World;

/// Time after its last run within which a lasting task has to run again, in milliseconds: a lost
/// worker's lease of 6 s, and the 3 s that the platform's LOST allows.
const RESTART_MS: u64 = 9_000;

/// Time for which the platform's LOST lets a task wait whose turn has come, in milliseconds.
const START_MS: u64 = 3_000;

/// Time that a worker of the documented sites takes to stop a run at most, in milliseconds.
const STOP_MS: u64 = 400;

const SERVING: Id = Id(1);
const FILLING: Id = Id(2);

fn serving(tasks: u32) -> Step {
    Step {
        latency_objective_ms: 200,
        is_service: true,
        estimate_ms: 1_000_000,
        ..step(tasks, 1_000)
    }
}

fn filling(tasks: u32) -> Step {
    Step { is_best_effort: true, estimate_ms: 60_000, ..step(tasks, 2_000) }
}

fn world(workers: usize) -> World {
    world_of((0..workers).map(host).collect())
}

fn world_of(workers: Vec<HostEntry>) -> World {
    let mut world = World::new(0, catalog(queue()), 1);
    workers.into_iter().for_each(|entry| world.add_worker(entry));
    world.takes_estimate = true;
    world.workers.iter_mut().for_each(|worker| worker.stop_ms = STOP_MS);
    world.run(100);
    world
}

/// Returns the numbers of the workers that run tasks of a job.
fn workers_of(world: &World, job: Id) -> Vec<usize> {
    let runs_job = |at: &usize| {
        let worker = &world.workers[*at];
        worker.is_alive && worker.runs.keys().any(|(task, _)| task.step.job == job)
    };
    (0..world.workers.len()).filter(runs_job).collect()
}

fn runs_of(world: &World, job: Id) -> usize {
    let alive = world.workers.iter().filter(|worker| worker.is_alive);
    let runs = alive.flat_map(|worker| worker.runs.keys());
    runs.filter(|(task, _)| task.step.job == job).count()
}

/// Runs the simulation until a job has so many runs, for `most_ms` at most. Returns the time taken.
fn run_until(world: &mut World, job: Id, runs: usize, most_ms: u64) -> u64 {
    let begin_ms = world.now_ms;
    while runs_of(world, job) < runs && world.now_ms < begin_ms + most_ms {
        world.run(5);
    }
    let waits = world.describe_waits();
    assert!(runs_of(world, job) >= runs, "LOST: {} ms: {waits}", world.now_ms - begin_ms);
    world.now_ms - begin_ms
}

fn cleared_workers(world: &World) -> BTreeSet<Name> {
    world.cleared.iter().map(|(worker, ..)| worker.clone()).collect()
}

/// A lasting task with a latency objective whose worker was lost was not started again for as long
/// as best-effort tasks ran on all other workers (LOST, review/2).
#[test]
fn a_service_starts_again_although_best_effort_tasks_run_on_all_other_workers() {
    let mut world = world(16);
    world.submit(SERVING, job(vec![serving(1)]));
    world.run(200);
    world.submit(FILLING, job(vec![filling(15)]));
    world.run(2_000);
    let at = workers_of(&world, SERVING)[0];
    assert_eq!(workers_of(&world, FILLING).len(), 15);

    world.crash_worker(at, 600_000);
    run_until(&mut world, SERVING, 1, RESTART_MS);

    assert_eq!(world.cleared.len(), 1);
    // The stopped task goes on beside another one.
    world.run(500);
    assert_eq!(runs_of(&world, FILLING), 15);
    assert_eq!(workers_of(&world, FILLING).len(), 14);
}

/// The same for a task that is submitted after the best-effort tasks.
#[test]
fn a_new_service_starts_although_best_effort_tasks_run_on_all_workers() {
    let mut world = world(4);
    world.submit(FILLING, job(vec![filling(4)]));
    world.run(1_000);

    world.submit(SERVING, job(vec![serving(1)]));
    run_until(&mut world, SERVING, 1, START_MS);

    assert_eq!(world.cleared.len(), 1);
}

/// Best-effort tasks came back to the worker, or one worker after the other was cleared.
#[test]
fn one_worker_is_cleared_once_and_stays_free_of_best_effort_tasks() {
    let mut world = world(4);
    // Each worker has room for three, so that some wait for room.
    let waiting = Step { size: size(1_000, 1_300), ..filling(14) };
    world.submit(FILLING, job(vec![waiting]));
    world.run(1_000);
    assert_eq!(runs_of(&world, FILLING), 12);

    world.submit(SERVING, job(vec![serving(1)]));
    run_until(&mut world, SERVING, 1, START_MS);
    world.run(20_000);

    assert_eq!(cleared_workers(&world).len(), 1);
    assert_eq!(world.cleared.len(), 3);
    assert_eq!(runs_of(&world, FILLING), 9);
    assert_eq!(world.unused_reservations, 0);
}

/// Preemption needs settings that a platform may lack; this must not.
#[test]
fn a_worker_is_cleared_with_preemption_as_well() {
    let mut world = world(4);
    let (stop_ms, checkpoint_ms, restore_ms) = (STOP_MS, 2_000, 250);
    world.enable_preemption(PreemptionTiming { stop_ms, checkpoint_ms, restore_ms });
    world.submit(FILLING, job(vec![filling(4)]));
    world.run(1_000);

    world.submit(SERVING, job(vec![serving(1)]));
    run_until(&mut world, SERVING, 1, START_MS);

    assert_eq!(world.cleared.len(), 1);
    assert_eq!(world.preemptions, 0);
}

/// Work of best-effort tasks must not be stopped where there is room without that.
#[test]
fn nothing_is_stopped_while_a_worker_has_no_best_effort_task() {
    let mut world = world(4);
    world.submit(FILLING, job(vec![filling(3)]));
    world.run(1_000);

    world.submit(SERVING, job(vec![serving(4)]));
    world.run(5_000);

    assert_eq!(runs_of(&world, SERVING), 4);
    assert!(world.cleared.is_empty());
}

/// A worker that is listed soon after has room, so that no work need be stopped.
#[test]
fn nothing_is_stopped_if_room_comes_at_once() {
    let mut world = world(4);
    world.submit(FILLING, job(vec![filling(4)]));
    world.run(1_000);

    world.submit(SERVING, job(vec![serving(1)]));
    world.run(300);
    world.add_worker(host(4));
    world.run(2_000);

    assert_eq!(runs_of(&world, SERVING), 1);
    assert!(world.cleared.is_empty());
}

/// Work was stopped on workers that the task could not use anyway.
#[test]
fn only_a_worker_with_the_label_and_enough_room_is_cleared() {
    let mut workers: Vec<HostEntry> = (0..6).map(host).collect();
    workers[2].labels = ["b".into()].into();
    workers[3].labels = ["b".into()].into();
    workers[2].capacity = size(4_000, 900);
    let mut world = world_of(workers);
    world.submit(FILLING, job(vec![filling(6)]));
    world.run(1_000);

    let labelled = Step { required_label: Some("b".into()), ..serving(1) };
    world.submit(SERVING, job(vec![Step { size: size(1_000, 1_000), ..labelled }]));
    run_until(&mut world, SERVING, 1, START_MS);

    assert_eq!(workers_of(&world, SERVING), [3]);
    assert_eq!(cleared_workers(&world), BTreeSet::from(["host-03".into()]));
}

/// Nothing may be stopped for a task that would not fit on any worker even then.
#[test]
fn nothing_is_stopped_if_that_gives_no_room() {
    let mut world = world(3);
    world.submit(id(3), job(vec![Step { estimate_ms: 600_000, ..step(3, 3_500) }]));
    world.run(100);
    world.submit(FILLING, job(vec![filling(3)]));
    world.run(1_000);

    world.submit(SERVING, job(vec![serving(1)]));
    world.run(5_000);

    assert!(world.cleared.is_empty());
}

/// More workers than tasks were cleared, or more work was stopped than needed.
#[test]
fn several_tasks_share_a_worker_that_is_cleared() {
    let mut world = world(12);
    world.submit(FILLING, job(vec![filling(12)]));
    world.run(1_000);

    for number in 10..14 {
        world.submit(id(number), job(vec![serving(1)]));
    }
    for number in 10..14 {
        run_until(&mut world, id(number), 1, START_MS);
    }

    assert_eq!(cleared_workers(&world).len(), 1);
}

/// Tasks of a step that is spread need a worker each. They were cleared one after the other, not
/// more at a time than a tenth of the workers.
#[test]
fn tasks_that_may_not_share_a_worker_get_one_each() {
    let mut world = world(12);
    world.submit(FILLING, job(vec![filling(12)]));
    world.run(1_000);

    world.submit(SERVING, job(vec![Step { max_per_host: 1, ..serving(3) }]));
    run_until(&mut world, SERVING, 3, RESTART_MS);

    assert_eq!(workers_of(&world, SERVING).len(), 3);
    assert_eq!(cleared_workers(&world).len(), 3);
}

/// A gang with a latency objective needs all of its workers at the same time.
#[test]
fn a_gang_with_an_objective_gets_workers_for_all_members() {
    let mut world = world(6);
    world.submit(FILLING, job(vec![filling(6)]));
    world.run(1_000);

    let gang = Step { is_gang: true, max_per_host: 1, ..serving(4) };
    world.submit(SERVING, job(vec![gang]));
    run_until(&mut world, SERVING, 4, START_MS);

    assert_eq!(cleared_workers(&world).len(), 4);
    world.run(4_000);
    assert_eq!(world.gang_timeouts, 0);
    assert_eq!(runs_of(&world, SERVING), 4);
}

/// The workers of a gang were cleared although there are too few for all members.
#[test]
fn no_worker_is_cleared_for_a_part_of_a_gang() {
    let mut world = world(3);
    world.submit(FILLING, job(vec![filling(3)]));
    world.run(1_000);

    let gang = Step { is_gang: true, max_per_host: 1, ..serving(4) };
    world.submit(SERVING, job(vec![gang]));
    world.run(5_000);

    assert!(world.cleared.is_empty());
}

/// The worker was chosen on which the most work was lost.
#[test]
fn the_worker_with_the_least_work_to_lose_is_cleared() {
    let mut world = world(3);
    world.submit(FILLING, job(vec![filling(2)]));
    world.run(3_000);
    // It fits only on the worker that has none yet.
    world.submit(id(3), job(vec![Step { size: size(2_000, 4_000), ..filling(1) }]));
    world.run(1_000);
    let young = workers_of(&world, id(3));

    world.submit(SERVING, job(vec![serving(1)]));
    run_until(&mut world, SERVING, 1, START_MS);

    assert_eq!(workers_of(&world, SERVING), young);
}

/// Lasting best-effort tasks were stopped beyond the disruption budget of their step (AVAIL; the
/// simulation checks it at each stop).
#[test]
fn tasks_with_a_disruption_budget_are_stopped_one_at_a_time() {
    let mut world = world(24);
    let budgeted = Step { is_service: true, max_unavailable: Some(1), ..filling(24) };
    world.submit(FILLING, job(vec![budgeted]));
    world.run(2_000);

    // Two workers could be cleared at the same time.
    world.submit(SERVING, job(vec![Step { max_per_host: 1, ..serving(3) }]));
    run_until(&mut world, SERVING, 3, RESTART_MS);

    assert_eq!(cleared_workers(&world).len(), 3);
    world.run(1_000);
    assert_eq!(runs_of(&world, FILLING), 24);
}

/// Each worker has more tasks of a step than may be unavailable at the same time.
#[test]
fn no_worker_is_cleared_beyond_a_disruption_budget() {
    let mut world = world(4);
    let budgeted = Step { is_service: true, max_unavailable: Some(1), ..filling(8) };
    world.submit(FILLING, job(vec![budgeted]));
    world.run(2_000);

    world.submit(SERVING, job(vec![serving(1)]));
    world.run(5_000);

    assert!(world.cleared.is_empty());
}

/// A budget of zero forbids each stop. The worker without such a task has to be found.
#[test]
fn tasks_that_may_never_be_unavailable_are_not_stopped() {
    let mut world = world(4);
    let fixed = Step { is_service: true, max_unavailable: Some(0), ..filling(3) };
    world.submit(FILLING, job(vec![Step { max_per_host: 1, ..fixed }]));
    world.run(1_000);
    world.submit(id(3), job(vec![Step { size: size(1_000, 4_000), ..filling(1) }]));
    world.run(1_000);

    world.submit(SERVING, job(vec![serving(1)]));
    run_until(&mut world, SERVING, 1, START_MS);

    assert!(world.cleared.iter().all(|(_, task, _)| task.step.job == id(3)));
}

/// A new owner knows nothing of reservations. Stops in flight end, and its passes decide anew.
#[test]
fn the_task_starts_although_the_owner_dies_between_stop_and_start() {
    for ms in [0, 100, 395, 410] {
        let mut world = world(4);
        world.submit(FILLING, job(vec![filling(4)]));
        world.run(1_000);
        world.submit(SERVING, job(vec![serving(1)]));
        while world.cleared.is_empty() {
            world.run(5);
            assert!(world.now_ms < 10_000, "no worker is cleared");
        }
        world.run(ms);

        world.take_over();
        run_until(&mut world, SERVING, 1, RESTART_MS);

        assert!(cleared_workers(&world).len() <= 2);
    }
}

/// A stop without a reply, which is repeated, must not make another worker be cleared.
#[test]
fn a_stop_without_a_reply_clears_no_second_worker() {
    let mut world = world(4);
    world.submit(FILLING, job(vec![filling(4)]));
    world.run(1_000);
    world.workers.iter_mut().for_each(|worker| worker.loses_stop_replies = true);

    world.submit(SERVING, job(vec![serving(1)]));
    run_until(&mut world, SERVING, 1, START_MS);

    assert_eq!(cleared_workers(&world).len(), 1);
}

/// The worker that was being cleared is lost, so that the task has to find another one.
#[test]
fn another_worker_is_cleared_if_the_first_one_is_lost() {
    let mut world = world(4);
    world.submit(FILLING, job(vec![filling(4)]));
    world.run(1_000);
    world.submit(SERVING, job(vec![serving(1)]));
    while world.cleared.is_empty() {
        world.run(5);
        assert!(world.now_ms < 10_000, "no worker is cleared");
    }

    let name = world.cleared[0].0.clone();
    let at = world.workers.iter().position(|worker| worker.entry.id == name);
    world.lose_worker(at.expect("the worker exists"));
    run_until(&mut world, SERVING, 1, START_MS);

    assert_eq!(cleared_workers(&world).len(), 2);
}

/// A task that fails again and again stopped the work of one worker after the other, as waiting
/// best-effort tasks took its worker each time.
#[test]
fn a_failing_service_does_not_clear_one_worker_after_the_other() {
    let mut world = world(4);
    // Each worker has room for three, so that many wait for room.
    world.submit(FILLING, job(vec![Step { size: size(1_000, 1_300), ..filling(40) }]));
    world.run(1_000);
    world.failure_share = 1.0;
    world.submit(SERVING, job(vec![Step { estimate_ms: 300, ..serving(1) }]));

    world.run(30_000);

    let starts = world.oracle.starts;
    assert!(starts > 20, "{starts} starts");
    assert!(world.cleared.len() <= 21, "{} stops: {:?}", world.cleared.len(), world.cleared);
    run_until(&mut world, SERVING, 1, RESTART_MS);
}

/// A task under which a worker has crashed starts apart from others, and needs a cleared worker, too.
#[test]
fn a_suspect_gets_a_cleared_worker_after_each_crash() {
    let mut world = world(6);
    world.submit(SERVING, job(vec![serving(1)]));
    world.run(200);
    world.submit(FILLING, job(vec![filling(5)]));
    world.run(1_000);

    for _ in 0..2 {
        let at = workers_of(&world, SERVING)[0];
        world.crash_worker(at, 600_000);
        run_until(&mut world, SERVING, 1, RESTART_MS);
        world.run(4_000);
    }

    assert_eq!(cleared_workers(&world).len(), 2);
    assert_eq!(world.state(SERVING), Some(State::Running));
}

/// Advice may deny the worker that was cleared. Each worker may be cleared in vain once at most.
#[test]
fn a_service_of_an_advised_queue_gets_a_worker_that_advice_allows() {
    let mut world = World::new(6, catalog(crate::fixture::advised_queue()), 1);
    world.takes_estimate = true;
    world.allowed_share = 0.4;
    world.configure(|catalog| {
        catalog.queues.insert("bulk".into(), queue());
    });
    world.take_over();
    world.submit_to("bulk", FILLING, job(vec![filling(6)]));
    world.run(1_000);
    let allowed = |world: &World, name: &Name| world.is_allowed(SERVING, name);
    assert!(world.workers.iter().any(|worker| allowed(&world, &worker.entry.id)));

    world.submit(SERVING, job(vec![serving(1)]));
    run_until(&mut world, SERVING, 1, 6 * START_MS);

    let in_vain = cleared_workers(&world).iter().filter(|name| !allowed(&world, name)).count();
    assert!(in_vain <= 5);
    let mut in_order: Vec<&Name> = world.cleared.iter().map(|(worker, ..)| worker).collect();
    in_order.dedup();
    assert_eq!(in_order.len(), cleared_workers(&world).len());
}
