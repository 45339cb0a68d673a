/// Number of members, besides the subject, that must rule out a promise
/// before the subject's shards are taken over.
///
/// `peers` counts the members that the subject's record names.
pub(super) fn to_take_over(peers: usize) -> usize {
    if peers == 0 { 0 } else { (peers + 1).div_ceil(2) }
}

/// Number of peers whose promises carry a member on without the store.
///
/// Returns `None` where no number suffices: a member that is alone can't be
/// carried, since whoever joins has nobody to ask.
pub(super) fn to_go_on(peers: usize) -> Option<usize> {
    if peers == 0 { None } else { Some(peers + 1 - to_take_over(peers)) }
}

#[cfg(test)]
mod tests;
