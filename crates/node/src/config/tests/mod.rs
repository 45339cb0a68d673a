//! Tests of how a configuration reaches a process.

mod fetch_policy;
mod order;
mod transfers;
