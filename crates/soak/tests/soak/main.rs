//! Tests of the checker, the options, the scenarios, and of rounds with real processes.

mod checker;
mod injected_bugs;
mod options;
mod partition;
mod regression;
mod round;
mod scenario;
