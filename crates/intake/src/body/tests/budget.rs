use std::sync::Arc;

use proptest::prelude::*;

use super::{MAX_BODY_BYTES, MEMORY_BYTES, budget, meters};
use crate::body::budget::{Budget, Buffer, Full, Reservation};

/// Begins a body and receives a part of it.
fn part_of(budget: &Arc<Budget>, bytes: usize) -> Buffer {
    let buffer = budget.begin(0, MAX_BODY_BYTES).expect("an empty body fits");
    buffer.append(&vec![b' '; bytes]).expect("the part fits");
    buffer
}

fn complete(buffer: Buffer) -> Reservation {
    buffer.complete().expect("the body is received").1
}

/// Fills the budget with large bodies that are not complete.
fn fill(budget: &Arc<Budget>) -> Vec<Buffer> {
    (0..budget.max_bytes() / MAX_BODY_BYTES).map(|_| part_of(budget, MAX_BODY_BYTES)).collect()
}

/// Returns the indices of the bodies that were refused.
fn refused(buffers: &[Buffer]) -> Vec<usize> {
    (0..buffers.len()).filter(|at| buffers[*at].append(b"").is_err()).collect()
}

/// Failure: ordinary requests were refused, or waited, while large bodies held all memory.
#[test]
fn a_small_body_displaces_the_oldest_of_the_largest() {
    let budget = budget();
    let large = fill(&budget);

    let small = part_of(&budget, 4_000);

    assert_eq!(refused(&large), [0]);
    assert_eq!(small.complete().map(|(body, _)| body.len()).ok(), Some(4_000));
}

#[test]
fn a_body_that_is_the_largest_is_refused_itself() {
    let budget = budget();
    let smaller: Vec<_> = (0..16).map(|_| part_of(&budget, MAX_BODY_BYTES / 2)).collect();

    let larger = budget.begin(0, MAX_BODY_BYTES).expect("an empty body fits");
    let refusal = larger.append(&vec![b' '; MAX_BODY_BYTES]);

    assert_eq!(refusal, Err(Full));
    assert!(refused(&smaller).is_empty());
}

/// Failure: a request that had been passed on to the owner was answered as one that has not run.
#[test]
fn complete_bodies_are_not_refused() {
    let budget = budget();
    let complete: Vec<_> = fill(&budget).into_iter().map(complete).collect();

    let other = budget.begin(0, MAX_BODY_BYTES).expect("an empty body fits");

    assert_eq!(other.append(&[b' '; 4_000]), Err(Full));
    drop(complete);
    part_of(&budget, MAX_BODY_BYTES);
}

/// Failure: a body that can't be received was read until there was no memory left.
#[test]
fn a_body_that_does_not_fit_beside_complete_ones_is_refused_before_it_is_read() {
    let budget = budget();
    let incomplete = fill(&budget);
    assert!(budget.begin(MAX_BODY_BYTES, MAX_BODY_BYTES).is_ok());

    let _complete: Vec<_> = incomplete.into_iter().map(complete).collect();

    assert_eq!(budget.begin(MAX_BODY_BYTES, MAX_BODY_BYTES).err(), Some(Full));
}

/// Failure: bodies took a constant share of the memory although the rest of the process, such as
/// the engine of an owner with a large backlog, needed nearly all.
#[test]
fn bodies_take_little_while_the_process_is_short_of_memory() {
    let almost_all = || Some(MEMORY_BYTES - MEMORY_BYTES / 16);
    let budget = Arc::new(Budget::with_reader(MEMORY_BYTES, meters(), almost_all));
    let large = part_of(&budget, MAX_BODY_BYTES);

    let small: Vec<_> = (0..200).map(|_| part_of(&budget, 4_000)).collect();

    assert_eq!(refused(&[large]), [0]);
    assert!(refused(&small).is_empty());
}

/// Failure: the memory of a job whose text is short, with many steps, was not counted.
#[test]
fn a_job_takes_the_memory_of_what_was_parsed() {
    let budget = budget();
    let job = complete(part_of(&budget, 4_000));

    assert_eq!(job.resize(budget.max_bytes()), Ok(()));
    assert_eq!(budget.begin(4_000, 4_000).err(), Some(Full));
    assert_eq!(job.resize(4_000), Ok(()));
    part_of(&budget, 4_000);
}

proptest! {
    /// Whatever comes, the bodies together hold no more than the budget, and all of it is free
    /// once they are gone.
    #[test]
    fn bodies_never_hold_more_than_the_budget(
        operations in prop::collection::vec((0..40_usize, 0..5_u8, 1..MAX_BODY_BYTES), 1..300),
    ) {
        let budget = budget();
        let mut incomplete: Vec<Option<Buffer>> = (0..40).map(|_| None).collect();
        let mut held: Vec<Option<Reservation>> = (0..40).map(|_| None).collect();
        for (at, operation, bytes) in operations {
            match operation {
                0 => incomplete[at] = None,
                1 => held[at] = incomplete[at].take().and_then(|body| Some(body.complete().ok()?.1)),
                2 => held[at] = held[at].take().filter(|job| job.resize(bytes).is_ok()),
                _ => {
                    let body = incomplete[at].take();
                    let body = body.or_else(|| budget.begin(bytes, MAX_BODY_BYTES).ok());
                    incomplete[at] = body.filter(|body| body.append(&vec![0; bytes / 4]).is_ok());
                }
            }
            prop_assert!(budget.held_bytes() <= budget.max_bytes());
        }
        incomplete.clear();
        held.clear();
        prop_assert_eq!(budget.held_bytes(), 0);
    }
}
