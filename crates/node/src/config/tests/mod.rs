//! Tests of how a configuration reaches a process.

mod evacuations;
mod fetch_policy;
mod order;
mod transfers;
