//! Why steps wait, for operators who look into a delayed job.
//!
//! The messages are part of the log format that operators search, so that each is fixed by
//! an attribute and the doc comments explain them.

use displaydoc::Display;

use crate::{CallClass, StepId};

/// Why a step's tasks are not started yet.
#[derive(Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
pub enum WaitReason {
    /// Some host that the previous owner used has neither reported nor lost its lease, so
    /// that the task may still be running there.
    #[displaydoc("workers of the owner before are not all accounted for")]
    Recovering,
    /// A gang can't start again while runs of its last attempt are left.
    #[displaydoc("runs of the gang's last attempt have not all ended")]
    GangEnding,
    /// An attempt of the gang broke off on a host that has not reported since. If that was a
    /// failure, the gang has no attempt left.
    #[displaydoc("the gang's last attempt may have failed on a worker out of reach")]
    EndUnreported,
    /// Hosts that may have room wrote their entries so long ago that their capacities may have
    /// shrunk since.
    #[displaydoc("the list of workers is too old")]
    ListTooOld,
    /// Another run of the job is isolated, and tasks of the job may be like it.
    #[displaydoc("a worker crashed under the job; one of its tasks is tried first")]
    Isolated,
    /// As many hosts have isolated runs as may have.
    #[displaydoc("enough workers have tasks that may crash them")]
    IsolatedHostsBusy,
    /// The tasks would exceed the team's limit.
    #[displaydoc("the team is at its limit")]
    TeamLimit,
    /// The acceptance of the job is not durable yet.
    #[displaydoc("the job is not durable yet")]
    NotDurable,
    /// No host that may run the tasks has enough free capacity.
    #[displaydoc("no worker with room may run it")]
    NoRoom,
    /// Hosts have enough free capacity, but it is kept for gangs of higher rank that wait.
    #[displaydoc("the room for it is kept for gangs that go first")]
    KeptForGangs,
    /// Hosts of an evacuated failure domain have free capacity for the tasks, and no other host
    /// that may run them has.
    #[displaydoc("the workers with room for it are in a failure domain that is evacuated")]
    Evacuated,
    /// A call for advice is in flight, or the pause after a failed call is not over.
    #[displaydoc("advice is under way")]
    AdvicePending,
    /// Steps of higher rank use all calls for advice that may be in flight.
    #[displaydoc("steps that go first take all calls for advice")]
    AdviceBusy,
    /// Another process may have become the owner.
    #[displaydoc("the ownership was not confirmed in time")]
    Unconfirmed,
}

impl WaitReason {
    /// Number of reasons.
    pub(crate) const COUNT: usize = WaitReason::Unconfirmed as usize + 1;
}

/// How long a step has waited for each reason, as seen by the dispatch passes that reached it.
#[derive(Clone, Debug, Default)]
pub(crate) struct WaitTimes {
    /// Reason seen by the last pass, and the time of that pass in milliseconds.
    last: Option<(WaitReason, u64)>,
    /// Time for each reason, in milliseconds.
    spent_ms: [(Option<WaitReason>, u64); WaitReason::COUNT],
}

impl WaitTimes {
    /// Counts the time since the last pass for the reason that it saw.
    pub fn record(&mut self, reason: Option<WaitReason>, now_ms: u64) {
        if let Some((last, since_ms)) = self.last {
            let spent = &mut self.spent_ms[last as usize];
            *spent = (Some(last), spent.1 + now_ms.saturating_sub(since_ms));
        }
        self.last = reason.map(|reason| (reason, now_ms));
    }

    /// Returns the reasons with the time for each in milliseconds, the longest first.
    pub fn longest_first(&self) -> Vec<(WaitReason, u64)> {
        let spent = self.spent_ms.iter().filter_map(|(reason, ms)| Some(((*reason)?, *ms)));
        let mut spent: Vec<(WaitReason, u64)> = spent.filter(|(_, ms)| *ms > 0).collect();
        spent.sort_by_key(|(_, ms)| std::cmp::Reverse(*ms));
        spent
    }
}

/// A step with tasks that wait to be started.
#[derive(Clone, Debug)]
pub struct WaitingStep {
    /// The step.
    pub step: StepId,
    /// Time since the step's occurrence became due, in milliseconds.
    pub age_ms: u64,
    /// Whether the tasks have to run at the same time.
    pub is_gang: bool,
    /// Number of tasks that wait.
    pub tasks: usize,
    /// Why the tasks wait.
    pub reason: WaitReason,
    /// How long they have waited for each reason in milliseconds, the longest first. Passes look at
    /// some steps only now and then, and count the time between for the reason that they saw.
    pub spent_ms: Vec<(WaitReason, u64)>,
    /// Number of hosts that the advice service allowed for the step.
    pub allowed: usize,
    /// Number of hosts that the advice service denied for the step.
    pub denied: usize,
    /// The step's call for advice that ended last. `None` if none has.
    pub last_call: Option<LastCall>,
}

/// A call for advice that has ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LastCall {
    /// Time since its end, in milliseconds.
    pub age_ms: u64,
    /// Whether the advice service answered.
    pub is_answered: bool,
}

/// Calls for advice, and the steps that wait for one.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct CallLoad {
    /// Calls in flight, by class.
    pub in_flight: [u32; CallClass::COUNT],
    /// Most calls that may be in flight, by class.
    pub limits: [u32; CallClass::COUNT],
    /// Number of steps that wait for a free call.
    pub waiting_steps: usize,
    /// Longest time for which one of them has waited since its last call, in milliseconds.
    pub longest_wait_ms: u64,
}
