//! Tests of the platform's formats with the examples of its documentation.

mod config;
mod connections;
mod job;
mod settings;
mod worker;
