//! Sizes of the two quorums that exclude each other.
//!
//! A member either continues without the store or has its shards taken over, but
//! never both: the peers that promise and the peers that vote always overlap.

/// Returns the number of peers that must vote, and so rule out promises to the
/// subject, before its shards are taken over.
///
/// `peers` is the number of peers that the subject's record names.
pub(super) fn to_take_over(peers: usize) -> usize {
    if peers == 0 { 0 } else { (peers + 1).div_ceil(2) }
}

/// Returns the number of peers whose promises let a member continue without the
/// store.
///
/// Returns `None` for a member without peers. It can't continue, since a member
/// that joins later would take over its shards without any votes.
pub(super) fn to_continue(peers: usize) -> Option<usize> {
    if peers == 0 { None } else { Some(peers + 1 - to_take_over(peers)) }
}

#[cfg(test)]
mod tests;
