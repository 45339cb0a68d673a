//! `sycamore-entry`: runs an entry process until a stop signal, then drains it.

use std::process::ExitCode;

use sycamore_entry::{Arguments, Entry, parser};
use sycamore_platform::Signals;
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
        eprintln!("sycamore-entry: {error}");
        return ExitCode::FAILURE;
    }
    let Ok(mut signals) = Signals::listen() else {
        eprintln!("sycamore-entry: can't listen for signals");
        return ExitCode::FAILURE;
    };
    match Entry::start(arguments).await {
        Ok(entry) => {
            signals.wait_for_stop().await;
            log::info!("received a stop signal; shutting down");
            entry.stop().await;
            log::info!("stopped");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("sycamore-entry: {error}");
            ExitCode::FAILURE
        }
    }
}
