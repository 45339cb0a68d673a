//! The users' platform's formats, as its documentation shows them.

mod config;
mod job;
mod settings;
mod worker;
