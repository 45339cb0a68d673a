//! A port on which another program listens is passed over.
//!
//! The only test of its process, so that the next reservation tries the port after the last
//! one.

use std::net::{Ipv4Addr, TcpListener};

use sycamore_standin::ports::Port;

#[test]
fn a_port_in_use_is_passed_over() {
    let before = Port::reserve().expect("a port");
    let occupied: Vec<u16> = (1..=20).map(|above| before.number() + above).collect();
    let listeners: Vec<_> =
        occupied.iter().map(|number| TcpListener::bind(("127.0.0.77", *number))).collect();

    let next = Port::reserve().expect("a port");

    assert!(!occupied.contains(&next.number()));
    assert!(TcpListener::bind(next.on(Ipv4Addr::LOCALHOST)).is_ok());
    drop(listeners);
}
