//! Which processes are asked before an owner without store goes on.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use sycamore_types::Name;

use crate::peer::Members;

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// A process that is cut off could become the owner unseen if it was forgotten like one that has ended.
#[test]
fn a_silent_process_is_kept_for_30_s() {
    let start = Instant::now();
    let mut members = Members::default();
    members.record(&Name::from("a"), address(1), start);
    members.record(&Name::from("b"), address(2), start + Duration::from_secs(10));

    let after_29_s = members.list(start + Duration::from_secs(29));
    let after_31_s = members.list(start + Duration::from_secs(31));

    assert_eq!(after_29_s, [(Name::from("a"), address(1)), (Name::from("b"), address(2))]);
    assert_eq!(after_31_s, [(Name::from("b"), address(2))]);
}

/// A process that has restarted at another address must not be asked at the former one.
#[test]
fn the_newest_address_of_a_process_counts() {
    let now = Instant::now();
    let mut members = Members::default();

    members.record(&Name::from("a"), address(1), now);
    members.record(&Name::from("a"), address(2), now);

    assert_eq!(members.list(now), [(Name::from("a"), address(2))]);
}
