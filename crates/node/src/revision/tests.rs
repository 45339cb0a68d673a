use std::time::{Duration, Instant};

use super::{History, MAX_MARKS};

/// Returns a history of responses, given as milliseconds from `origin` to the request and revision.
fn history(origin: Instant, responses: &[(u64, u64)]) -> History {
    let history = History::default();
    for (sent_ms, as_of) in responses {
        history.record(origin + Duration::from_millis(*sent_ms), *as_of);
    }
    history
}

fn written_after_ms(history: &History, origin: Instant, rev: u64) -> Option<u128> {
    history.written_after(rev).map(|at| at.duration_since(origin).as_millis())
}

/// An entry from before an outage was dated by the first read after it.
#[test]
fn an_entry_is_dated_by_the_newest_response_that_does_not_have_it() {
    let origin = Instant::now();
    let history = history(origin, &[(1_000, 10), (2_000, 20), (9_000, 20), (9_500, 30)]);

    assert_eq!(written_after_ms(&history, origin, 20), Some(1_000));
    assert_eq!(written_after_ms(&history, origin, 21), Some(9_000));
    assert_eq!(written_after_ms(&history, origin, 31), Some(9_500));
}

/// An entry that no response precedes may be of any age.
#[test]
fn an_entry_as_old_as_the_history_is_not_dated() {
    let origin = Instant::now();
    let history = history(origin, &[(1_000, 10)]);

    assert_eq!(written_after_ms(&history, origin, 10), None);
    assert_eq!(written_after_ms(&History::default(), origin, 10), None);
}

/// A long watch that ends after a later read, a response from an old copy of the store and one
/// without a revision would date entries too late.
#[test]
fn responses_out_of_order_make_no_date_later() {
    let origin = Instant::now();
    let history = history(origin, &[(2_000, 20), (500, 25), (3_000, 15), (4_000, 0)]);

    assert_eq!(written_after_ms(&history, origin, 22), Some(2_000));
    assert_eq!(written_after_ms(&history, origin, 20), None);
}

/// The pages of a long list would displace the responses that date older entries.
#[test]
fn the_history_is_bounded_and_keeps_responses_apart() {
    let origin = Instant::now();
    let responses: Vec<(u64, u64)> = (0..10_000).map(|at| (at * 10, at + 1)).collect();
    let history = history(origin, &responses);

    let marks = history.marks.lock().unwrap();
    assert_eq!(marks.len(), MAX_MARKS);
    let spans_ms = marks.back().unwrap().sent.duration_since(marks[0].sent).as_millis();
    assert_eq!(spans_ms, 100 * (MAX_MARKS as u128 - 1));
}
