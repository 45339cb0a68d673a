//! A randomized soak of the real programs.
//!
//! One round starts `sycamore-node` processes on loopback against stand-ins of the
//! platform, hands in jobs, and injects faults from outside: a proxy on the links to the
//! store and the workers, signals to the processes, failures of the store, crashes of
//! workers. Callers and workers note what they see; the promises are checked against that
//! alone. A round is repeated by its seed: the same jobs and faults at the same times,
//! though processes interleave differently.
//!
//! Links between processes are not proxied, since a process listens on the address that
//! it names to others; pauses of processes take their place.

mod caller;
mod checker;
mod history;
mod options;
mod process;
mod proxy;
mod report;
mod round;
mod scenario;
mod workers;

pub use checker::{Invariant, Violation, check};
pub use history::{Entry, Event, History, ReportedState};
pub use options::{Options, OptionsError};
pub use report::Report;
pub use round::{Outcome, run_round};
pub use scenario::{Fault, FaultKind, Job, LinkState, Scenario, Step};
