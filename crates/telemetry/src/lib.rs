//! Metrics, logs and trace contexts of every process.
//!
//! Anything that can be counted is a metric. Log lines are reserved for state
//! changes, so an idle process logs nothing.

pub mod logs;
pub mod metrics;
pub mod trace;
