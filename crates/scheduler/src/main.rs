//! The `sycamore-scheduler` binary: reads the settings, runs one scheduler and stops it on a
//! signal.
//!
//! A planned stop hands all shards to other schedulers first.

use std::process::ExitCode;

use sycamore_core::Timing;
use sycamore_platform::Signals;
use sycamore_scheduler::{Arguments, Scheduler, parser};
use sycamore_telemetry::logs;

fn main() -> ExitCode {
    match sycamore_settings::load(&parser(), Arguments::resolve) {
        Ok(arguments) => run(arguments),
        Err(code) => code,
    }
}

#[tokio::main]
async fn run(arguments: Arguments) -> ExitCode {
    if let Err(error) = logs::start(arguments.log_format) {
        eprintln!("sycamore-scheduler: {error}");
        return ExitCode::FAILURE;
    }
    let Ok(mut signals) = Signals::listen() else {
        eprintln!("sycamore-scheduler: can't listen for signals");
        return ExitCode::FAILURE;
    };
    match Scheduler::start(arguments, Timing::default()).await {
        Ok(scheduler) => {
            signals.wait_for_stop().await;
            log::info!("received a stop signal; shutting down");
            scheduler.stop().await;
            log::info!("stopped");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("sycamore-scheduler: {error}");
            ExitCode::FAILURE
        }
    }
}
