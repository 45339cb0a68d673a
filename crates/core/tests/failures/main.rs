//! What holds when things fail: the fault matrix, the fuzzing, and the proof
//! that both can fail.

mod basics;
mod fuzz;
mod injected_bugs;
mod matrix;
mod regression;
mod world;
