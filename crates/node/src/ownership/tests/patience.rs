//! How long a process waits for the owner, with a free link and with a busy one.

use std::time::Duration;

use super::super::Patience;

/// Hosts whose link a configuration filled took the owner for silent and replaced it. Seen in a
/// trial with 2 Mbit/s, which carry the data that waits in two transfers in a second.
#[test]
fn a_process_that_receives_a_large_document_waits_for_replies_behind_it() {
    let queued = Duration::from_millis(1_000);
    let patience = Patience::new(true);

    assert!(patience.ping > queued);
    assert!(patience.peer_query >= queued);
    assert!(patience.silence > 2 * patience.ping);
    assert!(patience.overdue > 2 * patience.ping);
}

#[test]
fn a_process_with_a_free_link_notices_a_lost_owner_within_a_second() {
    let patience = Patience::new(false);

    assert!(patience.silence + patience.peer_query < Duration::from_secs(1));
    assert!(patience.overdue < patience.silence);
}
