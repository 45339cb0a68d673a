//! What is reported of entries that name no worker to use.

use super::super::skipped::Skipped;
use crate::metrics::Meters;

fn read(skipped: &mut Skipped, entries: &[(&str, &'static str)]) {
    skipped.begin();
    entries.iter().for_each(|(id, reason)| skipped.add(id, reason, &"an error"));
    skipped.end();
}

/// Failure: an entry that stays in the list costs a line and a count twice a second.
#[test]
fn an_entry_is_reported_when_it_comes_or_its_reason_changes() {
    let meters = Meters::new();
    let mut skipped = Skipped::new(meters.clone());
    let count = |reason| meters.skipped_entries.with_label_values(&[reason]).get();

    (0..3).for_each(|_| read(&mut skipped, &[("a", "syntax"), ("b", "state")]));
    assert_eq!((count("syntax"), count("state")), (1, 1));

    read(&mut skipped, &[("a", "state")]);
    read(&mut skipped, &[("a", "state"), ("b", "state")]);
    assert_eq!((count("syntax"), count("state")), (1, 3));
}

/// Failure: reads that the store breaks off report the same entries again and again.
#[test]
fn an_unfinished_read_reports_each_entry_once() {
    let meters = Meters::new();
    let mut skipped = Skipped::new(meters.clone());

    for _ in 0..3 {
        skipped.begin();
        skipped.add("a", "syntax", &"an error");
    }

    assert_eq!(meters.skipped_entries.with_label_values(&["syntax"]).get(), 1);
}
