//! Takeovers: a new owner rebuilds its state from the log and from the reports of the workers.

use std::time::{Duration, Instant};

use sycamore_graph::ExpiredLease;
use sycamore_graph::catalog::{Catalog, Queue};
use sycamore_graph::job::{State, Step};

use crate::fixture::{QUEUE, catalog, gang, id, job, limited, queue, size, step};
use crate::worker::Worker;
use crate::world::World;

/// Most time that the simulation of a takeover takes, in a debug build too. Peers replace an owner that is
/// silent for less.
const MAX_TAKEOVER: Duration = Duration::from_secs(2);

#[test]
fn accepted_jobs_survive_and_running_tasks_continue() {
    let mut world = World::new(2, catalog(queue()), 1);
    world.work_ms = 1_000;
    world.submit(id(1), job(vec![step(4, 1_000)]));
    world.run(300);

    world.take_over();
    world.run(2_000);

    assert_eq!(world.state(id(1)), Some(State::Complete));
    assert_eq!(world.oracle.starts, 4);
}

#[test]
fn reported_states_survive_log_compaction() {
    let mut world = World::new(2, catalog(queue()), 1);
    world.submit(id(1), job(vec![step(2, 1_000)]));
    world.run(1_000);
    assert_eq!(world.state(id(1)), Some(State::Complete));
    world.submit(id(2), job(vec![step(2, 1_000)]));
    world.run(100);

    world.compact();
    world.take_over();

    assert_eq!(world.state(id(1)), Some(State::Complete));
    world.run(2_000);
    assert_eq!(world.state(id(2)), Some(State::Complete));
}

#[test]
fn an_unreachable_worker_is_waited_for_until_its_lease_expires() {
    let mut world = World::new(2, catalog(queue()), 1);
    world.work_ms = 60_000;
    world.submit(id(1), job(vec![step(8, 1_000)]));
    world.run(300);
    assert_eq!(world.oracle.starts, 8);

    world.workers[0].is_unreachable = true;
    world.take_over();
    world.run(5_000);
    let early = world.oracle.starts;
    world.run(6_000);

    assert_eq!(early, 8);
    assert!(world.workers[0].runs.is_empty());
}

/// Guards against a takeover whose cost grows with the square of a step's tasks: the owner of 8,000 running
/// tasks handled nothing else for 5 s.
#[test]
fn a_takeover_of_a_step_with_many_running_tasks_is_quick() {
    let mut world = World::new(16, catalog(queue()), 1);
    world.work_ms = 60_000;
    for worker in &mut world.workers {
        worker.entry.capacity = size(4_000, 64_000);
    }
    world.list_hosts();
    world.submit(id(1), job(vec![step(8_000, 8)]));
    world.run(100);
    assert_eq!(world.running(), 8_000);

    let begin = Instant::now();
    world.take_over();
    world.run(50);
    let taken = begin.elapsed();

    assert!(!world.is_recovering());
    assert!(taken < MAX_TAKEOVER, "{taken:?}");
}

/// Logs did not tell for which workers a successor waited, and whose lease it took for over.
#[test]
fn an_expired_lease_is_reported_once_with_who_granted_it() {
    let mut world = World::new(2, catalog(queue()), 1);
    world.work_ms = 60_000;
    world.submit(id(1), job(vec![step(8, 1_000)]));
    world.run(300);
    let host = world.workers[0].entry.id.clone();
    world.workers[0].is_unreachable = true;

    world.take_over();
    world.run(100);
    let awaited = world.awaited_hosts();
    world.run(12_000);

    assert_eq!(awaited, [(host.clone(), 6_320)]);
    let expired = ExpiredLease {
        host,
        runs: 0,
        may_have_had_others: true,
        was_granted_here: false,
        silent_ms: None,
    };
    assert_eq!(world.expired_leases, [expired]);
}

#[test]
fn a_limit_holds_while_workers_of_the_previous_owner_are_unreachable() {
    let limit = size(6_000, 0);
    let mut world = World::new(4, limited(catalog(queue()), limit), 1);
    world.work_ms = 60_000;
    world.submit(id(1), job(vec![step(6, 1_000)]));
    world.run(300);
    world.workers[0].is_unreachable = true;

    world.take_over();
    world.submit(id(2), job(vec![step(6, 1_000)]));
    world.run(12_000);

    assert!(world.running() <= 6);
}

/// A world in which a job has all of its team's limit while another one waits. Workers take a while to
/// stop runs.
fn world_with_used_up_limit() -> World {
    let mut world = World::new(4, limited(catalog(queue()), size(6_000, 0)), 1);
    use_up_limit(&mut world);
    world
}

fn use_up_limit(world: &mut World) {
    world.workers.iter_mut().for_each(|worker| worker.stop_ms = 300);
    world.work_ms = 60_000;
    world.submit(id(1), job(vec![step(6, 1_000)]));
    world.run(300);
    assert_eq!(world.running(), 6);
    world.submit(id(2), job(vec![step(6, 1_000)]));
    world.run(50);
}

/// Cancels the first job and waits until that is in the log.
fn cancel_first(world: &mut World) {
    world.cancel(id(1));
    world.run(20);
}

/// Runs until the second job has all of the limit. The oracle checks that no start exceeds it.
fn assert_second_starts_within(mut world: World, ms: u64) {
    world.run(ms);

    let of_second =
        |worker: &Worker| worker.runs.keys().filter(|(task, _)| task.step.job == id(2)).count();
    assert_eq!(world.workers.iter().map(of_second).sum::<usize>(), 6, "{}", world.describe_waits());
}

/// Runs of a cancelled job that were still being stopped counted for no team under a new owner, so
/// that the team's next tasks started beside them. Found by fuzzing (QUOTA).
#[test]
fn a_limit_holds_beside_runs_of_a_cancelled_job_that_are_being_stopped() {
    let mut world = world_with_used_up_limit();
    cancel_first(&mut world);

    world.take_over();

    assert_second_starts_within(world, 1_000);
}

/// The same with a log of which only the final state of the cancelled job is left. Guards against a
/// log that loses the sizes of its tasks while they run.
#[test]
fn a_limit_holds_beside_runs_of_a_cancelled_job_after_compaction() {
    let mut world = world_with_used_up_limit();
    cancel_first(&mut world);
    world.compact();
    world.take_over();
    world.run(5);
    // The successor has no more than that either.
    world.compact();

    world.take_over();

    assert_second_starts_within(world, 1_000);
}

/// The log of an older build has no sizes of the tasks of a closed job. Guards against a successor that
/// counts nothing for them.
#[test]
fn a_limit_holds_beside_runs_of_unknown_size() {
    let mut world = world_with_used_up_limit();
    cancel_first(&mut world);
    world.compact();
    world.drop_logged_specs_of_closed_jobs();

    world.take_over();

    assert_second_starts_within(world, 1_000);
}

/// A successor counted no runs of a cancelled job on a silent worker that gets no new work.
#[test]
fn a_limit_holds_beside_runs_of_a_cancelled_job_on_a_silent_leaving_worker() {
    let mut world = world_with_used_up_limit();
    let at = busy_worker(&world);
    world.workers[at].entry.is_draining = true;
    world.list_hosts();
    world.run(100);
    world.workers[at].is_unreachable = true;
    cancel_first(&mut world);

    world.take_over();

    // The lease of the silent worker has expired by then.
    assert_second_starts_within(world, 8_000);
}

/// A worker that takes no stops but replies to polls runs its tasks for longer than the state of their
/// job is kept. Guards against an owner that forgets whose tasks these are.
#[test]
fn a_limit_holds_beside_runs_that_outlast_the_state_of_their_job() {
    let mut world = World::new(4, limited(catalog(queue()), size(6_000, 0)), 1);
    world.timing.status_retention_ms = 500;
    world.take_over();
    use_up_limit(&mut world);
    world.workers.iter_mut().for_each(|worker| worker.resets_connections = true);
    cancel_first(&mut world);
    world.run(3_000);
    world.compact();

    world.workers.iter_mut().for_each(|worker| worker.resets_connections = false);
    world.take_over();

    assert_second_starts_within(world, 3_000);
}

/// Guards against a log that keeps the sizes of tasks of closed jobs for longer than they run.
#[test]
fn sizes_of_closed_jobs_leave_the_log_with_their_last_run() {
    let mut world = world_with_used_up_limit();
    cancel_first(&mut world);
    world.compact();
    let while_stopping = world.logged_specs_of_closed_jobs();
    world.run(1_000);
    world.compact();
    let afterwards = world.logged_specs_of_closed_jobs();
    world.take_over();
    world.run(1_000);
    world.compact();

    assert_eq!((while_stopping, afterwards), (1, 0));
    assert_eq!(world.logged_specs_of_closed_jobs(), 0);
}

#[test]
fn a_partially_started_gang_is_restarted() {
    let mut world = World::new(4, catalog(queue()), 1);
    world.work_ms = 500;
    world.submit(id(1), job(vec![gang(16, 1_000)]));
    // The start requests to half of the workers never arrive.
    world.workers[2].is_unreachable = true;
    world.workers[3].is_unreachable = true;
    world.run(30);
    let started = world.running();
    assert!((1..16).contains(&started), "{started} members");
    world.take_over_unlisted();
    world.workers[2].is_unreachable = false;
    world.workers[3].is_unreachable = false;
    world.list_hosts();
    // Less than the 2 s after which the engine stops any gang without progress, so that only
    // the takeover can have restarted this one.
    world.run(1_500);

    assert_eq!(world.state(id(1)), Some(State::Complete));
}

/// Polls of workers whose address was not known yet failed and were repeated after a pause,
/// which delayed each takeover by 0.36 s.
#[test]
fn no_poll_goes_to_a_worker_that_was_not_listed_yet() {
    let mut world = World::new(2, catalog(queue()), 1);
    world.submit(id(1), job(vec![step(2, 1_000)]));
    world.run(100);

    world.take_over_unlisted();
    let before = world.polls;
    world.run(200);

    assert_eq!(world.polls, before);
}

/// A worker that had been silent before the owner was lost held up all older jobs until its
/// lease had expired: 10.5 s on the Rolamento Vivo site (incident 0b8e).
#[test]
fn a_silent_worker_is_waited_for_by_its_own_tasks_only() {
    let mut world = World::new(4, catalog(queue()), 1);
    world.work_ms = 800;
    world.submit(id(1), job(vec![step(16, 1_000)]));
    world.run(200);
    world.workers[0].is_unreachable = true;
    let second = Step { after: vec![0], ..step(2, 1_000) };
    world.submit(id(2), job(vec![step(2, 1_000), second]));
    world.run(1_200);

    world.take_over();
    world.run(2_000);

    assert_eq!(world.state(id(2)), Some(State::Complete));
    assert_eq!(world.state(id(1)), Some(State::Running));
    world.run(8_000);
    assert_eq!(world.state(id(1)), Some(State::Complete));
}

/// A world with a job of one task that runs until it is cancelled.
fn world_with_service() -> World {
    let mut world = World::new(8, catalog(queue()), 1);
    world.work_ms = 1_000_000_000;
    world.submit(id(1), job(vec![Step { is_service: true, ..step(1, 1_000) }]));
    world
}

/// Returns the worker that runs the only task there is.
fn busy_worker(world: &World) -> usize {
    world.workers.iter().position(|worker| !worker.runs.is_empty()).expect("a task runs")
}

/// Runs until a task runs.
fn run_until_started(world: &mut World) {
    let end_ms = world.now_ms + 20_000;
    while world.running() == 0 {
        assert!(world.now_ms < end_ms, "nothing runs, waits {}", world.describe_waits());
        world.run(5);
    }
}

/// The same, and then for as long as it takes to clear a suspect.
fn run_until_sound(world: &mut World) {
    run_until_started(world);
    world.run(4_000);
}

/// Interrupts the only task four times, and compares the owner with a successor after each.
fn interrupt_repeatedly(world: &mut World, interrupt: impl Fn(&mut World, usize)) {
    for _ in 0..4 {
        run_until_started(world);
        let at = busy_worker(world);
        interrupt(world, at);
        world.run(200);
        world.assert_same_after_recovery();
    }
}

fn assert_goes_on_under_a_successor(mut world: World) {
    world.take_over();
    world.run(2_000);

    assert_eq!(world.state(id(1)), Some(State::Running));
}

/// Losses of workers of which a task was cleared stayed in the log, and a successor counted them
/// again: it closed a sound service as failed. The review showed LOST (review/4).
#[test]
fn departures_that_a_task_has_survived_do_not_count_for_a_successor() {
    let mut world = world_with_service();
    for _ in 0..4 {
        run_until_sound(&mut world);
        let at = busy_worker(&world);
        world.workers[at].entry.is_draining = true;
        world.list_hosts();
        world.run(2_300);
        world.lose_worker(at);
    }
    run_until_sound(&mut world);
    assert_eq!(world.state(id(1)), Some(State::Running));
    world.assert_same_after_recovery();

    assert_goes_on_under_a_successor(world);
}

/// The end of a run with a worker that left as planned was logged like one that may have been a
/// crash: the owner did not count it, its successors did. Found beside review/4 (LOST).
#[test]
fn the_end_of_a_drained_incarnation_counts_for_no_owner() {
    let mut world = world_with_service();

    interrupt_repeatedly(&mut world, |world, at| {
        world.workers[at].entry.is_draining = true;
        world.list_hosts();
        world.run(200);
        world.restart_worker(at);
        world.list_hosts();
    });

    assert_goes_on_under_a_successor(world);
}

/// A worker that reports that a lease has expired has not crashed. A successor counted the end as
/// the loss of a worker. Found beside review/4 (LOST).
#[test]
fn a_reported_end_of_a_lease_counts_for_no_owner() {
    let mut world = world_with_service();

    interrupt_repeatedly(&mut world, |world, at| world.workers[at].lease_until_ms = 0);

    assert_goes_on_under_a_successor(world);
}

/// Two losses that may have been crashes isolate a task, and only an isolated one is cleared. A
/// successor did not isolate it, so that they counted for as long as the task ran.
#[test]
fn a_successor_clears_a_task_of_losses_before_the_takeover() {
    let mut world = world_with_service();
    for _ in 0..2 {
        run_until_started(&mut world);
        world.run(200);
        let at = busy_worker(&world);
        world.lose_worker(at);
        world.run(100);
    }
    run_until_started(&mut world);

    world.take_over();
    world.run(5_000);
    for _ in 0..2 {
        let at = busy_worker(&world);
        world.lose_worker(at);
        run_until_started(&mut world);
    }

    assert_eq!(world.state(id(1)), Some(State::Running));
}

fn remove_queue(catalog: &mut Catalog) {
    catalog.queues.remove(QUEUE);
}

/// A world in which the first of two steps of a job runs.
fn world_with_two_steps() -> World {
    let mut world = World::new(2, catalog(queue()), 1);
    begin_two_steps(&mut world);
    world
}

fn begin_two_steps(world: &mut World) {
    world.work_ms = 1_000;
    let second = Step { after: vec![0], ..step(2, 1_000) };
    world.submit(id(1), job(vec![step(2, 1_000), second]));
    world.run(300);
}

fn assert_completes(mut world: World) {
    world.run(3_000);

    assert_eq!(world.state(id(1)), Some(State::Complete), "waits {}", world.describe_waits());
}

/// The definition of a queue that the configuration no longer has was in the owner's memory only: a
/// successor never started the second step. The review showed LOST (review/3).
#[test]
fn steps_of_a_removed_queue_start_under_a_successor() {
    let mut world = world_with_two_steps();
    world.configure(remove_queue);
    world.run(50);
    world.assert_same_after_recovery();

    world.take_over();

    assert_completes(world);
}

/// Guards against a definition that is lost with the page that holds it, or by the second takeover.
#[test]
fn the_definition_of_a_removed_queue_survives_compaction_and_further_takeovers() {
    let mut world = world_with_two_steps();
    world.configure(remove_queue);

    for _ in 0..3 {
        world.take_over();
        world.run(50);
        world.compact();
        world.assert_same_after_recovery();
    }

    assert_completes(world);
}

/// Guards against a successor that uses an earlier definition than the owner: one with more attempts
/// breaks BUDGET.
#[test]
fn the_last_definition_of_a_removed_queue_decides_under_a_successor() {
    let mut world = World::new(2, catalog(queue()), 1);
    world.failure_share = 1.0;
    world.work_ms = 1_000;
    world.submit(id(1), job(vec![step(1, 1_000)]));
    world.run(300);
    world.oracle.max_attempts = 1;
    world.configure(|catalog| catalog.queues.get_mut(QUEUE).expect("a queue").max_attempts = 1);
    world.run(50);
    world.configure(remove_queue);
    world.assert_same_after_recovery();

    world.take_over();
    world.run(5_000);

    assert_eq!(world.state(id(1)), Some(State::Failed));
    assert_eq!(world.oracle.starts, 1);
}

/// A process that doesn't know the newest configuration yet accepts jobs for a queue that the owner
/// knows from an earlier one. Guards against definitions that are logged at their removal only.
#[test]
fn a_job_that_is_accepted_after_the_removal_starts_under_a_successor() {
    let mut world = World::new(2, catalog(queue()), 1);
    world.configure(remove_queue);
    begin_two_steps(&mut world);

    world.take_over();

    assert_completes(world);
}

/// The log of an older build has no definitions. Guards against a new owner that logs them for jobs
/// of its own only.
#[test]
fn a_successor_logs_the_definitions_that_an_older_build_has_not() {
    let mut world = world_with_two_steps();
    world.drop_logged_queues();
    world.take_over();
    world.run(50);
    world.configure(remove_queue);
    world.assert_same_after_recovery();

    world.take_over();

    assert_completes(world);
}

/// A successor that has an older configuration than the owner does not know the teams of the newer
/// one. Guards against starts without the limits that came with a queue (QUOTA).
#[test]
fn a_newer_definition_is_not_used_before_its_configuration_is_known() {
    let mut world = World::new(2, catalog(queue()), 1);
    world.configure(remove_queue);
    let older = world.catalog.clone();
    world.configure(|catalog| {
        catalog.queues.insert(QUEUE.into(), Queue { priority: 1, ..queue() });
    });
    begin_two_steps(&mut world);
    let newer = std::mem::replace(&mut world.catalog, older);

    world.take_over();
    world.run(2_000);
    let early = world.oracle.starts;
    world.catalog = newer;
    world.configure(remove_queue);

    assert_eq!(early, 2);
    assert_completes(world);
}

/// Guards against a log that keeps the definitions of all queues for ever, and against one that lacks
/// the definition once the queue has jobs again.
#[test]
fn definitions_leave_the_log_with_the_last_job_of_their_queue() {
    let mut world = World::new(2, catalog(queue()), 1);
    world.timing.status_retention_ms = 1_000;
    world.take_over();
    world.submit(id(2), job(vec![step(2, 1_000)]));
    world.run(100);
    world.compact();
    let used = world.logged_queues();
    world.run(2_000);
    world.compact();
    let unused = world.logged_queues();
    begin_two_steps(&mut world);
    world.configure(remove_queue);

    world.take_over();
    world.run(2_000);

    assert_eq!((used.len(), unused.len()), (1, 0));
    assert_eq!(world.state(id(1)), Some(State::Complete));
}
