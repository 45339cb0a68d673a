//! Failure tests of the decision core.
//!
//! They inject every fault at every step of an operation, run random
//! operations and faults, and show with injected bugs that the checks detect
//! violations. Everything runs on a virtual clock, so a failure is reproduced
//! from its seed.

mod basics;
mod fuzz;
mod injected_bugs;
mod matrix;
mod regression;
mod world;
