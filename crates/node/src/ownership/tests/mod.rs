//! Tests of decisions about the owner that need no network.

mod owner_record;
mod patience;
