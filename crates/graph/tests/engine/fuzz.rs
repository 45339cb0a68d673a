//! Random jobs and faults, checked by the oracle.

use proptest::prelude::*;
use rand::Rng;
use sycamore_graph::job::{State, Step};
use sycamore_graph::{StepId, TaskId};

use crate::fixture::{advised_queue, catalog, gang, host, id, job, limited, queue, size, step};
use crate::world::World;

/// Number of hosts.
const HOSTS: usize = 4;

/// Time for which the former capacity of a worker that has shrunk may be used, in milliseconds.
const CAPACITY_GRACE_MS: u64 = 4_500;

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
            world.workers[at].is_alive = false;
            let lost = std::mem::take(&mut world.workers[at].runs);
            lost.keys().for_each(|(task, _)| world.oracle.record_crash(*task));
        }
        4 if !world.workers[at].is_alive && world.workers[at].back_ms.is_none() => {
            world.workers[at].restart();
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

fn run_case(seed: u64, is_advised: bool) {
    let catalog = catalog(if is_advised { advised_queue() } else { queue() });
    let mut world = World::new(HOSTS, limited(catalog, size(11_000, 0)), seed);
    world.late_start_share = world.random.random_range(0.0..0.2);
    world.failure_share = world.random.random_range(0.0..0.2);
    world.allowed_share = world.random.random_range(0.5..1.0);
    let deadly_share = world.random.random_range(0.0..0.2);
    for round in 0..ROUNDS as u64 {
        let steps = random_job(&mut world);
        if world.random.random_bool(deadly_share) {
            let index = world.random.random_range(0..steps[0].tasks);
            let step = StepId { job: id(round), occurrence: 0, index: 0 };
            world.oracle.deadly.insert(TaskId { step, index });
        }
        world.submit(id(round), job(steps));
        if world.random.random_bool(0.1) {
            let known = id(world.random.random_range(0..=round));
            world.cancel(known);
        }
        if world.random.random_bool(0.25) {
            inject_fault(&mut world);
        }
        let ms = world.random.random_range(20..600);
        world.run(ms);
        let asked = id(world.random.random_range(0..=round));
        world.state(asked);
    }
    // Without further faults, every accepted job must reach a final state.
    world.late_start_share = 0.0;
    world.failure_share = 0.0;
    for worker in &mut world.workers {
        worker.is_unreachable = false;
        worker.is_hung = false;
        worker.entry.is_draining = false;
        if !worker.is_alive && worker.back_ms.is_none() {
            worker.restart();
        }
        worker.entry.capacity = host(0).capacity;
    }
    world.list_hosts();
    world.run(60_000);
    for job in world.oracle.accepted.clone() {
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
}
