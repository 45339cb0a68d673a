//! How many peers become executors.

use std::collections::BTreeSet;

use sycamore_types::Name;

use super::super::selection::Selection;

fn peers(count: usize) -> BTreeSet<Name> {
    (0..count).map(|number| Name::from(format!("peer-{number:03}"))).collect()
}

fn selected(selection: &Selection, usable: &BTreeSet<Name>) -> BTreeSet<Name> {
    usable.iter().filter(|name| selection.contains(name)).cloned().collect()
}

/// With all 300 peers, each batch held one order, and the owner spent more than on direct calls.
#[test]
fn the_number_of_executors_follows_from_the_workers() {
    let usable = peers(300);
    let count = |workers| {
        let mut selection = Selection::default();
        selection.update(workers, &usable);
        selected(&selection, &usable).len()
    };

    assert_eq!([800, 3_000].map(count), [4, 15]);
}

#[test]
fn few_peers_are_all_used() {
    let (mut selection, usable) = (Selection::default(), peers(4));

    selection.update(3_000, &usable);

    assert_eq!(selected(&selection, &usable), usable);
}

/// The loss of one executor must not move the workers of others to a replacement.
#[test]
fn a_lost_executor_is_not_replaced_until_many_are_lost() {
    let (mut selection, mut usable) = (Selection::default(), peers(300));
    selection.update(3_000, &usable);
    let before = selected(&selection, &usable);

    let mut counts = Vec::new();
    for lost in before.iter().take(7) {
        usable.remove(lost);
        selection.update(3_000, &usable);
        counts.push(selected(&selection, &usable).len());
    }

    assert_eq!(counts, [14, 13, 12, 11, 10, 15, 14]);
}

/// Peers that join must not move workers of a selection that suffices.
#[test]
fn new_peers_change_nothing() {
    let mut selection = Selection::default();
    selection.update(1_000, &peers(20));
    let before = selected(&selection, &peers(20));

    selection.update(1_000, &peers(300));

    assert_eq!(selected(&selection, &peers(300)), before);
}
