//! Stateful fuzzing: random operations and faults.
//!
//! The invariants of [`Checks`](crate::world::Checks) must hold after every
//! transition, and once all faults have ended, all accepted work must finish.
//! The default seed is fixed, so that each run gives the same result. A longer
//! run is started with:
//!
//! ```console
//! $ SYCAMORE_FUZZ_CASES=2000 SYCAMORE_FUZZ_SEED=7 \
//!       cargo test --release -p sycamore-core --test failures fuzz
//! ```

use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use sycamore_core::Event;
use sycamore_core::caller::Progress;
use sycamore_types::id;
use sycamore_types::job::Kind;

use crate::world::{StoreFault, World, config, spec};

/// Number of processes.
const PROCESSES: usize = 4;

/// Number of cases, unless `SYCAMORE_FUZZ_CASES` is set.
const DEFAULT_CASES: u32 = 24;

/// Seed, unless `SYCAMORE_FUZZ_SEED` is set.
const DEFAULT_SEED: u64 = 20_261_204;

/// Time within which all accepted work must finish once the faults have ended.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(240);

/// An operation of a caller or an operator, or a fault that begins or ends.
///
/// Processes, workers, shards and jobs are given by their indices. `Request`
/// carries an idempotency key, and `SetLimits` sets the limits of the teams `a`
/// and `b`.
#[derive(Clone, Debug)]
pub enum Transition {
    Submit { shard: usize, team: bool, tasks: u32, run_ms: u64, restartable: bool, kind: Kind },
    Request { key: u8 },
    RequestWithoutKey { shard: usize },
    Cancel { job: usize },
    Crash { process: usize },
    Restart { process: usize },
    Pause { process: usize },
    Resume { process: usize },
    Stop { process: usize },
    ToggleStorePartition { process: usize },
    TogglePeerPartition { process: usize },
    SetStoreFault { is_down: bool, loses_replies: bool, is_slow: bool },
    DisruptPeerMessages { is_on: bool },
    SetWorkerFault { worker: usize, is_unreachable: bool, fails_tasks: bool, loses_replies: bool },
    ToggleHostLeaving { worker: usize },
    SetLimits { a: u32, b: u32 },
    Wait { ms: u64 },
}

/// State of the model, from which the next transition is drawn.
#[derive(Clone, Debug, Default)]
pub struct Oracle {
    /// Number of submitted jobs, by which a cancellation picks one.
    submitted: usize,
}

impl ReferenceStateMachine for Oracle {
    type State = Oracle;
    type Transition = Transition;

    fn init_state() -> BoxedStrategy<Oracle> {
        Just(Oracle::default()).boxed()
    }

    fn transitions(state: &Oracle) -> BoxedStrategy<Transition> {
        let kind = prop_oneof![
            4 => Just(Kind::Batch),
            1 => Just(Kind::Gang),
            1 => Just(Kind::Service)
        ];
        let submit = (0..2_usize, any::<bool>(), 1..6_u32, 50..9_000_u64, any::<bool>(), kind)
            .prop_map(|(shard, team, tasks, run_ms, restartable, kind)| Transition::Submit {
                shard,
                team,
                tasks,
                run_ms,
                restartable,
                kind,
            });
        let store = (any::<bool>(), any::<bool>(), any::<bool>()).prop_map(
            |(is_down, loses_replies, is_slow)| Transition::SetStoreFault {
                is_down,
                loses_replies,
                is_slow,
            },
        );
        let worker = (0..8_usize, any::<bool>(), any::<bool>(), any::<bool>()).prop_map(
            |(worker, is_unreachable, fails_tasks, loses_replies)| Transition::SetWorkerFault {
                worker,
                is_unreachable,
                fails_tasks,
                loses_replies,
            },
        );
        let process = || 0..PROCESSES;
        prop_oneof![
            6 => submit,
            5 => (0..12_u8).prop_map(|key| Transition::Request { key }),
            4 => (0..2_usize).prop_map(|shard| Transition::RequestWithoutKey { shard }),
            2 => (0..state.submitted.max(1)).prop_map(|job| Transition::Cancel { job }),
            1 => process().prop_map(|process| Transition::Crash { process }),
            2 => process().prop_map(|process| Transition::Restart { process }),
            1 => process().prop_map(|process| Transition::Pause { process }),
            2 => process().prop_map(|process| Transition::Resume { process }),
            1 => process().prop_map(|process| Transition::Stop { process }),
            1 => process().prop_map(|process| Transition::ToggleStorePartition { process }),
            1 => process().prop_map(|process| Transition::TogglePeerPartition { process }),
            2 => store,
            1 => any::<bool>().prop_map(|is_on| Transition::DisruptPeerMessages { is_on }),
            2 => worker,
            1 => (0..8_usize).prop_map(|worker| Transition::ToggleHostLeaving { worker }),
            1 => (4..20_u32, 4..40_u32).prop_map(|(a, b)| Transition::SetLimits { a, b }),
            12 => (1..4_000_u64).prop_map(|ms| Transition::Wait { ms }),
        ]
        .boxed()
    }

    fn apply(mut state: Oracle, transition: &Transition) -> Oracle {
        if let Transition::Submit { .. } = transition {
            state.submitted += 1;
        }
        state
    }
}

/// The deployment under test, with the jobs submitted to it.
pub struct Deployment {
    world: World,
    jobs: Vec<id::Job>,
}

impl StateMachineTest for Deployment {
    type SystemUnderTest = Deployment;
    type Reference = Oracle;

    fn init_test(_: &Oracle) -> Deployment {
        let mut world = World::new(11, PROCESSES);
        world.wait_for_owners();
        Deployment { world, jobs: Vec::new() }
    }

    fn apply(mut deployment: Deployment, _: &Oracle, transition: Transition) -> Deployment {
        deployment.execute(transition);
        deployment
    }

    fn check_invariants(deployment: &Deployment, _: &Oracle) {
        assert_eq!(deployment.world.checks.violations, Vec::<String>::new());
    }

    fn teardown(mut deployment: Deployment, _: Oracle) {
        deployment.finish();
    }
}

impl Deployment {
    fn execute(&mut self, transition: Transition) {
        let world = &mut self.world;
        let shards = world.shards();
        match transition {
            Transition::Submit { shard, team, tasks, run_ms, restartable, kind } => {
                let mut spec = spec(tasks, run_ms);
                spec.restartable = restartable || kind == Kind::Service;
                spec.kind = kind;
                let team = if team { "a" } else { "b" };
                self.jobs.push(world.submit(&shards[shard], team, spec).1);
            }
            Transition::Request { key } => {
                // Entry processes send all repeats of a key to the same shard.
                let home = shards[usize::from(key) % shards.len()].clone();
                world.request(&home, "a", Some(u128::from(key)));
            }
            Transition::RequestWithoutKey { shard } => {
                world.request(&shards[shard], "b", None);
            }
            Transition::Cancel { job } => {
                if let Some(job) = self.jobs.get(job).cloned() {
                    world.cancel(&job);
                }
            }
            Transition::Crash { process } => world.crash(process),
            Transition::Restart { process } => world.restart(process),
            Transition::Pause { process } => world.processes[process].is_paused = true,
            Transition::Resume { process } => world.processes[process].is_paused = false,
            Transition::Stop { process } => world.deliver(process, Event::Stop),
            Transition::ToggleStorePartition { process } => {
                toggle(&mut world.processes[process].is_partitioned_from_store)
            }
            Transition::TogglePeerPartition { process } => {
                toggle(&mut world.processes[process].is_partitioned_from_peers)
            }
            Transition::SetStoreFault { is_down, loses_replies, is_slow } => {
                world.store_fault = StoreFault { is_down, loses_replies, is_slow };
            }
            Transition::DisruptPeerMessages { is_on } => world.disrupts_peer_messages = is_on,
            Transition::SetWorkerFault { worker, is_unreachable, fails_tasks, loses_replies } => {
                if let Some(worker) = world.workers.values_mut().nth(worker) {
                    worker.is_unreachable = is_unreachable;
                    worker.fails_tasks = fails_tasks;
                    worker.loses_replies = loses_replies;
                }
            }
            Transition::ToggleHostLeaving { worker } => {
                if let Some(worker) = world.workers.values_mut().nth(worker) {
                    toggle(&mut worker.host.is_leaving);
                }
                world.announce_hosts();
            }
            Transition::SetLimits { a, b } => world.set_config(config(&[("a", a), ("b", b)])),
            Transition::Wait { ms } => world.run(Duration::from_millis(ms)),
        }
    }

    /// Ends all faults and checks that all accepted work finishes.
    fn finish(&mut self) {
        self.world.heal();
        self.world.wait_for_owners();
        // Services run until they are cancelled. With a low limit they could
        // use all tokens of their team, and other jobs would rightly wait.
        self.world.set_config(config(&[("a", 12), ("b", 40)]));
        for service in self.world.services.clone() {
            self.world.cancel(&service);
        }
        let end = self.world.now + RECOVERY_TIMEOUT;
        // The last submissions are not durable yet, and so not yet accepted.
        self.world.run(Duration::from_secs(10));
        let mut left = self.unfinished();
        while self.world.now < end && !left.is_empty() {
            self.world.run(Duration::from_secs(5));
            left = self.unfinished();
        }
        assert_eq!(left, Vec::<String>::new(), "accepted jobs that did not finish");
        assert_eq!(self.world.checks.violations, Vec::<String>::new());
    }

    /// Returns a description of each accepted job that is lost or not finished.
    fn unfinished(&mut self) -> Vec<String> {
        let mut left = Vec::new();
        for job in self.world.accepted() {
            match self.world.status(&job) {
                None => left.push(format!("{job} is lost\n{}", self.world.describe_shards())),
                Some(status) => {
                    let is_waiting = status.progress == Progress::Waiting;
                    let is_running = status.progress == Progress::Running;
                    let is_service = self.world.services.contains(&job);
                    if !is_service && (is_waiting || is_running) {
                        left.push(format!("{status:?}\n{}", self.world.describe_job(&job)));
                    }
                }
            }
        }
        left
    }
}

fn toggle(flag: &mut bool) {
    *flag = !*flag;
}

fn env_number(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

fn runner_config() -> Config {
    Config {
        cases: u32::try_from(env_number("SYCAMORE_FUZZ_CASES", u64::from(DEFAULT_CASES)))
            .unwrap_or(DEFAULT_CASES),
        rng_seed: RngSeed::Fixed(env_number("SYCAMORE_FUZZ_SEED", DEFAULT_SEED)),
        failure_persistence: None,
        max_shrink_iters: 400,
        ..Config::default()
    }
}

prop_state_machine! {
    #![proptest_config(runner_config())]

    #[test]
    fn invariants_hold_and_all_accepted_work_finishes(sequential 20..80 => Deployment);
}
