//! Tests of decisions of the owner that need no network.

mod write_timeout;
