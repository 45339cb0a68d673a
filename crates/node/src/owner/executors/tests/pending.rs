//! What becomes of orders without a result.

use std::time::{Duration, Instant};

use super::super::pending::{Pending, Resolution};
use super::{poll, start, stop};
use crate::owner::calls::Request;
use crate::peer::MAX_ORDERS_IN_FLIGHT;

/// Adds an order that may have reached the executor.
fn send(pending: &mut Pending, request: Request, now: Instant) -> u64 {
    let id = pending.insert(request, now).expect("room for an order");
    pending.mark_sent(id);
    id
}

/// A start that may have reached the worker must not be made again, or the task runs twice.
#[test]
fn orders_that_may_have_been_carried_out_are_unknown() {
    let (mut pending, now) = (Pending::default(), Instant::now());
    send(&mut pending, start(1), now);
    send(&mut pending, stop(2), now);

    let resolutions = pending.take_all();

    assert_eq!(resolutions, [Resolution::Unknown(start(1)), Resolution::Unknown(stop(2))]);
    assert!(pending.is_empty());
}

/// A poll that is lost with its executor would cost the worker its lease if the next ones were
/// lost too. A waiting poll would tell of the worker only a second later.
#[test]
fn a_poll_is_repeated_without_waiting() {
    let (mut pending, now) = (Pending::default(), Instant::now());
    send(&mut pending, poll(1_000), now);

    assert_eq!(pending.take_all(), [Resolution::Call(poll(0))]);
}

/// Orders that never left the owner need not wait for a timeout.
#[test]
fn unsent_orders_are_called_unchanged() {
    let (mut pending, now) = (Pending::default(), Instant::now());
    pending.insert(start(1), now).expect("room for an order");
    pending.insert(poll(1_000), now).expect("room for an order");

    let resolutions = pending.take_all();

    assert_eq!(resolutions, [Resolution::Call(start(1)), Resolution::Call(poll(1_000))]);
}

/// A lost result must not leave the engine waiting: each kind has its own timeout, and the lease
/// of 6 s outlasts that of a poll and the poll that follows.
#[test]
fn each_order_is_overdue_after_its_own_timeout() {
    let (mut pending, now) = (Pending::default(), Instant::now());
    send(&mut pending, poll(1_000), now);
    send(&mut pending, start(1), now);
    let at = |ms| now + Duration::from_millis(ms);

    assert_eq!(pending.take_overdue(at(740)), []);
    assert_eq!(pending.take_overdue(at(760)), [Resolution::Unknown(start(1))]);
    assert_eq!(pending.take_overdue(at(1_840)), []);
    assert_eq!(pending.take_overdue(at(1_860)), [Resolution::Call(poll(0))]);
}

/// A result that comes after its order was resolved must not reach the engine a second time.
#[test]
fn a_late_result_is_dropped() {
    let (mut pending, now) = (Pending::default(), Instant::now());
    let id = send(&mut pending, start(1), now);
    pending.take_overdue(now + Duration::from_secs(1));

    assert_eq!(pending.take(id), None);
}

/// An executor that answers nothing must not collect orders without a bound.
#[test]
fn orders_in_flight_are_bounded() {
    let (mut pending, now) = (Pending::default(), Instant::now());
    for _ in 0..MAX_ORDERS_IN_FLIGHT {
        pending.insert(poll(1_000), now).expect("room for an order");
    }

    assert_eq!(pending.insert(stop(1), now), Err(stop(1)));
}
