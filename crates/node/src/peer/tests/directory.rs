//! When a process gets the list of the others.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use sycamore_types::Name;

use super::super::directory::Directory;
use crate::timing::{PING_INTERVAL, PING_TIMEOUT};

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// Lets `a` and `b` ping at the usual interval until the time is over. Returns the number of lists
/// that `a` got, and the last one.
fn ping_both(directory: &mut Directory, from: Instant, time: Duration) -> (usize, Vec<String>) {
    let (mut count, mut last, mut now) = (0, Vec::new(), from);
    while now < from + time {
        let list = directory.on_ping(&Name::from("a"), address(1), now);
        directory.on_ping(&Name::from("b"), address(2), now);
        if !list.is_empty() {
            count += 1;
            last = list.iter().map(|(name, _)| name.to_string()).collect();
        }
        now += PING_INTERVAL;
    }
    (count, last)
}

/// The list in every reply grew with the square of the number of hosts.
#[test]
fn an_unchanged_list_is_sent_once() {
    let (mut directory, start) = (Directory::default(), Instant::now());

    // The second list contains `b`, which pings after `a`.
    let lists = ping_both(&mut directory, start, Duration::from_secs(20));

    assert_eq!(lists, (2, vec!["a".to_string(), "b".to_string()]));
}

/// A process that joins, moves or leaves must become known to the others.
#[test]
fn a_changed_list_is_sent_within_a_second() {
    let (mut directory, start) = (Directory::default(), Instant::now());
    ping_both(&mut directory, start, Duration::from_secs(4));
    let later = start + Duration::from_secs(4);

    directory.on_ping(&Name::from("c"), address(3), later);
    let joined = ping_both(&mut directory, later, PING_INTERVAL);
    let left = ping_both(&mut directory, later + PING_INTERVAL, Duration::from_secs(2));
    let then = later + PING_INTERVAL + Duration::from_secs(2);
    directory.on_ping(&Name::from("b"), address(4), then);
    let moved = directory.on_ping(&Name::from("a"), address(1), then + PING_INTERVAL);

    assert_eq!(joined, (1, ["a", "b", "c"].map(String::from).to_vec()));
    assert_eq!(left, (1, ["a", "b"].map(String::from).to_vec()));
    assert_eq!(moved[1], (Name::from("b"), address(4)));
}

/// Processes that come and go one by one must not cause a list for each of them.
#[test]
fn lists_to_one_process_are_limited_in_rate() {
    let (mut directory, start) = (Directory::default(), Instant::now());
    let mut lists = 0;

    for at in 0..50_u16 {
        let now = start + PING_INTERVAL * u32::from(at);
        directory.on_ping(&Name::from(format!("new-{at}")), address(100 + at), now);
        let list = directory.on_ping(&Name::from("a"), address(1), now);
        lists += usize::from(!list.is_empty());
    }

    assert_eq!(lists, 10);
}

/// The reply with the list may have been lost; its receiver then pings again after the timeout.
#[test]
fn a_list_is_repeated_after_a_lost_reply() {
    let (mut directory, start) = (Directory::default(), Instant::now());
    let (name, address) = (Name::from("a"), address(1));
    let mut ping = |after| directory.on_ping(&name, address, start + after).len();

    let lists = [ping(Duration::ZERO), ping(PING_INTERVAL), ping(2 * PING_INTERVAL + PING_TIMEOUT)];

    assert_eq!(lists, [1, 0, 1]);
}

/// A process that has restarted within the time of a ping has no list and can't say so.
#[test]
fn a_list_is_repeated_after_a_while() {
    let (mut directory, start) = (Directory::default(), Instant::now());
    ping_both(&mut directory, start, Duration::from_secs(2));

    let lists = ping_both(&mut directory, start + Duration::from_secs(2), Duration::from_secs(30));

    assert_eq!(lists.0, 1);
}
