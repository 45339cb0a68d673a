//! Proof that the checks detect violations: with any one safety rule switched
//! off, some seed fails under the fault that the rule guards against, and with
//! all rules in force none does.

use std::time::Duration;

use sycamore_core::InjectedBugs;
use yare::parameterized;

use crate::matrix::{Fault, Step, violations_with};

/// All safety rules in force.
const NONE: InjectedBugs = InjectedBugs {
    retries_after_send: false,
    credits_before_debit: false,
    accepts_old_config: false,
    skips_inventory: false,
    ignores_deadline: false,
};

#[parameterized(
    start_repeated_after_lost_reply = {
        InjectedBugs { retries_after_send: true, ..NONE }, Fault::WorkerRepliesLost, Step::Start
    },
    tokens_granted_before_cap_lowered = {
        InjectedBugs { credits_before_debit: true, ..NONE },
        Fault::DisruptedPeerMessages,
        Step::TokenTransfer
    },
    older_configuration_accepted = {
        InjectedBugs { accepts_old_config: true, ..NONE },
        Fault::ConcurrentConfigChanges,
        Step::ConfigChange
    },
    inventory_skipped = { InjectedBugs { skips_inventory: true, ..NONE }, Fault::Crash, Step::Finish },
    deadline_ignored = {
        InjectedBugs { ignores_deadline: true, ..NONE }, Fault::PausePastLease, Step::Start
    },
)]
fn is_detected(bugs: InjectedBugs, fault: Fault, step: Step) {
    let is_detected = (0..20).any(|seed| !violations_with(bugs, fault, step, seed).is_empty());
    assert!(is_detected, "no check detects {bugs:?} under {fault:?} at {step:?}");
    let is_clean = (0..20).all(|seed| violations_with(NONE, fault, step, seed).is_empty());
    assert!(is_clean, "the checks report violations without a bug under {fault:?} at {step:?}");
}

/// Time for which the processes run after the fault has ended, before the
/// violations are read.
pub const OBSERVATION_SPAN: Duration = Duration::from_secs(10);
