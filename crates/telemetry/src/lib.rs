//! What operators see of a process: counters, log lines and traces.
//!
//! Counters come first. A log line is written only when a state changes, so
//! that the log of a quiet process is empty.

pub mod logs;
pub mod metrics;
pub mod trace;
