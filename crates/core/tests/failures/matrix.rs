//! The fault matrix: every fault at every step.
//!
//! Each cell brings the deployment to a step, lets the fault happen right
//! there, goes on under load, heals, and checks that nothing that must always
//! hold was broken and that all accepted work comes to its end.

use std::time::Duration;

use sycamore_core::InjectedBugs;
use sycamore_core::caller::Progress;
use sycamore_types::id;
use sycamore_types::job::Kind;
use yare::parameterized;

use crate::world::{StoreFault, World, config, spec};

/// Something that goes wrong.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    Crash,
    PausePastLease,
    HostLost,
    StoreDown,
    StoreSlow,
    ReplyLost,
    CutFromStore,
    GarbledPeers,
    WorkerUnreachable,
    WorkerRepliesLost,
    WorkerFailsEverything,
    LeavingHost,
    RacingOperators,
    CancellationWave,
}

/// A moment at which a fault may come.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    Start,
    Finish,
    Cancel,
    HandOver,
    TakeOver,
    AllotmentMove,
    ConfigChange,
    GroupCommit,
}

const FAULTS: [Fault; 14] = [
    Fault::Crash,
    Fault::PausePastLease,
    Fault::HostLost,
    Fault::StoreDown,
    Fault::StoreSlow,
    Fault::ReplyLost,
    Fault::CutFromStore,
    Fault::GarbledPeers,
    Fault::WorkerUnreachable,
    Fault::WorkerRepliesLost,
    Fault::WorkerFailsEverything,
    Fault::LeavingHost,
    Fault::RacingOperators,
    Fault::CancellationWave,
];

/// Jobs that are handed in before the fault.
const JOBS: usize = 12;

/// Time that a fault lasts.
const FAULT_SPAN: Duration = Duration::from_secs(12);

/// Time within which everything must have healed.
const HEAL: Duration = Duration::from_secs(180);

/// A deployment under load, with the jobs that were handed in.
struct Cell {
    world: World,
    jobs: Vec<id::Job>,
}

fn under_load(seed: u64) -> Cell {
    let mut world = World::new(seed, 4);
    world.settle();
    world.run(Duration::from_secs(3));
    let shards = world.shards();
    let mut jobs = Vec::new();
    for at in 0..JOBS {
        let shard = &shards[at % shards.len()];
        // Some tasks outlive the lease of an owner, so that a takeover meets them.
        let run_ms = if at % 3 == 0 { 9_000 } else { 400 + 150 * at as u64 };
        let mut spec = spec(1 + (at as u32 % 3), run_ms);
        spec.restartable = at % 4 != 3;
        spec.kind = if at % 5 == 4 { Kind::Gang } else { Kind::Batch };
        let team = if at % 2 == 0 { "a" } else { "b" };
        jobs.push(world.submit(shard, team, spec).1);
    }
    Cell { world, jobs }
}

/// Brings the deployment to a step.
fn reach(cell: &mut Cell, step: Step) {
    let world = &mut cell.world;
    world.seen.clear();
    let end = world.now + Duration::from_secs(5);
    match step {
        Step::Start => wait_for(world, end, "start"),
        Step::GroupCommit => wait_for(world, end, "page"),
        Step::Finish => world.run(Duration::from_millis(900)),
        Step::Cancel => {
            world.run(Duration::from_millis(300));
            for job in cell.jobs.iter().take(4) {
                cell.world.cancel(job);
            }
            cell.world.run(Duration::from_millis(3));
        }
        Step::HandOver => {
            world.run(Duration::from_millis(300));
            world.deliver(1, sycamore_core::Event::Stop);
            world.run(Duration::from_millis(400));
        }
        Step::TakeOver => {
            world.run(Duration::from_millis(300));
            world.crash(1);
            wait_for(world, end + Duration::from_secs(5), "owners");
        }
        Step::AllotmentMove => wait_for(world, end, "ledger"),
        Step::ConfigChange => {
            world.run(Duration::from_millis(200));
            world.set_config(config(&[("a", 4), ("b", 50)]));
            world.run(Duration::from_millis(2));
        }
    }
}

fn wait_for(world: &mut World, end: Duration, name: &str) {
    world.run_until(end, |world| world.seen.contains(name));
}

/// Makes something go wrong, mostly for the first process.
fn inflict(cell: &mut Cell, fault: Fault) {
    let world = &mut cell.world;
    match fault {
        Fault::Crash => world.crash(0),
        Fault::PausePastLease => world.processes[0].is_paused = true,
        Fault::HostLost => {
            world.crash(0);
            let name = world.workers.keys().next().cloned().expect("there are workers");
            let worker = world.workers.get_mut(&name).expect("it is there");
            worker.is_unreachable = true;
            worker.running.clear();
        }
        Fault::StoreDown => {
            world.store_fault = StoreFault { is_down: true, ..StoreFault::default() };
        }
        Fault::StoreSlow => {
            world.store_fault = StoreFault { is_slow: true, ..StoreFault::default() };
        }
        Fault::ReplyLost => {
            world.store_fault = StoreFault { loses_replies: true, ..StoreFault::default() };
        }
        Fault::CutFromStore => world.processes[0].is_cut_from_store = true,
        Fault::GarbledPeers => world.garbles_peers = true,
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
        Fault::WorkerFailsEverything => {
            for worker in world.workers.values_mut().take(2) {
                worker.fails_everything = true;
            }
        }
        Fault::LeavingHost => {
            for worker in world.workers.values_mut().take(3) {
                worker.host.is_leaving = true;
            }
            world.announce_hosts();
        }
        Fault::RacingOperators => {
            for limit in [6, 9, 5] {
                world.set_config(config(&[("a", limit), ("b", 40)]));
                world.run(Duration::from_millis(1));
            }
        }
        Fault::CancellationWave => {
            for job in cell.jobs.iter().skip(2) {
                cell.world.cancel(job);
                cell.world.cancel(job);
            }
        }
    }
}

/// Goes on under load while the fault lasts.
fn endure(cell: &mut Cell) {
    let shards = cell.world.shards();
    let end = cell.world.now + FAULT_SPAN;
    let mut at = 0;
    while cell.world.now < end {
        let shard = shards[at % shards.len()].clone();
        // Entry processes send all repeats of a key to the same shard.
        let key = at % 8;
        let home = shards[key % shards.len()].clone();
        cell.world.request(&home, "a", Some(key as u128));
        cell.world.request(&shard, "b", None);
        if at % 4 == 0 {
            let job = cell.world.submit(&shard, "b", spec(2, 700)).1;
            cell.jobs.push(job);
        }
        // The wants of a team move from shard to shard, so that its tokens do.
        if at % 2 == 0 {
            let hot = shards[at / 5 % shards.len()].clone();
            let job = cell.world.submit(&hot, "a", spec(5, 900)).1;
            cell.jobs.push(job);
        }
        cell.world.run(Duration::from_millis(300));
        at += 1;
    }
}

fn heal_and_check(cell: &mut Cell, fault: Fault, step: Step) {
    let cell_name = format!("{fault:?} at {step:?}");
    cell.world.heal();
    cell.world.settle();
    let end = cell.world.now + HEAL;
    while cell.world.now < end && !unfinished(cell).is_empty() {
        cell.world.run(Duration::from_secs(5));
    }
    assert_eq!(cell.world.checks.violations, Vec::<String>::new(), "{cell_name}");
    let left = unfinished(cell);
    assert_eq!(left, Vec::<String>::new(), "{cell_name}: accepted work that is not over");
    serves_again(cell, &cell_name);
}

/// Returns the accepted jobs that are lost or not over, in words.
fn unfinished(cell: &mut Cell) -> Vec<String> {
    let mut left = Vec::new();
    for job in cell.world.accepted() {
        match cell.world.status(&job) {
            None => left.push(format!("{job} is lost\n{}", cell.world.describe())),
            Some(status) => {
                if matches!(status.progress, Progress::Waiting | Progress::Running) {
                    left.push(format!("{status:?}"));
                }
            }
        }
    }
    left
}

/// Every shard takes new work, and the limits' tokens are where they are wanted.
fn serves_again(cell: &mut Cell, cell_name: &str) {
    cell.world.run(Duration::from_secs(3));
    for shard in cell.world.shards() {
        let token = cell.world.request(&shard, "a", None);
        cell.world.run(Duration::from_secs(3));
        let answer = cell.world.answers.get(&token);
        let is_dispatched = matches!(answer, Some(sycamore_core::caller::Answer::Dispatch { .. }));
        assert!(is_dispatched, "{cell_name}: shard {shard} answers {answer:?}");
    }
}

#[parameterized(
    start = { Step::Start },
    finish = { Step::Finish },
    cancel = { Step::Cancel },
    hand_over = { Step::HandOver },
    take_over = { Step::TakeOver },
    allotment_move = { Step::AllotmentMove },
    config_change = { Step::ConfigChange },
    group_commit = { Step::GroupCommit },
)]
fn every_fault_at(step: Step) {
    for (at, fault) in FAULTS.into_iter().enumerate() {
        let mut cell = under_load(100 + at as u64);
        reach(&mut cell, step);
        inflict(&mut cell, fault);
        endure(&mut cell);
        heal_and_check(&mut cell, fault, step);
    }
}

/// Runs a cell with a safety rule left out and returns what the checks saw.
pub fn violations_with(breakage: InjectedBugs, fault: Fault, step: Step, seed: u64) -> Vec<String> {
    let mut cell = under_load(seed);
    cell.world.set_breakage(breakage);
    reach(&mut cell, step);
    inflict(&mut cell, fault);
    endure(&mut cell);
    cell.world.heal();
    cell.world.run(crate::breakages::SPAN);
    std::mem::take(&mut cell.world.checks.violations)
}

/// Faults also come two at a time.
#[parameterized(
    crash_in_outage = { Fault::StoreDown, Fault::Crash },
    pause_in_outage = { Fault::StoreDown, Fault::PausePastLease },
    pause_with_lost_replies = { Fault::ReplyLost, Fault::PausePastLease },
    crash_with_lost_replies = { Fault::ReplyLost, Fault::Crash },
    crash_with_garbled_peers = { Fault::GarbledPeers, Fault::Crash },
    cut_off_with_garbled_peers = { Fault::GarbledPeers, Fault::CutFromStore },
    crash_with_unreachable_workers = { Fault::WorkerUnreachable, Fault::Crash },
    pause_with_unreachable_workers = { Fault::WorkerUnreachable, Fault::PausePastLease },
)]
fn two_faults(first: Fault, second: Fault) {
    for step in [Step::Start, Step::TakeOver, Step::AllotmentMove] {
        let mut cell = under_load(300);
        reach(&mut cell, step);
        inflict(&mut cell, first);
        cell.world.run(Duration::from_millis(700));
        inflict(&mut cell, second);
        endure(&mut cell);
        heal_and_check(&mut cell, second, step);
    }
}
