//! The life cycle of a job: submission, dependencies, retries, limits, schedules.

use sycamore_graph::job::{Schedule, Spec, State, Step};
use sycamore_graph::{Answer, WaitReason};
use sycamore_types::Name;

use crate::fixture::{catalog, gang, id, job, limited, queue, size, step};
use crate::world::World;

#[test]
fn a_job_is_accepted_once_it_is_durable_and_completes() {
    let mut world = World::new(2, catalog(queue()), 1);

    let token = world.submit(id(1), job(vec![step(3, 1_000)]));

    assert_eq!(world.answers.get(&token), None);
    world.run(20);
    assert_eq!(world.answers.get(&token), Some(&Answer::Accepted));
    world.run(1_000);
    assert_eq!(world.state(id(1)), Some(State::Complete));
}

#[test]
fn a_repeated_submission_is_the_same_job() {
    let mut world = World::new(2, catalog(queue()), 1);

    world.submit(id(1), job(vec![step(1, 1_000)]));
    let repeat = world.submit(id(1), job(vec![step(1, 1_000)]));
    world.run(1_000);
    let late = world.submit(id(1), job(vec![step(1, 1_000)]));
    world.run(1_000);

    assert_eq!(world.answers.get(&repeat), Some(&Answer::Accepted));
    assert_eq!(world.answers.get(&late), Some(&Answer::Accepted));
    assert_eq!(world.oracle.starts, 1);
}

#[test]
fn steps_wait_for_their_dependencies() {
    let mut world = World::new(2, catalog(queue()), 1);
    let second = Step { after: vec![0], ..step(2, 1_000) };

    world.submit(id(1), job(vec![step(2, 1_000), second]));
    world.run(2_000);

    assert_eq!(world.state(id(1)), Some(State::Complete));
    assert_eq!(world.oracle.starts, 4);
}

#[test]
fn a_job_fails_once_a_task_has_no_attempts_left() {
    let mut world = World::new(4, catalog(queue()), 1);
    world.failure_share = 1.0;

    world.submit(id(1), job(vec![step(1, 1_000)]));
    world.run(10_000);

    assert_eq!(world.state(id(1)), Some(State::Failed));
    assert_eq!(world.oracle.starts, 3);
}

#[test]
fn a_cancelled_job_stops_and_starts_no_more_tasks() {
    let mut world = World::new(1, catalog(queue()), 1);
    world.work_ms = 5_000;
    world.submit(id(1), job(vec![step(8, 1_000)]));
    world.run(200);
    let started = world.oracle.starts;

    let token = world.cancel(id(1));
    world.run(6_000);

    assert_eq!(world.answers.get(&token), Some(&Answer::Cancelled));
    assert_eq!(world.state(id(1)), Some(State::Cancelled));
    assert_eq!(world.running(), 0);
    assert_eq!(world.oracle.starts, started);
}

#[test]
fn a_limit_holds_over_all_hosts() {
    let limit = size(3_000, 0);
    let mut world = World::new(4, limited(catalog(queue()), limit), 1);

    world.submit(id(1), job(vec![step(9, 1_000)]));
    world.run(150);
    let running = world.running();
    world.run(3_000);

    assert_eq!(running, 3);
    assert_eq!(world.state(id(1)), Some(State::Complete));
}

#[test]
fn labels_max_per_host_and_capacity_restrict_placement() {
    let mut world = World::new(4, catalog(queue()), 1);
    world.work_ms = 1_000;
    let spread = Step { max_per_host: 1, ..step(3, 1_000) };
    let labelled = Step { required_label: Some(Name::from("rack-1")), ..step(2, 1_000) };
    let nowhere = Step { required_label: Some(Name::from("none")), ..step(1, 1_000) };

    world.submit(id(1), job(vec![spread]));
    world.submit(id(2), job(vec![labelled]));
    world.submit(id(3), job(vec![nowhere]));
    world.submit(id(4), job(vec![step(1, 9_000)]));
    world.run(300);

    for worker in &world.workers {
        let of_first = worker.runs.keys().filter(|(task, _)| task.step.job == id(1)).count();
        assert!(of_first <= 1);
        let of_second = worker.runs.keys().any(|(task, _)| task.step.job == id(2));
        assert!(!of_second || &*worker.entry.rack == "rack-1");
    }
    world.run(3_000);
    assert_eq!(world.state(id(1)), Some(State::Complete));
    assert_eq!(world.state(id(2)), Some(State::Complete));
    assert_eq!(world.state(id(3)), Some(State::Queued));
    assert_eq!(world.state(id(4)), Some(State::Queued));
}

#[test]
fn occurrences_run_at_their_times() {
    let mut world = World::new(1, catalog(queue()), 1);
    let schedule = Schedule { first_unix_ms: 1_001_000, interval_ms: 500, occurrences: 3 };
    let spec = Spec { schedule: Some(schedule), ..job(vec![step(1, 1_000)]) };

    world.submit(id(1), spec);
    world.run(900);
    let early = world.oracle.starts;
    world.run(400);
    let first = world.oracle.starts;
    world.run(1_500);

    assert_eq!((early, first), (0, 1));
    assert_eq!(world.oracle.starts, 3);
}

/// Failure: all due occurrences began at once, a million of them by one submission of 100 bytes, and
/// the owner and each successor ran out of memory.
#[test]
fn due_occurrences_begin_a_limited_number_at_a_time() {
    let mut world = World::new(2, catalog(queue()), 1);
    let schedule = Schedule { first_unix_ms: 0, interval_ms: 1, occurrences: 1_000_000 };

    world.submit(id(1), Spec { schedule: Some(schedule), ..job(vec![step(1, 1_000)]) });
    world.run(500);
    let at_first = world.waits().len();
    world.run(4_000);
    let later = world.waits().len();
    world.compact();
    world.take_over();
    world.run(2_000);

    assert!((1..=64).contains(&at_first), "{at_first} wait");
    assert!((1..=64).contains(&later), "{later} wait");
    assert!((1..=64).contains(&world.waits().len()), "{} wait", world.waits().len());
    assert!(world.oracle.starts > 128, "{} starts", world.oracle.starts);
    assert_eq!(world.state(id(1)), Some(State::Running));
}

/// Failure: as above, with few occurrences of many tasks.
#[test]
fn due_occurrences_with_many_tasks_begin_one_at_a_time() {
    let mut world = World::new(2, catalog(queue()), 1);
    let schedule = Schedule { first_unix_ms: 0, interval_ms: 1, occurrences: 1_000 };

    world.submit(id(1), Spec { schedule: Some(schedule), ..job(vec![step(9_000, 1_000)]) });
    world.run(500);

    assert_eq!(world.waits().len(), 1);
}

/// Failure: occurrences that are over were kept, in memory and in each compaction of the log.
#[test]
fn occurrences_that_are_over_take_no_memory_and_never_run_again() {
    let mut world = World::new(4, catalog(queue()), 1);
    world.work_ms = 10;
    let schedule = Schedule { first_unix_ms: 0, interval_ms: 1, occurrences: 60 };
    world.submit(id(1), Spec { schedule: Some(schedule), ..job(vec![step(300, 100)]) });
    while world.oracle.starts < 60 * 300 * 2 / 3 {
        world.run(500);
    }

    world.compact();
    let rows = world.snapshot_rows(id(1));
    world.take_over();
    world.run(30_000);

    // Of 18,000 tasks, two thirds of which are done, at most 10,000 have begun and are not over.
    assert!(rows < 10_100, "{rows} rows");
    assert_eq!(world.state(id(1)), Some(State::Complete));
    assert_eq!(world.oracle.starts, 60 * 300);
}

/// Failure: each task that waited had a state of its own, in memory and, under the next owner, in each
/// compaction of the log.
#[test]
fn tasks_that_wait_take_no_rows_in_the_log() {
    let mut world = World::new(2, catalog(queue()), 1);
    world.submit(id(1), job(vec![step(3_000, 100)]));
    world.run(1_000);
    world.take_over();
    world.run(1_000);

    world.compact();
    let rows = world.snapshot_rows(id(1));
    world.take_over();
    world.run(60_000);

    assert!(rows < 1_000, "{rows} rows");
    assert_eq!(world.state(id(1)), Some(State::Complete));
}

/// Failure: the time of an occurrence overflowed, so that it was due at once.
#[test]
fn an_occurrence_at_the_end_of_time_is_never_due() {
    let mut world = World::new(2, catalog(queue()), 1);
    let schedule = Schedule { first_unix_ms: u64::MAX - 1, interval_ms: u64::MAX, occurrences: 3 };

    world.submit(id(1), Spec { schedule: Some(schedule), ..job(vec![step(1, 1_000)]) });
    world.run(1_000);

    assert_eq!(world.oracle.starts, 0);
    assert_eq!(world.state(id(1)), Some(State::Queued));
}

#[test]
fn failed_service_tasks_are_restarted_without_a_limit() {
    let mut world = World::new(2, catalog(queue()), 1);
    world.failure_share = 1.0;
    let service = Step { is_service: true, ..step(1, 1_000) };

    world.submit(id(1), job(vec![service]));
    world.run(8_000);

    assert!(world.oracle.starts > 3, "{} starts", world.oracle.starts);
    assert_eq!(world.state(id(1)), Some(State::Running));
}

#[test]
fn a_gang_waits_until_all_its_members_fit() {
    let mut world = World::new(2, catalog(queue()), 1);
    world.work_ms = 1_000;
    world.submit(id(1), job(vec![step(2, 3_000)]));
    world.run(100);

    world.submit(id(2), job(vec![gang(4, 2_000)]));
    world.run(500);

    assert_eq!(world.running(), 2);
    world.run(4_000);
    assert_eq!(world.state(id(2)), Some(State::Complete));
}

#[test]
fn best_effort_tasks_avoid_hosts_with_a_latency_objective() {
    let mut world = World::new(3, catalog(queue()), 1);
    world.work_ms = 5_000;
    let serving = Step { latency_objective_ms: 20, is_service: true, ..step(2, 500) };
    let filling = Step { is_best_effort: true, ..step(6, 1_000) };

    world.submit(id(1), job(vec![serving]));
    world.run(200);
    world.submit(id(2), job(vec![filling]));
    world.run(500);

    for worker in &world.workers {
        let of = |number| worker.runs.keys().any(|(task, _)| task.step.job == id(number));
        assert!(!(of(1) && of(2)), "both on {}", worker.entry.id);
    }
    assert!(world.running() > 2);
}

/// The log told only why the oldest steps waited at that moment, so that it could not be told why a
/// gang had waited for 30 s (enlarged Aarelin site, dark.toml, seed 16873).
#[test]
fn a_waiting_step_knows_how_long_it_has_waited_for_each_reason() {
    let mut world = World::new(1, limited(catalog(queue()), size(2_000, 0)), 1);
    world.work_ms = 2_000;
    world.submit(id(1), job(vec![step(1, 2_000)]));
    world.run(200);
    world.submit(id(2), job(vec![step(1, 1_000)]));

    world.run(1_000);

    let waits = world.waits();
    let spent_ms = &waits[0].spent_ms;
    assert_eq!(waits[0].step.job, id(2));
    assert_eq!(spent_ms[0].0, WaitReason::TeamLimit);
    let total_ms: u64 = spent_ms.iter().map(|(_, ms)| ms).sum();
    assert!((900..=1_000).contains(&total_ms), "{spent_ms:?}");
}
