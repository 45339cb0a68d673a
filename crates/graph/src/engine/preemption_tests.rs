//! Decisions of `preemption` on plain data.

use sycamore_types::resources::Resources;

use super::preemption::{Claim, Occupant, Room, Victim, is_worth_it, may_take, plan, work_lost};
use crate::timing::PreemptionTiming;
use crate::{StepId, TaskId, job};

fn timing() -> PreemptionTiming {
    PreemptionTiming { stop_ms: 200, checkpoint_ms: 500, restore_ms: 250 }
}

fn cpu(cpu_millis: u32) -> Resources {
    Resources { cpu_millis, ..Resources::default() }
}

fn claim() -> Claim {
    Claim {
        priority: 0,
        is_hopeless: false,
        is_over_share: false,
        slack_ms: 750,
        slack_at_arrival_ms: 750,
        estimate_ms: 1_000,
    }
}

fn occupant() -> Occupant {
    Occupant {
        priority: 1,
        is_there: true,
        is_stopping: false,
        is_isolated: false,
        is_checkpointing: true,
        is_service: false,
        is_best_effort: false,
        is_gang: false,
        has_budget: false,
        yields: 0,
        estimate_ms: 3_400,
        elapsed_ms: 1_200,
        unsaved_ms: 200,
        slack_ms: 5_000,
    }
}

fn victim(index: u32, cpu_millis: u32, cost_core_ms: u64) -> Victim {
    let step = StepId { job: job::Id(1), occurrence: 0, index: 0 };
    let run = (TaskId { step, index }, 1);
    Victim { run, footprint: cpu(cpu_millis), is_over_share: false, lost_ms: 0, cost_core_ms }
}

fn room(index: usize, free: u32, victims: Vec<Victim>) -> Room {
    Room { index, free: cpu(free), most_tasks: 9, victims, ..Room::default() }
}

/// Guards against claims that gain nothing from the room.
#[test]
fn a_claim_needs_value_a_share_and_time() {
    assert!(may_take(&claim(), &timing()));
    assert!(!may_take(&Claim { is_hopeless: true, ..claim() }, &timing()));
    assert!(!may_take(&Claim { is_over_share: true, ..claim() }, &timing()));
    assert!(!may_take(&Claim { slack_at_arrival_ms: 399, ..claim() }, &timing()));
}

/// Guards each rule that protects a run.
#[test]
fn protected_runs_are_no_victims() {
    let protected = [
        Occupant { priority: 0, ..occupant() },
        Occupant { is_there: false, ..occupant() },
        Occupant { is_stopping: true, ..occupant() },
        Occupant { is_isolated: true, ..occupant() },
        Occupant { is_service: true, ..occupant() },
        Occupant { is_best_effort: true, ..occupant() },
        Occupant { is_gang: true, ..occupant() },
        Occupant { has_budget: true, ..occupant() },
        Occupant { yields: 2, ..occupant() },
        Occupant { estimate_ms: 2_999, ..occupant() },
        Occupant { is_checkpointing: false, elapsed_ms: 501, ..occupant() },
    ];

    assert_eq!(work_lost(&occupant(), &claim(), &timing()), Some(200));
    for run in protected {
        assert_eq!(work_lost(&run, &claim(), &timing()), None, "{run:?}");
    }
}

/// A job must not be made late, but one that is late anyway may yield.
#[test]
fn a_job_that_would_become_late_does_not_yield() {
    let is_victim =
        |slack_ms| work_lost(&Occupant { slack_ms, ..occupant() }, &claim(), &timing()).is_some();

    // 200 ms of work, 250 ms to resume, 200 ms to stop and 1,000 ms of the other task.
    assert!(is_victim(1_650));
    assert!(!is_victim(1_649));
    assert!(is_victim(-1));
}

/// A late step gains nothing if room comes by itself sooner than by a stop.
#[test]
fn a_late_step_waits_for_runs_that_end_soon() {
    let late = Claim { slack_ms: -10, ..claim() };
    let ending = |ms| [Room { ends: vec![(ms, cpu(2_000))], ..room(0, 500, Vec::new()) }];

    assert!(is_worth_it(&claim(), &ending(100), &cpu(2_500), &timing()));
    assert!(!is_worth_it(&late, &ending(300), &cpu(2_500), &timing()));
    assert!(is_worth_it(&late, &ending(301), &cpu(2_500), &timing()));
}

/// Guards against stopping more runs, or more expensive ones, than needed.
#[test]
fn the_cheapest_set_on_one_host_yields() {
    let dear = vec![victim(0, 1_700, 900), victim(1, 1_700, 900)];
    let cheap = vec![victim(2, 1_700, 400), victim(3, 1_700, 800), victim(4, 1_700, 300)];

    let taken =
        plan(vec![room(0, 700, dear), room(1, 700, cheap)], &cpu(2_500), 1, false, cpu(9_000));

    let runs: Vec<u32> = taken[0].victims.iter().map(|victim| victim.run.0.index).collect();
    assert_eq!((taken.len(), taken[0].index, runs), (1, 1, vec![4, 2]));
}

/// Runs of teams over their share yield first, even at a higher cost.
#[test]
fn runs_of_teams_over_their_share_yield_first() {
    let over = Victim { is_over_share: true, ..victim(1, 3_000, 900) };

    let taken = plan(
        vec![room(0, 0, vec![victim(0, 3_000, 100), over])],
        &cpu(2_500),
        1,
        false,
        cpu(9_000),
    );

    assert_eq!(taken[0].victims, vec![over]);
}

/// A worker that has shrunk has to get below its new capacity first (rule LIMIT).
#[test]
fn a_host_that_has_shrunk_needs_more_victims() {
    let victims = vec![victim(0, 2_000, 100), victim(1, 2_000, 100), victim(2, 2_000, 100)];
    let shrunk = Room { overcommitted: cpu(2_000), ..room(0, 0, victims) };

    let taken = plan(vec![shrunk], &cpu(2_500), 1, false, cpu(9_000));

    assert_eq!(taken[0].victims.len(), 3);
}

/// Room for a part of a gang is of no use, nor is room beyond the budget.
#[test]
fn a_gang_gets_room_for_all_members_or_none() {
    let rooms = || vec![room(0, 2_000, Vec::new()), room(1, 0, vec![victim(0, 2_000, 100)])];

    let tasks = |wanted, budget| {
        let taken = plan(rooms(), &cpu(2_000), wanted, true, cpu(budget));
        taken.iter().map(|taking| taking.tasks).sum::<u32>()
    };

    assert_eq!(tasks(2, 2_000), 2);
    assert_eq!(tasks(3, 9_000), 0);
    assert_eq!(tasks(2, 1_999), 0);
}
