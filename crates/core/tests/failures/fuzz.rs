//! Stateful fuzzing against a simple oracle.
//!
//! The oracle is the list of what must always hold, kept by the checks of the
//! world, and one rule about the end: once all faults are over, everything
//! that was accepted comes to its end. Seeds are fixed; a long run is
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

/// Processes of the deployment.
const PROCESSES: usize = 4;

/// Cases of a run in CI.
const CASES: u32 = 24;

/// Seed of a run in CI.
const SEED: u64 = 20_261_204;

/// Time within which everything must have healed.
const HEAL: Duration = Duration::from_secs(240);

/// One thing that is done to the deployment.
#[derive(Clone, Debug)]
pub enum Act {
    Submit { shard: usize, team: bool, tasks: u32, run_ms: u64, restartable: bool, kind: Kind },
    Request { key: u8 },
    Ask { shard: usize },
    Cancel { job: usize },
    Crash { process: usize },
    Restart { process: usize },
    Pause { process: usize },
    Wake { process: usize },
    Stop { process: usize },
    CutStore { process: usize },
    CutPeers { process: usize },
    Store { is_down: bool, loses_replies: bool, is_slow: bool },
    Garble { is_on: bool },
    Worker { worker: usize, is_unreachable: bool, fails: bool, loses_replies: bool },
    Leave { worker: usize },
    Limits { a: u32, b: u32 },
    Wait { millis: u64 },
}

/// What the oracle keeps between acts.
#[derive(Clone, Debug, Default)]
pub struct Oracle {
    /// Number of jobs that were handed in, to name them in cancellations.
    jobs: usize,
}

impl ReferenceStateMachine for Oracle {
    type State = Oracle;
    type Transition = Act;

    fn init_state() -> BoxedStrategy<Oracle> {
        Just(Oracle::default()).boxed()
    }

    fn transitions(state: &Oracle) -> BoxedStrategy<Act> {
        let kind = prop_oneof![
            4 => Just(Kind::Batch),
            1 => Just(Kind::Gang),
            1 => Just(Kind::Service)
        ];
        let submit = (0..2_usize, any::<bool>(), 1..6_u32, 50..9_000_u64, any::<bool>(), kind)
            .prop_map(|(shard, team, tasks, run_ms, restartable, kind)| Act::Submit {
                shard,
                team,
                tasks,
                run_ms,
                restartable,
                kind,
            });
        let store = (any::<bool>(), any::<bool>(), any::<bool>()).prop_map(
            |(is_down, loses_replies, is_slow)| Act::Store { is_down, loses_replies, is_slow },
        );
        let worker = (0..8_usize, any::<bool>(), any::<bool>(), any::<bool>()).prop_map(
            |(worker, is_unreachable, fails, loses_replies)| Act::Worker {
                worker,
                is_unreachable,
                fails,
                loses_replies,
            },
        );
        let process = || 0..PROCESSES;
        prop_oneof![
            6 => submit,
            5 => (0..12_u8).prop_map(|key| Act::Request { key }),
            4 => (0..2_usize).prop_map(|shard| Act::Ask { shard }),
            2 => (0..state.jobs.max(1)).prop_map(|job| Act::Cancel { job }),
            1 => process().prop_map(|process| Act::Crash { process }),
            2 => process().prop_map(|process| Act::Restart { process }),
            1 => process().prop_map(|process| Act::Pause { process }),
            2 => process().prop_map(|process| Act::Wake { process }),
            1 => process().prop_map(|process| Act::Stop { process }),
            1 => process().prop_map(|process| Act::CutStore { process }),
            1 => process().prop_map(|process| Act::CutPeers { process }),
            2 => store,
            1 => any::<bool>().prop_map(|is_on| Act::Garble { is_on }),
            2 => worker,
            1 => (0..8_usize).prop_map(|worker| Act::Leave { worker }),
            1 => (4..20_u32, 4..40_u32).prop_map(|(a, b)| Act::Limits { a, b }),
            12 => (1..4_000_u64).prop_map(|millis| Act::Wait { millis }),
        ]
        .boxed()
    }

    fn apply(mut state: Oracle, act: &Act) -> Oracle {
        if let Act::Submit { .. } = act {
            state.jobs += 1;
        }
        state
    }
}

/// The deployment under test.
pub struct Deployment {
    world: World,
    jobs: Vec<id::Job>,
}

impl StateMachineTest for Deployment {
    type SystemUnderTest = Deployment;
    type Reference = Oracle;

    fn init_test(_: &Oracle) -> Deployment {
        let mut world = World::new(11, PROCESSES);
        world.settle();
        Deployment { world, jobs: Vec::new() }
    }

    fn apply(mut deployment: Deployment, _: &Oracle, act: Act) -> Deployment {
        deployment.act(act);
        deployment
    }

    fn check_invariants(deployment: &Deployment, _: &Oracle) {
        assert_eq!(deployment.world.checks.violations, Vec::<String>::new());
    }

    fn teardown(mut deployment: Deployment, _: Oracle) {
        deployment.end();
    }
}

impl Deployment {
    fn act(&mut self, act: Act) {
        let world = &mut self.world;
        let shards = world.shards();
        match act {
            Act::Submit { shard, team, tasks, run_ms, restartable, kind } => {
                let mut spec = spec(tasks, run_ms);
                spec.restartable = restartable || kind == Kind::Service;
                spec.kind = kind;
                let team = if team { "a" } else { "b" };
                self.jobs.push(world.submit(&shards[shard], team, spec).1);
            }
            Act::Request { key } => {
                // Entry processes send all repeats of a key to the same shard.
                let home = shards[usize::from(key) % shards.len()].clone();
                world.request(&home, "a", Some(u128::from(key)));
            }
            Act::Ask { shard } => {
                world.request(&shards[shard], "b", None);
            }
            Act::Cancel { job } => {
                if let Some(job) = self.jobs.get(job).cloned() {
                    world.cancel(&job);
                }
            }
            Act::Crash { process } => world.crash(process),
            Act::Restart { process } => world.restart(process),
            Act::Pause { process } => world.processes[process].is_paused = true,
            Act::Wake { process } => world.processes[process].is_paused = false,
            Act::Stop { process } => world.deliver(process, Event::Stop),
            Act::CutStore { process } => flip(&mut world.processes[process].is_cut_from_store),
            Act::CutPeers { process } => flip(&mut world.processes[process].is_cut_from_peers),
            Act::Store { is_down, loses_replies, is_slow } => {
                world.store_fault = StoreFault { is_down, loses_replies, is_slow };
            }
            Act::Garble { is_on } => world.garbles_peers = is_on,
            Act::Worker { worker, is_unreachable, fails, loses_replies } => {
                if let Some(worker) = world.workers.values_mut().nth(worker) {
                    worker.is_unreachable = is_unreachable;
                    worker.fails_everything = fails;
                    worker.loses_replies = loses_replies;
                }
            }
            Act::Leave { worker } => {
                if let Some(worker) = world.workers.values_mut().nth(worker) {
                    flip(&mut worker.host.is_leaving);
                }
                world.announce_hosts();
            }
            Act::Limits { a, b } => world.set_config(config(&[("a", a), ("b", b)])),
            Act::Wait { millis } => world.run(Duration::from_millis(millis)),
        }
    }

    /// Ends every fault and waits for all that was accepted.
    fn end(&mut self) {
        self.world.heal();
        self.world.settle();
        // Services run until they are cancelled, and may use up a low limit
        // that other work then waits for, as it should.
        self.world.set_config(config(&[("a", 12), ("b", 40)]));
        for service in self.world.services.clone() {
            self.world.cancel(&service);
        }
        let end = self.world.now + HEAL;
        // What was handed in last is still on its way to the log.
        self.world.run(Duration::from_secs(10));
        let mut left = self.unfinished();
        while self.world.now < end && !left.is_empty() {
            self.world.run(Duration::from_secs(5));
            left = self.unfinished();
        }
        assert_eq!(left, Vec::<String>::new(), "accepted work that is not over");
        assert_eq!(self.world.checks.violations, Vec::<String>::new());
    }

    fn unfinished(&mut self) -> Vec<String> {
        let mut left = Vec::new();
        for job in self.world.accepted() {
            match self.world.status(&job) {
                None => left.push(format!("{job} is lost\n{}", self.world.describe())),
                Some(status) => {
                    let is_waiting = status.progress == Progress::Waiting;
                    let is_running = status.progress == Progress::Running;
                    let is_service = self.world.services.contains(&job);
                    if !is_service && (is_waiting || is_running) {
                        left.push(format!("{status:?}\n{}", self.world.whereabouts(&job)));
                    }
                }
            }
        }
        left
    }
}

fn flip(flag: &mut bool) {
    *flag = !*flag;
}

fn number(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

fn settings() -> Config {
    Config {
        cases: u32::try_from(number("SYCAMORE_FUZZ_CASES", u64::from(CASES))).unwrap_or(CASES),
        rng_seed: RngSeed::Fixed(number("SYCAMORE_FUZZ_SEED", SEED)),
        failure_persistence: None,
        max_shrink_iters: 400,
        ..Config::default()
    }
}

prop_state_machine! {
    #![proptest_config(settings())]

    #[test]
    fn nothing_is_broken_and_all_work_ends(sequential 20..80 => Deployment);
}
