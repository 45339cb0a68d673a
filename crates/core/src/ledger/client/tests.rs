//! Regression tests of writing an epoch into the ledger when the write stalls or is refused.

use super::*;
use crate::action::Action;
use crate::context::Calls;
use crate::timing::Timing;

const NOW: Duration = Duration::from_secs(60);

fn with_context<T>(f: impl FnOnce(&mut Context<'_>) -> T) -> (T, Vec<Action>) {
    let timing = Timing::default();
    let mut calls = Calls::new(1);
    let mut out = Vec::new();
    let mut cx = Context { now: NOW, timing: &timing, calls: &mut calls, out: &mut out };
    let result = f(&mut cx);
    (result, out)
}

/// Returns a client whose write of the given epoch is in flight.
fn client_writing_epoch(cx: &mut Context<'_>, epoch: Epoch) -> Client {
    let mut client = Client::new();
    client.queue_epoch(id::Shard::new("d", 0), epoch);
    client.tick(cx, false);
    client.on_reply(cx, Reply::Value(None));
    client.tick(cx, false);
    client
}

/// Found by fuzzing, seed 1: a member that was not the planner never resumed
/// a stalled write of its epoch, so its shard never left the first phase.
#[test]
fn a_stalled_epoch_write_is_resumed_by_a_member_that_is_not_the_planner() {
    let (mut client, _) = with_context(|cx| {
        let mut client = client_writing_epoch(cx, 1);
        client.on_reply(cx, Reply::Unknown);
        client.on_reply(cx, Reply::Unavailable);
        client
    });
    let ((), out) = with_context(|cx| client.tick(cx, false));
    assert!(matches!(out.as_slice(), [Action::Store { .. }]), "{out:?}");
}

/// Found by fuzzing, seed 1: the write of an epoch was refused, and that epoch
/// replaced a newer one queued in the meantime.
#[test]
fn a_refused_epoch_does_not_replace_a_newer_one() {
    let shard = id::Shard::new("d", 0);
    let (client, _) = with_context(|cx| {
        let mut client = client_writing_epoch(cx, 1);
        client.queue_epoch(shard.clone(), 2);
        client.on_reply(cx, Reply::Unavailable);
        client
    });
    assert_eq!(client.queued_epochs.get(&shard), Some(&2));
}
