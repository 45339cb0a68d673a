//! Tests of the platform's formats with the examples of its documentation.

mod config;
mod job;
mod settings;
mod worker;
