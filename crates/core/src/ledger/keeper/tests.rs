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

/// A keeper whose stamp of the given epoch is on its way to the store.
fn stamping(cx: &mut Context<'_>, epoch: Epoch) -> Client {
    let mut keeper = Client::new();
    keeper.stamp(id::Shard::new("d", 0), epoch);
    keeper.tick(cx, false);
    keeper.on_reply(cx, Reply::Value(None));
    keeper.tick(cx, false);
    keeper
}

/// Found by fuzzing, seed 1: the shard never got past its first phase.
#[test]
fn a_stalled_stamp_is_continued_by_a_member_that_plans_nothing() {
    let (mut keeper, _) = with_context(|cx| {
        let mut keeper = stamping(cx, 1);
        keeper.on_reply(cx, Reply::Unknown);
        keeper.on_reply(cx, Reply::Unavailable);
        keeper
    });
    let ((), out) = with_context(|cx| keeper.tick(cx, false));
    assert!(matches!(out.as_slice(), [Action::Store { .. }]), "{out:?}");
}

/// Found by fuzzing, seed 1: an older epoch took the place of a newer one.
#[test]
fn a_stamp_that_was_refused_does_not_replace_a_newer_one() {
    let shard = id::Shard::new("d", 0);
    let (keeper, _) = with_context(|cx| {
        let mut keeper = stamping(cx, 1);
        keeper.stamp(shard.clone(), 2);
        keeper.on_reply(cx, Reply::Unavailable);
        keeper
    });
    assert_eq!(keeper.stamps.get(&shard), Some(&2));
}
