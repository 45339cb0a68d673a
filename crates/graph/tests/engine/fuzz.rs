//! Random jobs and faults, checked by the oracle.

use proptest::prelude::*;
use rand::Rng;
use rand::seq::IndexedRandom;
use sycamore_graph::catalog::Queue;
use sycamore_graph::job::{Id, Schedule, Spec, State, Step};
use sycamore_graph::{PreemptionTiming, StepId, TaskId};

use crate::fixture::{
    QUEUE, advised_queue, catalog, gang, host, id, job, limited, queue, size, step,
};
use crate::world::World;

/// Number of hosts.
const HOSTS: usize = 4;

/// Time for which the former capacity of a worker that has shrunk may be used, in milliseconds.
const CAPACITY_GRACE_MS: u64 = 4_500;

/// Time for which workers that begin to drain announce to go on, in milliseconds: the platform's.
const DRAIN_MS: u64 = 2_000;

/// Number of jobs submitted in one case.
const ROUNDS: usize = 40;

fn random_job(world: &mut World) -> Vec<Step> {
    let random = &mut world.random;
    let tasks = random.random_range(1..6);
    let cpu = random.random_range(1..4) * 500;
    match random.random_range(0..4) {
        0 => vec![gang(tasks, cpu)],
        1 => vec![step(tasks, cpu), Step { after: vec![0], ..step(2, cpu) }],
        2 => vec![step(1, cpu), Step { after: vec![0], ..gang(tasks, cpu) }],
        _ => vec![step(tasks, cpu)],
    }
}

fn inject_fault(world: &mut World) {
    let at = world.random.random_range(0..HOSTS);
    match world.random.random_range(0..12) {
        0 => world.take_over(),
        1 => world.workers[at].is_unreachable = true,
        2 => world.workers[at].is_unreachable = false,
        3 if world.workers[at].back_ms.is_none() => {
            if world.workers[at].is_alive {
                world.record_crashes(at);
            }
            world.workers[at].is_alive = false;
            world.workers[at].runs.clear();
        }
        4 if !world.workers[at].is_alive && world.workers[at].back_ms.is_none() => {
            world.restart_worker(at);
        }
        5 => world.workers[at].entry.is_draining ^= true,
        6 => world.compact(),
        7 => world.workers[at].is_hung ^= true,
        8 if world.workers[at].is_alive => {
            let restart_ms = world.random.random_range(500..9_000);
            world.crash_worker(at, restart_ms);
        }
        9 => {
            let cpu_millis = world.random.random_range(1..=4) * 1_000;
            let now_ms = world.now_ms;
            world.workers[at].resize(cpu_millis, now_ms, CAPACITY_GRACE_MS);
        }
        _ => {}
    }
    world.list_hosts();
}

/// Replaces the owner, which goes on and keeps some workers that its successor does not reach, or
/// reunites all. Other faults come in between.
fn inject_partition(world: &mut World) {
    match world.random.random_range(0..4) {
        0 => {
            for at in 0..HOSTS {
                let is_cut_off = world.random.random_bool(0.5);
                world.workers[at].is_unreachable = is_cut_off;
                world.workers[at].hears_former = is_cut_off;
            }
            world.take_over_beside_former();
            // Often for longer than the successor waits for leases.
            let ms = world.random.random_range(0..12_000);
            world.run(ms);
        }
        1 => {
            for worker in &mut world.workers {
                worker.is_unreachable = false;
                worker.hears_former = true;
            }
        }
        _ => inject_fault(world),
    }
    world.list_hosts();
}

/// A queue of one to three attempts: with more, hardly any task fails as often as it may.
fn random_queue(seed: u64, is_advised: bool) -> Queue {
    let queue = if is_advised { advised_queue() } else { queue() };
    Queue { max_attempts: 1 + (seed % 3) as u32, ..queue }
}

fn run_case(seed: u64, is_advised: bool) {
    let catalog = catalog(random_queue(seed, is_advised));
    let mut world = World::new(HOSTS, limited(catalog, size(11_000, 0)), seed);
    play(&mut world, seed, |world| (QUEUE, job(random_job(world))));
}

/// The same with workers that list a few run ends in a report, so that takeovers meet more of them.
fn run_truncated_case(seed: u64, is_advised: bool) {
    let catalog = catalog(random_queue(seed, is_advised));
    let mut world = World::new(HOSTS, limited(catalog, size(11_000, 0)), seed);
    world.limit_listed_ends(1 + (seed % 3) as usize);
    play(&mut world, seed, |world| {
        let tasks = world.random.random_range(1..20);
        let few = random_job(world);
        let is_small = world.random.random_bool(0.5);
        (QUEUE, job(if is_small { vec![step(tasks, 200)] } else { few }))
    });
}

/// The same with owners that go on after they were replaced. The tasks of some steps outlast a lease.
fn run_partitioned_case(seed: u64, is_advised: bool) {
    let catalog = catalog(random_queue(seed, is_advised));
    let mut world = World::new(HOSTS, limited(catalog, size(11_000, 0)), seed);
    world.takes_estimate = true;
    play_rounds(&mut world, inject_partition, |world| {
        let mut steps = random_job(world);
        for step in &mut steps {
            step.estimate_ms = if world.random.random_bool(0.3) { 9_000 } else { 300 };
        }
        (QUEUE, job(steps))
    });
    end_faults(&mut world);
    assert_ends_in_time(&mut world, seed);
}

/// Checks that all jobs end although many of their tasks last.
fn assert_ends_in_time(world: &mut World, seed: u64) {
    // The tasks that last take up to 160 s of all workers, and those that may crash theirs start one
    // after the other. The state of a job is forgotten some time after its end.
    let deadline_ms = world.now_ms + 400_000;
    let mut open: Vec<Id> = world.oracle.accepted.iter().copied().collect();
    while world.now_ms < deadline_ms && !open.is_empty() {
        world.run(5_000);
        open.retain(|job| !world.state(*job).is_some_and(State::is_terminal));
    }
    assert_ended(world, seed, open);
}

/// The same with a queue whose tasks may have to yield. Returns the number of preemptions.
fn run_preempting_case(seed: u64, is_advised: bool) -> u64 {
    let queue = random_queue(seed, is_advised);
    let bulk = Queue { priority: 1, advice: None, ..queue.clone() };
    let mut catalog = catalog(queue);
    catalog.queues.insert("bulk".into(), bulk);
    let mut world = World::new(HOSTS, limited(catalog, size(15_000, 0)), seed);
    world.takes_estimate = true;
    let stop_ms = world.random.random_range(5..300);
    world.enable_preemption(PreemptionTiming { stop_ms, checkpoint_ms: 100, restore_ms: 50 });
    play(&mut world, seed, |world| {
        let steps = random_job(world);
        if world.random.random_bool(0.5) {
            return (QUEUE, job(steps));
        }
        let has_budget = world.random.random_bool(0.1);
        let bulk = |step: Step| Step {
            is_checkpointing: true,
            max_unavailable: has_budget.then_some(1),
            estimate_ms: 1_500,
            tasks: if step.is_gang { step.tasks } else { 3 * step.tasks },
            ..step
        };
        ("bulk", job(steps.into_iter().map(bulk).collect()))
    });
    world.preemptions
}

/// The same with wide gangs beside tasks that use their room, and estimates that say little. Returns the
/// number of runs that were stopped for gangs.
fn run_lending_case(seed: u64, is_advised: bool) -> u64 {
    let queue = random_queue(seed, is_advised);
    let later = Queue { priority: 1, advice: None, ..queue.clone() };
    let mut catalog = catalog(queue);
    catalog.queues.insert("later".into(), later);
    let mut world = World::new(HOSTS, limited(catalog, size(32_000, 0)), seed);
    let stop_ms = world.random.random_range(0..400);
    world.workers.iter_mut().for_each(|worker| worker.stop_ms = stop_ms);
    play_rounds(&mut world, inject_fault, |world| {
        world.work_ms = *[100, 500, 2_000, 12_000].choose(&mut world.random).unwrap_or(&100);
        let estimate_ms = world.random.random_range(0..3_000);
        let tasks = world.random.random_range(1..=HOSTS as u32);
        let (name, steps) = match world.random.random_range(0..4) {
            0 => (QUEUE, vec![gang(tasks, 3_500)]),
            1 => ("later", vec![gang(tasks, 1_000)]),
            _ => ("later", vec![step(tasks, 500)]),
        };
        let estimated = |step: Step| Step { estimate_ms, ..step };
        (name, job(steps.into_iter().map(estimated).collect()))
    });
    end_faults(&mut world);
    world.work_ms = 500;
    assert_ends_in_time(&mut world, seed);
    world.recalls
}

/// The same with a configuration that removes and changes queues and brings them back.
fn run_changing_case(seed: u64, is_advised: bool) {
    let queue = random_queue(seed, is_advised);
    let mut catalog = catalog(queue.clone());
    catalog.queues.insert("other".into(), queue);
    let mut world = World::new(HOSTS, limited(catalog, size(11_000, 0)), seed);
    play(&mut world, seed, |world| {
        if world.random.random_bool(0.4) {
            change_queue(world, is_advised);
        }
        let steps = random_job(world);
        let has_queue = world.catalog.queues.contains_key(QUEUE);
        (if has_queue { QUEUE } else { "other" }, job(steps))
    });
}

/// Removes a queue, changes it or brings it back. One queue remains for the next job. The number of
/// attempts stays, by which the oracle judges all failures.
fn change_queue(world: &mut World, is_advised: bool) {
    let (name, kept) = if world.random.random() { (QUEUE, "other") } else { ("other", QUEUE) };
    let is_removed = world.random.random_bool(0.5) && world.catalog.queues.contains_key(kept);
    let priority = world.random.random_range(0..3);
    let objective_ms = world.random.random_range(500..2_000);
    let queue = if is_advised { advised_queue() } else { queue() };
    let queue = Queue { priority, objective_ms, max_attempts: world.oracle.max_attempts, ..queue };
    world.configure(|catalog| {
        if is_removed {
            catalog.queues.remove(name);
        } else {
            catalog.queues.insert(name.into(), queue);
        }
    });
}

/// The same with tasks that have a latency objective beside best-effort tasks that take long. Returns
/// the number of best-effort runs that were stopped.
fn run_clearing_case(seed: u64, is_advised: bool) -> usize {
    let catalog = catalog(random_queue(seed, is_advised));
    let mut world = World::new(HOSTS, limited(catalog, size(15_000, 0)), seed);
    world.takes_estimate = true;
    let stop_ms = world.random.random_range(0..400);
    world.workers.iter_mut().for_each(|worker| worker.stop_ms = stop_ms);
    play(&mut world, seed, |world| {
        let steps = random_job(world);
        let kind = world.random.random_range(0..4);
        let has_budget = world.random.random_bool(0.2);
        let change = |step: Step| match kind {
            0 => Step { latency_objective_ms: 100, max_per_host: 2, ..step },
            1 => Step { latency_objective_ms: 100, ..step },
            2 => Step {
                is_best_effort: true,
                estimate_ms: 5_000,
                max_unavailable: has_budget.then_some(2),
                ..step
            },
            _ => step,
        };
        (QUEUE, job(steps.into_iter().map(change).collect()))
    });
    world.cleared.len()
}

/// The same with jobs of which many occurrences are due at once, more than are begun at a time.
fn run_scheduled_case(seed: u64, is_advised: bool) {
    let catalog = catalog(random_queue(seed, is_advised));
    let mut world = World::new(HOSTS, limited(catalog, size(11_000, 0)), seed);
    play(&mut world, seed, |world| {
        let steps = random_job(world);
        if world.random.random_bool(0.9) {
            return (QUEUE, job(steps));
        }
        let schedule = Schedule {
            first_unix_ms: world.random.random_range(0..1_010_000),
            interval_ms: world.random.random_range(1..10),
            occurrences: world.random.random_range(60..120),
        };
        (QUEUE, Spec { schedule: Some(schedule), ..job(vec![step(1, 500)]) })
    });
}

fn play(world: &mut World, seed: u64, next: impl Fn(&mut World) -> (&'static str, Spec)) {
    play_rounds(world, inject_fault, next);
    end_faults(world);
    world.run(60_000);
    let accepted = world.oracle.accepted.clone();
    assert_ended(world, seed, accepted);
}

fn play_rounds(
    world: &mut World,
    inject: impl Fn(&mut World),
    next: impl Fn(&mut World) -> (&'static str, Spec),
) {
    world.drain_ms = DRAIN_MS;
    world.late_start_share = world.random.random_range(0.0..0.2);
    world.failure_share = world.random.random_range(0.0..0.2);
    world.allowed_share = world.random.random_range(0.5..1.0);
    let deadly_share = world.random.random_range(0.0..0.2);
    for round in 0..ROUNDS as u64 {
        let (queue, spec) = next(world);
        if world.random.random_bool(deadly_share) {
            let index = world.random.random_range(0..spec.steps[0].tasks);
            let step = StepId { job: id(round), occurrence: 0, index: 0 };
            world.oracle.deadly.insert(TaskId { step, index });
        }
        world.submit_to(queue, id(round), spec);
        if world.random.random_bool(0.1) {
            let known = id(world.random.random_range(0..=round));
            world.cancel(known);
        }
        if world.random.random_bool(0.25) {
            inject(world);
        }
        let ms = world.random.random_range(20..600);
        world.run(ms);
        let asked = id(world.random.random_range(0..=round));
        world.state(asked);
        world.assert_same_after_recovery();
    }
}

/// Ends all faults, after which every accepted job must reach a final state.
fn end_faults(world: &mut World) {
    world.late_start_share = 0.0;
    world.failure_share = 0.0;
    for worker in &mut world.workers {
        worker.is_unreachable = false;
        worker.hears_former = true;
        worker.is_hung = false;
        worker.entry.is_draining = false;
        if !worker.is_alive && worker.back_ms.is_none() {
            worker.restart(world.now_ms);
        }
        worker.entry.capacity = host(0).capacity;
    }
    world.list_hosts();
}

fn assert_ended(world: &mut World, seed: u64, jobs: impl IntoIterator<Item = Id>) {
    for job in jobs {
        let state = world.state(job);
        if !world.is_feasible(job) {
            continue;
        }
        assert!(
            state.is_some_and(State::is_terminal),
            "LOST: seed {seed}: {job} is {state:?}, {:?}, waits {}",
            world.oracle.jobs[&job].steps,
            world.describe_waits()
        );
    }
}

proptest! {
    // The seed of the cases is fixed, so that each run gives the same result.
    #![proptest_config(ProptestConfig {
        cases: std::env::var("FUZZ_CASES").ok().and_then(|n| n.parse().ok()).unwrap_or(24),
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(
            std::env::var("FUZZ_SEED").ok().and_then(|n| n.parse().ok()).unwrap_or(7),
        ),
        ..ProptestConfig::default()
    })]

    #[test]
    fn every_rule_holds_under_random_faults(seed in any::<u64>(), is_advised in any::<bool>()) {
        run_case(seed, is_advised);
    }

    /// An owner that is cut off from its successor goes on with a part of the workers (issue 44).
    #[test]
    fn every_rule_holds_beside_replaced_owners(seed in any::<u64>(), is_advised in any::<bool>()) {
        run_partitioned_case(seed, is_advised);
    }

    /// Ends that come with later reports cross with losses, late starts and new owners.
    #[test]
    fn every_rule_holds_with_truncated_reports(seed in any::<u64>(), is_advised in any::<bool>()) {
        run_truncated_case(seed, is_advised);
    }

    /// Jobs outlive their queues, under new owners too.
    #[test]
    fn every_rule_holds_with_changing_configurations(seed in any::<u64>(), is_advised in any::<bool>()) {
        run_changing_case(seed, is_advised);
    }

    /// Occurrences that wait for others cross with losses, late starts and new owners.
    #[test]
    fn every_rule_holds_with_many_occurrences(seed in any::<u64>(), is_advised in any::<bool>()) {
        run_scheduled_case(seed, is_advised);
    }

    /// Stops for preemption cross with losses, late starts and new owners.
    #[test]
    fn every_rule_holds_with_preemption(seed in any::<u64>(), is_advised in any::<bool>()) {
        run_preempting_case(seed, is_advised);
    }

    /// Stops for gangs whose room is in use cross with losses, late starts and new owners.
    #[test]
    fn every_rule_holds_with_lent_room(seed in any::<u64>(), is_advised in any::<bool>()) {
        run_lending_case(seed, is_advised);
    }

    /// Stops of best-effort runs cross with losses, late starts and new owners.
    #[test]
    fn every_rule_holds_with_cleared_hosts(seed in any::<u64>(), is_advised in any::<bool>()) {
        run_clearing_case(seed, is_advised);
    }
}

/// Guards against cases that check nothing, as no host is ever cleared.
#[test]
fn random_faults_meet_cleared_hosts() {
    let cleared: usize = (0..8).map(|seed| run_clearing_case(seed, false)).sum();

    assert!(cleared >= 8, "{cleared} runs were stopped");
}

/// Guards against cases that check nothing, as no run is ever stopped for a gang.
#[test]
fn random_faults_meet_recalls() {
    let recalls: u64 = (0..8).map(|seed| run_lending_case(seed, false)).sum();

    assert!(recalls >= 4, "{recalls} recalls");
}

/// Guards against cases that check nothing, as no run is ever stopped for another.
#[test]
fn random_faults_meet_preemptions() {
    let preemptions: u64 = (0..8).map(|seed| run_preempting_case(seed, false)).sum();

    assert!(preemptions >= 8, "{preemptions} preemptions");
}
