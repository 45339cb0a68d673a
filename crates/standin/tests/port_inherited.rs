//! A process that starts holds copies of all sockets for a moment, until it runs its program. In
//! a file of its own, so that no other test starts processes or reserves ports meanwhile.

use std::net::{Ipv4Addr, TcpListener};
use std::process::Command;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

use sycamore_standin::ports::Port;

/// Processes that start while ports are reserved.
const PROCESSES: usize = 600;

/// Threads that start them.
const THREADS: usize = 3;

/// Failure: the search for a free port listened on it, and a process that another thread was just
/// starting had a copy of that listener. The process that the port was meant for found the address
/// in use. Seen in `an_injected_bug_is_reported::order`, beside which six rounds started.
#[test]
fn a_reserved_port_is_free_while_other_threads_start_processes() {
    let started = AtomicUsize::new(0);
    let (mut reserved, mut in_use) = (0, 0);
    thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                while started.fetch_add(1, Ordering::Relaxed) < PROCESSES {
                    Command::new("true").status().expect("a process");
                }
            });
        }
        while started.load(Ordering::Relaxed) < PROCESSES {
            let port = Port::reserve().expect("a port");
            let listener = TcpListener::bind(port.on(Ipv4Addr::new(127, 0, 0, 10)));
            reserved += 1;
            in_use += usize::from(listener.is_err());
        }
    });

    assert_eq!(in_use, 0, "of {reserved}");
}
