//! Takeovers while workers have more run ends than one report lists, or rows that can't be read.

use sycamore_graph::RunEnd;
use sycamore_graph::catalog::Queue;
use sycamore_graph::job::{State, Step};

use crate::fixture::{catalog, gang, id, job, queue, step};
use crate::world::World;

/// Most run ends in one report.
const LISTED_ENDS: usize = 5;

/// Tasks of a job, half of them on each worker: their ends take four reports and more.
const TASKS: u32 = 40;

/// Time after which reports and log records of a takeover have arrived, in milliseconds.
const TAKEOVER_MS: u64 = 300;

/// Returns a world of two workers on which `steps` have run to their end without an owner that heard of
/// it.
fn world_with_unheard_ends(steps: Vec<Step>) -> World {
    let mut world = World::new(2, catalog(queue()), 1);
    world.limit_listed_ends(LISTED_ENDS);
    world.work_ms = 400;
    let first_tasks = steps[0].tasks as usize;
    world.submit(id(1), job(steps));
    while world.running() < first_tasks {
        world.run(5);
    }
    world.workers.iter_mut().for_each(|worker| worker.is_unreachable = true);
    world.run(500);
    assert_eq!(world.running(), 0);
    world
}

fn take_over_in_reach(world: &mut World) {
    world.workers.iter_mut().for_each(|worker| worker.is_unreachable = false);
    world.take_over();
}

/// A new owner took a report of as many ends as fit for the whole, and started all tasks again whose
/// ends came with the next one: rule TWICE (review/11).
#[test]
fn tasks_whose_ends_come_with_later_reports_do_not_start_again() {
    let mut world = world_with_unheard_ends(vec![step(TASKS, 100)]);

    take_over_in_reach(&mut world);
    world.run(TAKEOVER_MS);

    assert_eq!(world.state(id(1)), Some(State::Complete), "{}", world.describe_waits());
    assert_eq!(world.oracle.starts, u64::from(TASKS));
    assert_eq!(world.expired_leases, []);
}

/// The same if the owner is replaced again before it has got all reports.
#[test]
fn an_owner_that_is_replaced_between_two_reports_leaves_the_others_to_its_successor() {
    let mut world = world_with_unheard_ends(vec![step(TASKS, 100)]);

    take_over_in_reach(&mut world);
    world.run(30);
    world.take_over();
    world.run(30);
    world.take_over();
    world.run(TAKEOVER_MS);

    assert_eq!(world.state(id(1)), Some(State::Complete), "{}", world.describe_waits());
    assert_eq!(world.oracle.starts, u64::from(TASKS));
}

/// Guards against a log that says that a silent worker has no runs, after a report that left ends out:
/// the next owner would not wait for it and start the tasks again.
#[test]
fn a_worker_that_falls_silent_between_two_reports_is_awaited_by_the_next_owner() {
    let mut world = world_with_unheard_ends(vec![step(TASKS, 100)]);

    take_over_in_reach(&mut world);
    world.run(20);
    world.workers[0].is_unreachable = true;
    world.run(1_000);
    world.take_over();
    world.run(500);
    let awaited = world.awaited_hosts().len();
    world.workers[0].is_unreachable = false;
    world.list_hosts();
    world.run(1_500);

    assert_eq!(awaited, 1);
    assert_eq!(world.state(id(1)), Some(State::Complete), "{}", world.describe_waits());
    assert_eq!(world.oracle.starts, u64::from(TASKS));
}

/// Guards against a wait without end for a worker that is lost after a report that left ends out.
#[test]
fn a_worker_that_is_lost_between_two_reports_is_awaited_until_its_lease_expires() {
    let mut world = world_with_unheard_ends(vec![step(TASKS, 100)]);

    take_over_in_reach(&mut world);
    world.run(20);
    world.lose_worker(0);
    world.run(5_000);
    let early = world.oracle.starts;
    world.run(4_000);

    assert_eq!(early, u64::from(TASKS));
    assert_eq!(world.state(id(1)), Some(State::Complete), "{}", world.describe_waits());
}

/// Guards against failed runs behind the first report that don't count: the tasks would get more
/// attempts than the queue allows (rule BUDGET).
#[test]
fn failed_runs_in_later_reports_count() {
    let mut world = World::new(2, catalog(Queue { max_attempts: 1, ..queue() }), 1);
    world.limit_listed_ends(LISTED_ENDS);
    world.work_ms = 400;
    world.submit(id(1), job(vec![step(20, 100)]));
    world.run(20);
    world.work_ms = 420;
    world.failure_share = 1.0;
    world.submit(id(2), job(vec![Step { max_per_host: 1, ..step(2, 100) }]));
    while world.running() < 22 {
        world.run(5);
    }
    world.workers.iter_mut().for_each(|worker| worker.is_unreachable = true);
    world.run(500);

    take_over_in_reach(&mut world);
    world.run(TAKEOVER_MS);

    assert_eq!(world.state(id(2)), Some(State::Failed));
    assert_eq!(world.oracle.starts, 22);
}

/// Guards against a gang that starts again since the end of its members comes with a later report.
#[test]
fn a_gang_whose_end_comes_with_a_later_report_does_not_start_again() {
    let first = step(30, 100);
    let mut world = world_with_unheard_ends(vec![first, gang(10, 100)]);

    take_over_in_reach(&mut world);
    world.run(TAKEOVER_MS + 600);

    assert_eq!(world.state(id(1)), Some(State::Complete), "{}", world.describe_waits());
    assert_eq!(world.oracle.starts, 40);
}

/// A world with a new owner and eight long tasks, of which a worker lists one in a way that can't be
/// read.
fn world_with_unreadable_run() -> World {
    let mut world = World::new(2, catalog(queue()), 1);
    world.work_ms = 60_000;
    world.submit(id(1), job(vec![Step { estimate_ms: 60_000, ..step(8, 1_000) }]));
    world.run(300);
    world.workers[0].has_unreadable_row = true;
    world.take_over();
    world
}

/// Guards against a task that starts again beside its run, which a report did not show.
#[test]
fn a_task_whose_run_can_not_be_read_does_not_start_beside_it() {
    let mut world = world_with_unreadable_run();

    world.run(5_000);
    world.workers[0].has_unreadable_row = false;
    world.run(5_000);

    assert_eq!((world.running(), world.oracle.starts), (8, 8), "{}", world.describe_waits());
}

/// Guards against a recovery without end: the lease of a worker whose reports stay incomplete was renewed
/// with each of them.
#[test]
fn a_row_that_can_never_be_read_holds_up_a_takeover_until_the_lease_expires() {
    let mut world = world_with_unreadable_run();

    world.run(8_000);
    world.submit(id(2), job(vec![Step { estimate_ms: 60_000, ..step(1, 1_000) }]));
    world.run(1_000);

    assert_eq!(world.waits().iter().filter(|wait| wait.step.job == id(1)).count(), 0);
    assert!(world.running() >= 8, "{} run, {}", world.running(), world.describe_waits());
    let lapsed = |end: &&(u64, _, _, RunEnd, _)| end.3 == RunEnd::LeaseExpired;
    assert!(world.workers[1].ends.iter().filter(lapsed).count() == 0);
}
