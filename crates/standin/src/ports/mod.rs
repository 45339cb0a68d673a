//! Reserves ports for processes that tests and benchmarks start.
//!
//! A port that is found by binding port 0 and closing the socket again can be taken by an
//! outgoing connection, or by another search for a free port, before the process binds it.
//! A [`Port`] lies outside the range that the system gives to such sockets, and is locked
//! against all other reservations on the machine until it is dropped.
//!
//! The lock is a UDP socket on the same number, which the kernel releases even if its
//! process is killed. Programs that bind a fixed number without a reservation aren't kept
//! away; a port that is in use when it is to be reserved is passed over.

use std::io::{Error, ErrorKind, Result};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, UdpSocket};
use std::ops::Range;
use std::sync::atomic::{AtomicU32, Ordering};

use tokio::net::TcpSocket;

/// File in which the kernel states the first and last port that it gives to sockets without
/// a fixed one.
const EPHEMERAL_RANGE_FILE: &str = "/proc/sys/net/ipv4/ip_local_port_range";

/// Lowest port to reserve. Most services with a fixed port have a lower one.
const MIN_PORT: u16 = 12_000;

/// Number of reservations that this process has tried.
static TRIED: AtomicU32 = AtomicU32::new(0);

/// A reserved TCP port, on all addresses of this machine.
#[derive(Debug)]
pub struct Port {
    number: u16,
    _lock: UdpSocket,
}

impl Port {
    /// Reserves a port on which nothing listens.
    ///
    /// # Errors
    ///
    /// Returns an error if the kernel's range can't be read, or if all ports outside it are
    /// in use.
    pub fn reserve() -> Result<Port> {
        let range = reservable(&std::fs::read_to_string(EPHEMERAL_RANGE_FILE)?)?;
        let count = range.len() as u32;
        // Processes start at different numbers, so that they rarely meet a locked port.
        let first = std::process::id().wrapping_mul(97);
        for _ in 0..count {
            let step = first.wrapping_add(TRIED.fetch_add(1, Ordering::Relaxed));
            let number = range.start + (step % count) as u16;
            if let Some(port) = Port::lock(number) {
                return Ok(port);
            }
        }
        Err(Error::new(ErrorKind::AddrInUse, "all ports that can be reserved are in use"))
    }

    fn lock(number: u16) -> Option<Port> {
        let lock = UdpSocket::bind((Ipv4Addr::LOCALHOST, number)).ok()?;
        // Fails while a process still listens on the port, on any address. The probe doesn't listen:
        // a process that another thread is starting has a copy of it until it runs its program,
        // and only a copy that listens keeps the port's process from binding it.
        let probe = TcpSocket::new_v4().ok()?;
        probe.set_reuseaddr(true).ok()?;
        probe.bind((Ipv4Addr::UNSPECIFIED, number).into()).ok()?;
        Some(Port { number, _lock: lock })
    }

    /// Returns the number of the port.
    pub fn number(&self) -> u16 {
        self.number
    }

    /// Returns the port on `ip`.
    pub fn on(&self, ip: impl Into<IpAddr>) -> SocketAddr {
        SocketAddr::new(ip.into(), self.number)
    }
}

/// Returns the ports below the kernel's range, given as its first and last port.
fn reservable(ephemeral: &str) -> Result<Range<u16>> {
    let first = ephemeral.split_whitespace().next().and_then(|first| first.parse::<u16>().ok());
    match first {
        Some(first) if first > MIN_PORT => Ok(MIN_PORT..first),
        _ => Err(Error::other(format!(
            "no ports from {MIN_PORT} on are outside the range of {EPHEMERAL_RANGE_FILE}"
        ))),
    }
}
