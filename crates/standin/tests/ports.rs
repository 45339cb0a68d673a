//! Reserved ports can't be taken before the process that they are meant for binds them.

use std::collections::BTreeSet;
use std::net::{Ipv4Addr, UdpSocket};

use sycamore_standin::ports::Port;

/// First port that the kernel gives to sockets without a fixed one.
fn first_ephemeral_port() -> u16 {
    let range = std::fs::read_to_string("/proc/sys/net/ipv4/ip_local_port_range");
    let range = range.expect("the kernel's range");
    range.split_whitespace().next().expect("its first port").parse().expect("a port")
}

#[test]
fn a_reserved_port_is_never_given_to_an_outgoing_connection() {
    for _ in 0..200 {
        let port = Port::reserve().expect("a port");

        assert!(port.number() < first_ephemeral_port());
    }
}

#[test]
fn reservations_at_the_same_time_differ() {
    let ports: Vec<Port> = (0..200).map(|_| Port::reserve().expect("a port")).collect();

    let numbers: BTreeSet<u16> = ports.iter().map(Port::number).collect();

    assert_eq!(numbers.len(), ports.len());
}

#[test]
fn a_reserved_port_is_locked_against_other_reservations() {
    let port = Port::reserve().expect("a port");

    let second = UdpSocket::bind((Ipv4Addr::LOCALHOST, port.number()));

    assert!(second.is_err());
}
