//! The fault matrix: every fault at every step of an operation.
//!
//! Each cell runs a deployment under load until it reaches the step, injects
//! the fault, continues the load, ends the fault, and then checks that no
//! invariant was violated and that all accepted work finishes.

use std::time::Duration;

use sycamore_core::InjectedBugs;
use sycamore_core::caller::Progress;
use sycamore_types::id;
use sycamore_types::job::Kind;
use yare::parameterized;

use crate::world::{StoreFault, World, config, spec};

/// A fault, or an operation that conflicts with others, injected by a cell.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// Process 0 crashes.
    Crash,
    /// Process 0 is paused until after its lease has expired.
    PausePastLease,
    /// Process 0 crashes, and one host is lost with all its tasks.
    HostLost,
    /// The store is unavailable.
    StoreDown,
    /// Calls to the store are delayed.
    StoreSlow,
    /// Writes to the store take effect, but their replies are lost.
    StoreRepliesLost,
    /// Process 0 can't reach the store.
    StorePartition,
    /// Messages between the processes are lost, duplicated or delayed.
    DisruptedPeerMessages,
    /// Three workers are unreachable.
    WorkerUnreachable,
    /// Workers start tasks, but their replies are lost.
    WorkerRepliesLost,
    /// Two workers fail every task at once.
    WorkerFailsEveryTask,
    /// Three hosts are listed as leaving.
    LeavingHost,
    /// The configuration is changed three times, 1 ms apart.
    ConcurrentConfigChanges,
    /// All jobs but the first two are cancelled, each twice.
    MassCancellation,
}

/// A step of an operation at which a fault is injected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// A worker is asked to start a task.
    Start,
    /// Tasks are finishing.
    Finish,
    /// Jobs are being cancelled.
    Cancel,
    /// Process 1 was told to stop and is handing its shards over.
    Handover,
    /// Process 1 has crashed, and its shards are being taken over.
    Takeover,
    /// The ledger, which divides the tokens of a team among the shards, is written.
    TokenTransfer,
    /// A new configuration is being distributed.
    ConfigChange,
    /// A log page is written.
    GroupCommit,
}

const FAULTS: [Fault; 14] = [
    Fault::Crash,
    Fault::PausePastLease,
    Fault::HostLost,
    Fault::StoreDown,
    Fault::StoreSlow,
    Fault::StoreRepliesLost,
    Fault::StorePartition,
    Fault::DisruptedPeerMessages,
    Fault::WorkerUnreachable,
    Fault::WorkerRepliesLost,
    Fault::WorkerFailsEveryTask,
    Fault::LeavingHost,
    Fault::ConcurrentConfigChanges,
    Fault::MassCancellation,
];

/// Number of jobs submitted before the fault.
const INITIAL_JOBS: usize = 12;

/// Time for which a fault lasts, under load.
const FAULT_SPAN: Duration = Duration::from_secs(12);

/// Time within which all accepted work must finish once the faults have ended.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(180);

/// A deployment under load, with the jobs submitted to it.
struct Cell {
    world: World,
    jobs: Vec<id::Job>,
}

/// Starts a deployment of four processes and submits the initial jobs.
fn start_under_load(seed: u64) -> Cell {
    let mut world = World::new(seed, 4);
    world.wait_for_owners();
    world.run(Duration::from_secs(3));
    let shards = world.shards();
    let mut jobs = Vec::new();
    for index in 0..INITIAL_JOBS {
        let shard = &shards[index % shards.len()];
        // Some tasks outlast the lease of an owner, so that they still run at a takeover.
        let run_ms = if index % 3 == 0 { 9_000 } else { 400 + 150 * index as u64 };
        let mut spec = spec(1 + (index as u32 % 3), run_ms);
        spec.restartable = index % 4 != 3;
        spec.kind = if index % 5 == 4 { Kind::Gang } else { Kind::Batch };
        let team = if index % 2 == 0 { "a" } else { "b" };
        jobs.push(world.submit(shard, team, spec).1);
    }
    Cell { world, jobs }
}

/// Runs the deployment until it reaches a step.
fn run_to_step(cell: &mut Cell, step: Step) {
    let world = &mut cell.world;
    world.seen_actions.clear();
    let end = world.now + Duration::from_secs(5);
    match step {
        Step::Start => run_until_action(world, end, "start"),
        Step::GroupCommit => run_until_action(world, end, "page"),
        Step::Finish => world.run(Duration::from_millis(900)),
        Step::Cancel => {
            world.run(Duration::from_millis(300));
            for job in cell.jobs.iter().take(4) {
                cell.world.cancel(job);
            }
            cell.world.run(Duration::from_millis(3));
        }
        Step::Handover => {
            world.run(Duration::from_millis(300));
            world.deliver(1, sycamore_core::Event::Stop);
            world.run(Duration::from_millis(400));
        }
        Step::Takeover => {
            world.run(Duration::from_millis(300));
            world.crash(1);
            run_until_action(world, end + Duration::from_secs(5), "owners");
        }
        Step::TokenTransfer => run_until_action(world, end, "ledger"),
        Step::ConfigChange => {
            world.run(Duration::from_millis(200));
            world.set_config(config(&[("a", 4), ("b", 50)]));
            world.run(Duration::from_millis(2));
        }
    }
}

/// Runs until a process asks for an action of the given kind, at most until
/// `end`. The kinds are those of `World::seen_actions`.
fn run_until_action(world: &mut World, end: Duration, name: &str) {
    world.run_until(end, |world| world.seen_actions.contains(name));
}

/// Injects a fault. One that affects a single process affects process 0.
fn inject_fault(cell: &mut Cell, fault: Fault) {
    let world = &mut cell.world;
    match fault {
        Fault::Crash => world.crash(0),
        Fault::PausePastLease => world.processes[0].is_paused = true,
        Fault::HostLost => {
            world.crash(0);
            let name = world.workers.keys().next().cloned().expect("the world has workers");
            let worker = world.workers.get_mut(&name).expect("the worker exists");
            worker.is_unreachable = true;
            worker.running.clear();
        }
        Fault::StoreDown => {
            world.store_fault = StoreFault { is_down: true, ..StoreFault::default() };
        }
        Fault::StoreSlow => {
            world.store_fault = StoreFault { is_slow: true, ..StoreFault::default() };
        }
        Fault::StoreRepliesLost => {
            world.store_fault = StoreFault { loses_replies: true, ..StoreFault::default() };
        }
        Fault::StorePartition => world.processes[0].is_partitioned_from_store = true,
        Fault::DisruptedPeerMessages => world.disrupts_peer_messages = true,
        Fault::WorkerUnreachable => {
            for worker in world.workers.values_mut().take(3) {
                worker.is_unreachable = true;
            }
        }
        Fault::WorkerRepliesLost => {
            for worker in world.workers.values_mut() {
                worker.loses_replies = true;
            }
        }
        Fault::WorkerFailsEveryTask => {
            for worker in world.workers.values_mut().take(2) {
                worker.fails_tasks = true;
            }
        }
        Fault::LeavingHost => {
            for worker in world.workers.values_mut().take(3) {
                worker.host.is_leaving = true;
            }
            world.announce_hosts();
        }
        Fault::ConcurrentConfigChanges => {
            for limit in [6, 9, 5] {
                world.set_config(config(&[("a", limit), ("b", 40)]));
                world.run(Duration::from_millis(1));
            }
        }
        Fault::MassCancellation => {
            for job in cell.jobs.iter().skip(2) {
                cell.world.cancel(job);
                cell.world.cancel(job);
            }
        }
    }
}

/// Submits jobs and requests while the fault lasts.
fn run_under_load(cell: &mut Cell) {
    let shards = cell.world.shards();
    let end = cell.world.now + FAULT_SPAN;
    let mut round = 0;
    while cell.world.now < end {
        let shard = shards[round % shards.len()].clone();
        // Entry processes send all repeats of a key to the same shard.
        let key = round % 8;
        let home = shards[key % shards.len()].clone();
        cell.world.request(&home, "a", Some(key as u128));
        cell.world.request(&shard, "b", None);
        if round % 4 == 0 {
            let job = cell.world.submit(&shard, "b", spec(2, 700)).1;
            cell.jobs.push(job);
        }
        // The demand of a team moves from shard to shard, so that its tokens must move too.
        if round % 2 == 0 {
            let hot = shards[round / 5 % shards.len()].clone();
            let job = cell.world.submit(&hot, "a", spec(5, 900)).1;
            cell.jobs.push(job);
        }
        cell.world.run(Duration::from_millis(300));
        round += 1;
    }
}

/// Ends all faults, then checks the invariants and that all accepted work finishes.
fn check_recovery(cell: &mut Cell, fault: Fault, step: Step) {
    let cell_name = format!("{fault:?} at {step:?}");
    cell.world.heal();
    cell.world.wait_for_owners();
    let end = cell.world.now + RECOVERY_TIMEOUT;
    while cell.world.now < end && !unfinished(cell).is_empty() {
        cell.world.run(Duration::from_secs(5));
    }
    assert_eq!(cell.world.checks.violations, Vec::<String>::new(), "{cell_name}");
    let left = unfinished(cell);
    assert_eq!(left, Vec::<String>::new(), "{cell_name}: accepted jobs that did not finish");
    check_requests_are_dispatched(cell, &cell_name);
}

/// Returns a description of each accepted job that is lost or not finished.
fn unfinished(cell: &mut Cell) -> Vec<String> {
    let mut left = Vec::new();
    for job in cell.world.accepted() {
        match cell.world.status(&job) {
            None => left.push(format!("{job} is lost\n{}", cell.world.describe_shards())),
            Some(status) => {
                if matches!(status.progress, Progress::Waiting | Progress::Running) {
                    left.push(format!("{status:?}"));
                }
            }
        }
    }
    left
}

/// Checks that every shard dispatches a new request, for which it needs a token
/// of the team.
fn check_requests_are_dispatched(cell: &mut Cell, cell_name: &str) {
    cell.world.run(Duration::from_secs(3));
    for shard in cell.world.shards() {
        let token = cell.world.request(&shard, "a", None);
        cell.world.run(Duration::from_secs(3));
        let answer = cell.world.answers.get(&token);
        let is_dispatched = matches!(answer, Some(sycamore_core::caller::Answer::Dispatch { .. }));
        assert!(is_dispatched, "{cell_name}: shard {shard} did not dispatch a request: {answer:?}");
    }
}

#[parameterized(
    start = { Step::Start },
    finish = { Step::Finish },
    cancel = { Step::Cancel },
    handover = { Step::Handover },
    takeover = { Step::Takeover },
    token_transfer = { Step::TokenTransfer },
    config_change = { Step::ConfigChange },
    group_commit = { Step::GroupCommit },
)]
fn every_fault_at(step: Step) {
    for (index, fault) in FAULTS.into_iter().enumerate() {
        let mut cell = start_under_load(100 + index as u64);
        run_to_step(&mut cell, step);
        inject_fault(&mut cell, fault);
        run_under_load(&mut cell);
        check_recovery(&mut cell, fault, step);
    }
}

/// Runs a cell with injected bugs and returns the violations.
pub fn violations_with(bugs: InjectedBugs, fault: Fault, step: Step, seed: u64) -> Vec<String> {
    let mut cell = start_under_load(seed);
    cell.world.inject_bugs(bugs);
    run_to_step(&mut cell, step);
    inject_fault(&mut cell, fault);
    run_under_load(&mut cell);
    cell.world.heal();
    cell.world.run(crate::injected_bugs::OBSERVATION_SPAN);
    std::mem::take(&mut cell.world.checks.violations)
}

/// Injects a second fault 700 ms after the first, while the first one lasts.
#[parameterized(
    crash_in_outage = { Fault::StoreDown, Fault::Crash },
    pause_in_outage = { Fault::StoreDown, Fault::PausePastLease },
    pause_with_lost_replies = { Fault::StoreRepliesLost, Fault::PausePastLease },
    crash_with_lost_replies = { Fault::StoreRepliesLost, Fault::Crash },
    crash_with_disrupted_peer_messages = { Fault::DisruptedPeerMessages, Fault::Crash },
    store_partition_with_disrupted_peer_messages = { Fault::DisruptedPeerMessages, Fault::StorePartition },
    crash_with_unreachable_workers = { Fault::WorkerUnreachable, Fault::Crash },
    pause_with_unreachable_workers = { Fault::WorkerUnreachable, Fault::PausePastLease },
)]
fn two_faults(first: Fault, second: Fault) {
    for step in [Step::Start, Step::Takeover, Step::TokenTransfer] {
        let mut cell = start_under_load(300);
        run_to_step(&mut cell, step);
        inject_fault(&mut cell, first);
        cell.world.run(Duration::from_millis(700));
        inject_fault(&mut cell, second);
        run_under_load(&mut cell);
        check_recovery(&mut cell, second, step);
    }
}
