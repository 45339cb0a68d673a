//! Randomized soak tests of real `sycamore-node` processes.
//!
//! A round starts the processes on loopback against a simulated platform, submits jobs, and
//! injects faults from outside: proxies on the links to the store and the workers, signals to the
//! processes, failures of the store, crashes of workers. Callers and workers record what they
//! see, and the invariants are checked against that record alone. The same seed gives the same
//! jobs and faults at the same times, though the processes interleave differently.
//!
//! Each process has its own loopback address, from which it connects, so that proxies can cut it
//! off from some processes and workers while others reach them.

mod caller;
mod checker;
mod config;
mod history;
mod options;
mod process;
mod report;
mod round;
mod scenario;
mod workers;

pub use checker::{Invariant, Violation, check};
pub use history::{Entry, Event, History, Probe, ReportedState};
pub use options::{Options, OptionsError};
pub use report::Report;
pub use round::{Outcome, run_round};
pub use scenario::{ConfigChange, Fault, FaultKind, Group, Job, Scenario, Step, StoreLink};
