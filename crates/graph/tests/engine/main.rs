//! The engine against stand-in workers that keep the platform's documented semantics.

mod advice;
mod fixture;
mod fuzz;
mod gangs;
mod jobs;
mod oracle;
mod overload;
mod regression;
mod takeover;
mod worker;
mod world;
