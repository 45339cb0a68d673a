//! `sycamore-node`: reads the settings and runs the scheduler process of one host.

use std::process::ExitCode;

use getopts::Options;
use sycamore_platform::site::{SETTINGS_PATH, SETTINGS_VARIABLE, Settings};
use sycamore_telemetry::logs::{self, LineSender};

fn main() -> ExitCode {
    let mut options = Options::new();
    options.optopt("s", "settings", "settings file", "FILE");
    options.optopt("", "metrics-port", "serve metrics on this port of the host", "PORT");
    options.optflag("", "print-settings", "check the settings, print them and exit");
    options.optflag("h", "help", "print this help and exit");
    let matches = match options.parse(std::env::args().skip(1)) {
        Ok(matches) => matches,
        Err(error) => return fail(&error),
    };
    if matches.opt_present("help") {
        let brief = "sycamore-node: takes callers' jobs and owns the workers when it is its turn.\n\
                     Usage: sycamore-node [OPTIONS]";
        print!("{}", options.usage(brief));
        return ExitCode::SUCCESS;
    }
    let path = matches
        .opt_str("settings")
        .or_else(|| std::env::var(SETTINGS_VARIABLE).ok())
        .unwrap_or_else(|| SETTINGS_PATH.to_string());
    let settings = match Settings::read(&path) {
        Ok(settings) => settings,
        Err(error) => return fail(&error),
    };
    if matches.opt_present("print-settings") {
        println!("{settings:#?}");
        return ExitCode::SUCCESS;
    }
    let metrics_port = match matches.opt_get("metrics-port") {
        Ok(port) => port,
        Err(error) => return fail(&format!("--metrics-port: {error}")),
    };
    match logs::start_rate_limited() {
        Ok(lines) => start(settings, &path, lines, metrics_port),
        Err(error) => fail(&error),
    }
}

fn start(settings: Settings, path: &str, lines: LineSender, metrics_port: Option<u16>) -> ExitCode {
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => return fail(&error),
    };
    match runtime.block_on(sycamore_node::run(settings, path, lines, metrics_port)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(&error),
    }
}

fn fail(error: &dyn std::fmt::Display) -> ExitCode {
    eprintln!("sycamore-node: {error}");
    ExitCode::FAILURE
}
