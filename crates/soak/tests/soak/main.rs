//! Tests of the checker, the options, the scenarios, and of rounds with real processes.

mod breakage;
mod checking;
mod options;
mod regression;
mod round;
mod scenario;
